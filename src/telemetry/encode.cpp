#include "telemetry/encode.hpp"

#include "telemetry/backwards.hpp"

namespace brasslift::telemetry {

void put(Backwards& out, const Value& value) {
    struct Put {
        Backwards& out;
        // A oneof's member is written also where it holds a zero.
        void operator()(const std::string& text) const { out.text(1, text, true); }
        void operator()(bool flag) const {
            out.varint(flag ? 1 : 0);
            out.tag(2, Wire::varint);
        }
        void operator()(std::int64_t number) const {
            out.varint(static_cast<std::uint64_t>(number));
            out.tag(3, Wire::varint);
        }
        void operator()(double number) const { out.real(4, number); }
    };
    std::visit(Put{out}, value);
}

void put(Backwards& out, std::uint32_t field, const std::vector<Attribute>& attributes) {
    for (auto a = attributes.rbegin(); a != attributes.rend(); ++a) {
        const auto whole = out.size();
        put(out, a->value);
        out.close(2, whole);
        out.text(1, a->key);
        out.close(field, whole);
    }
}

namespace {

template <std::size_t Size>
bool any(const std::array<std::uint8_t, Size>& id) {
    return std::any_of(id.begin(), id.end(), [](auto b) { return b != 0; });
}

void put(Backwards& out, const Span& span) {
    const auto whole = out.size();
    if (span.status != Status::unset || !span.message.empty()) {
        out.number(3, static_cast<std::uint64_t>(span.status));
        out.text(2, span.message);
        out.close(15, whole);
    }
    for (auto l = span.links.rbegin(); l != span.links.rend(); ++l) {
        const auto link = out.size();
        put(out, 4, l->attributes);
        out.id(2, l->span);
        out.id(1, l->trace);
        out.close(13, link);
    }
    for (auto e = span.events.rbegin(); e != span.events.rend(); ++e) {
        const auto event = out.size();
        put(out, 3, e->attributes);
        out.text(2, e->name);
        out.fixed(1, e->at);
        out.close(11, event);
    }
    put(out, 9, span.attributes);
    out.fixed(8, span.end);
    out.fixed(7, span.start);
    out.number(6, static_cast<std::uint64_t>(span.kind));
    out.text(5, span.name);
    if (any(span.parent)) out.id(4, span.parent);
    out.text(3, span.state);
    out.id(2, span.id);
    out.id(1, span.trace);
    out.close(2, whole);
}

void put(Backwards& out, const LogRecord& record) {
    const auto whole = out.size();
    out.fixed(11, record.observed);
    if (any(record.span)) out.id(10, record.span);
    if (any(record.trace)) out.id(9, record.trace);
    put(out, 6, record.attributes);
    const auto body = out.size();
    out.text(1, record.body, true);
    out.close(5, body);
    out.text(3, record.severity == Severity::warn ? "WARN" : "INFO");
    out.number(2, static_cast<std::uint64_t>(record.severity));
    out.fixed(1, record.at);
    out.close(2, whole);
}

// Resource and scope round items of that many bytes: spans, metrics and log records are wrapped alike.
std::string head_of(const Source& source, std::size_t items) {
    Backwards scope(128);
    scope.text(2, source.version);
    scope.text(1, source.scope);
    scope.close(1, 0);
    Backwards out(256 + source.resource.size() * 64);
    const auto varint_size = [](std::size_t n) {
        std::size_t size = 1;
        for (; n > 0x7f; n >>= 7) ++size;
        return size;
    };
    const auto scope_size = scope.size() + items;
    out.raw(scope.written().data(), scope.size());
    out.varint(scope_size);
    out.tag(2, Wire::bytes);
    const auto scopes = out.size();
    put(out, 1, source.resource);
    out.close(1, scopes);
    const auto inner = out.size() - scopes + 1 + varint_size(scope_size) + scope_size;
    out.varint(inner);
    out.tag(1, Wire::bytes);
    return out.take();
}

}  // namespace

std::string encode_item(const Span& span) {
    static Backwards out(4096);  // one thread encodes
    out.clear();
    put(out, span);
    return std::string(out.written());
}

std::string encode_item(const LogRecord& record) {
    static Backwards out(1024);
    out.clear();
    put(out, record);
    return std::string(out.written());
}

std::string request_of(const Source& source, std::span<const std::string> items) {
    std::size_t size = 0;
    for (const auto& item : items) size += item.size();
    auto request = head_of(source, size);
    request.reserve(request.size() + size);
    for (const auto& item : items) request += item;
    return request;
}

std::string encode(const Source& source, std::span<const Span> spans) {
    constexpr std::size_t usual_span = 320;
    Backwards out(256 + spans.size() * usual_span);
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) put(out, *span);
    const auto behind = out.size();
    out.text(2, source.version);
    out.text(1, source.scope);
    out.close(1, behind);
    out.close(2, 0);
    const auto scopes = out.size();
    put(out, 1, source.resource);
    out.close(1, scopes);
    out.close(1, 0);
    return out.take();
}

}  // namespace brasslift::telemetry
