#include "telemetry/trace.hpp"

#include <algorithm>
#include <functional>
#include <set>

#include "http/message.hpp"

namespace brasslift::telemetry {
namespace {

int hex(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;  // capitals are not allowed
}

template <std::size_t Size>
bool read_id(std::string_view text, std::array<std::uint8_t, Size>& into) {
    bool any = false;
    for (std::size_t i = 0; i < Size; ++i) {
        const int high = hex(text[2 * i]), low = hex(text[2 * i + 1]);
        if (high < 0 || low < 0) return false;
        into[i] = static_cast<std::uint8_t>(high * 16 + low);
        any = any || into[i] != 0;
    }
    return any;  // an id of zeros is none
}

template <std::size_t Size>
void write_id(const std::array<std::uint8_t, Size>& id, std::string& into) {
    constexpr char digits[] = "0123456789abcdef";
    for (const auto byte : id) {
        into += digits[byte >> 4];
        into += digits[byte & 15];
    }
}

bool key_char(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '*' || c == '/';
}

// "vendor" or "tenant@vendor".
bool is_key(std::string_view key) {
    constexpr std::size_t most_key = 256, most_tenant = 241, most_vendor = 14;
    const auto at = key.find('@');
    const auto good = [](std::string_view part, std::size_t most, bool digit_first) {
        return !part.empty() && part.size() <= most && std::all_of(part.begin(), part.end(), key_char) &&
               ((part[0] >= 'a' && part[0] <= 'z') || (digit_first && part[0] >= '0' && part[0] <= '9'));
    };
    if (at == std::string_view::npos) return good(key, most_key, false);
    return good(key.substr(0, at), most_tenant, true) && good(key.substr(at + 1), most_vendor, false);
}

bool is_value(std::string_view value) {
    constexpr std::size_t most_value = 256;
    return !value.empty() && value.size() <= most_value && value.back() != ' ' &&
           std::all_of(value.begin(), value.end(),
                       [](char c) { return c >= 0x20 && c <= 0x7e && c != ',' && c != '='; });
}

std::size_t bytes_of(const std::vector<Attribute>& attributes) {
    std::size_t sum = attributes.capacity() * sizeof(Attribute);
    for (const auto& a : attributes)
        if (const auto* const text = std::get_if<std::string>(&a.value)) sum += text->capacity();
    return sum;
}

}  // namespace

std::string_view interned(std::string_view text) {
    static std::set<std::string, std::less<>> texts;
    const auto found = texts.find(text);
    return found != texts.end() ? *found : *texts.emplace(text).first;
}

std::optional<Context> read_traceparent(std::string_view header) {
    constexpr std::size_t length = 55;  // of version 00
    header = http::trimmed(header);
    if (header.size() < length || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const int high = hex(header[0]), low = hex(header[1]);
    if (high < 0 || low < 0 || high * 16 + low == 255) return std::nullopt;
    const bool first_version = high == 0 && low == 0;
    if (header.size() > length && (first_version || header[length] != '-')) return std::nullopt;
    Context context;
    if (!read_id(header.substr(3, 32), context.trace) || !read_id(header.substr(36, 16), context.span))
        return std::nullopt;
    const int flags_high = hex(header[53]), flags = hex(header[54]);
    if (flags_high < 0 || flags < 0) return std::nullopt;
    context.sampled = (flags & 1) != 0;
    return context;
}

std::string hex_of(const TraceId& id) {
    std::string text;
    write_id(id, text);
    return text;
}
std::string hex_of(const SpanId& id) {
    std::string text;
    write_id(id, text);
    return text;
}

std::string write_traceparent(const Context& context) {
    std::string text = "00-";
    write_id(context.trace, text);
    text += '-';
    write_id(context.span, text);
    return text + (context.sampled ? "-01" : "-00");
}

std::string read_tracestate(std::string_view header) {
    if (header.size() > most_header) return {};
    std::string out;
    std::vector<std::string_view> keys;
    while (!header.empty()) {
        const auto comma = header.find(',');
        const auto member = http::trimmed(header.substr(0, comma));
        header = comma == std::string_view::npos ? std::string_view{} : header.substr(comma + 1);
        if (member.empty()) continue;  // allowed, and means nothing
        const auto equals = member.find('=');
        if (equals == std::string_view::npos) return {};
        const auto key = member.substr(0, equals);
        if (!is_key(key) || !is_value(member.substr(equals + 1)) ||
            std::find(keys.begin(), keys.end(), key) != keys.end())
            return {};
        if (keys.size() >= most_state_members) return {};
        keys.push_back(key);
        // The first members are the latest hops': the end goes where there are too many bytes.
        if (out.size() + member.size() + 1 <= most_state) (out += out.empty() ? "" : ",") += member;
    }
    return out;
}

TraceId Ids::trace() {
    TraceId id{};
    while (std::all_of(id.begin(), id.end(), [](auto b) { return b == 0; }))
        for (std::size_t i = 0; i < id.size(); i += 8) {
            const auto bits = random_();
            for (std::size_t j = 0; j < 8; ++j) id[i + j] = static_cast<std::uint8_t>(bits >> (8 * j));
        }
    return id;
}

SpanId Ids::span() {
    SpanId id{};
    while (std::all_of(id.begin(), id.end(), [](auto b) { return b == 0; })) {
        const auto bits = random_();
        for (std::size_t j = 0; j < 8; ++j) id[j] = static_cast<std::uint8_t>(bits >> (8 * j));
    }
    return id;
}

std::size_t Span::bytes() const {
    std::size_t sum =
        sizeof(Span) + name.capacity() + state.capacity() + message.capacity() + bytes_of(attributes);
    for (const auto& e : events) sum += sizeof e + e.name.capacity() + bytes_of(e.attributes);
    for (const auto& l : links) sum += sizeof l + bytes_of(l.attributes);
    return sum;
}

}  // namespace brasslift::telemetry
