#include "lang/units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <span>

#include "lang/source.hpp"

namespace brasslift::lang {
namespace {

__extension__ typedef __int128 Wide;  // wide enough for every value that can be told from too large a one

struct Suffix {
    std::string_view text;
    std::int64_t worth;
};
// The largest first, as writing tries them in that order.
constexpr Suffix durations[] = {
    {"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1000}, {"us", 1}};
constexpr Suffix sizes[] = {{"TiB", 1LL << 40},    {"GiB", 1LL << 30}, {"MiB", 1LL << 20}, {"KiB", 1LL << 10},
                            {"GB", 1'000'000'000}, {"MB", 1'000'000},  {"kB", 1000},       {"B", 1}};
constexpr Suffix rates[] = {{"/s", 3'600'000}, {"/m", 60'000}, {"/h", 1000}};
constexpr Suffix shares[] = {{"%", 1000}};

std::span<const Suffix> suffixes(Unit unit) {
    switch (unit) {
        case Unit::duration: return durations;
        case Unit::size: return sizes;
        case Unit::rate: return rates;
        default: return shares;
    }
}

const char* noun(Unit unit) {
    constexpr std::array names{"a duration", "a size", "a rate", "a share"};
    return names[static_cast<std::size_t>(unit)];
}

const char* example(Unit unit) {
    constexpr std::array examples{"\"250ms\", \"2s\", \"5m\" or \"1h\"", "\"512B\", \"64KiB\" or \"1MiB\"",
                                  "\"120/s\", \"6/m\" or \"1000/h\"", "\"30%\" or \"12.5%\""};
    return examples[static_cast<std::size_t>(unit)];
}

bool digit(char c) { return c >= '0' && c <= '9'; }

bool name_char(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || digit(c) || c == '-' || c == '_' || c == '.';
}

// A destination's number; nothing where it is none or too large.
std::optional<DestinationId> read_number(std::string_view text) {
    DestinationId value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    return fault == std::errc{} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

}  // namespace

std::variant<Quantity, Misread> read_quantity(Unit unit, std::string_view text) {
    const std::string fix = std::string("write it as ") + example(unit);
    const auto quoted = shown(text);
    if (text.empty()) return Misread{std::string("an empty text is not ") + noun(unit), fix};
    if (text.front() == '-') return Misread{quoted + " is below zero", fix};
    std::size_t at = 0;
    Wide digits = 0, scale = 1;
    bool any = false, overflow = false, point = false, fine = false;
    for (; at < text.size() && (digit(text[at]) || (text[at] == '.' && !point)); ++at) {
        if (text[at] == '.') {
            point = true;
            continue;
        }
        any = true;
        if (scale > 1'000'000'000'000) {
            fine = fine || text[at] != '0';
            continue;
        }
        if (digits > std::numeric_limits<std::int64_t>::max()) {
            overflow = true;
            continue;
        }
        digits = digits * 10 + (text[at] - '0');
        if (point) scale *= 10;
    }
    if (!any || text[at - 1] == '.') return Misread{quoted + " is not " + noun(unit), fix};
    const auto suffix = text.substr(at);
    if (suffix.empty()) return Misread{quoted + " has no unit", fix};
    for (const auto& s : suffixes(unit)) {
        if (s.text != suffix) continue;
        const Wide value = digits * s.worth;
        if (overflow || value / scale > std::numeric_limits<std::int64_t>::max())
            return Misread{quoted + " is too large to be counted", "write a smaller value"};
        if (fine || value % scale != 0)
            return Misread{quoted + " is finer than can be counted", "write fewer decimals"};
        return Quantity{static_cast<std::int64_t>(value / scale)};
    }
    return Misread{shown(suffix, 20, '\'') + " in " + quoted + " is no unit of " + noun(unit), fix};
}

std::string write_quantity(Unit unit, Quantity quantity) {
    const auto all = suffixes(unit);
    if (quantity.value == 0) return '0' + std::string(unit == Unit::duration ? "s" : all.back().text);
    for (const auto& s : all)
        if (quantity.value % s.worth == 0)
            return std::to_string(quantity.value / s.worth) + std::string(s.text);
    // Finer than the smallest suffix: up to three decimals, which are all that such units count.
    const auto& least = all.back();
    auto decimals = std::to_string(quantity.value % least.worth + least.worth).substr(1);
    while (decimals.back() == '0') decimals.pop_back();
    return std::to_string(quantity.value / least.worth) + '.' + decimals + std::string(least.text);
}

bool is_name(std::string_view text) {
    constexpr std::size_t most_name = 64;
    return !text.empty() && text.size() <= most_name && std::all_of(text.begin(), text.end(), name_char) &&
           text[0] != '-' && text[0] != '.' && text[0] != '_';
}

std::variant<DestinationText, Misread> read_destination(std::string_view text) {
    using Kind = DestinationText::Kind;
    const bool numeric =
        !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return digit(c) || c == '-'; });
    if (!numeric) {
        const bool prefix = text.ends_with('*');
        const auto name = prefix ? text.substr(0, text.size() - 1) : text;
        if (is_name(name))
            return DestinationText{prefix ? Kind::prefix : Kind::name, 0, 0, std::string(name)};
        return Misread{shown(text, 80) + " is no destination",
                       "write a number, a range like \"10-19\", a name, or the beginning of one and '*'"};
    }
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        if (const auto number = read_number(text)) return DestinationText{Kind::number, *number, *number, {}};
        return Misread{shown(text) + " is beyond the last destination", "write a number up to 4294967295"};
    }
    const auto from = read_number(text.substr(0, dash)), to = read_number(text.substr(dash + 1));
    if (!from || !to)
        return Misread{shown(text) + " is no range of destinations",
                       "write two numbers up to 4294967295, like \"10-19\""};
    if (*from > *to)
        return Misread{shown(text) + " is a range that ends before it begins",
                       "write \"" + std::to_string(*to) + '-' + std::to_string(*from) + '"'};
    return DestinationText{Kind::range, *from, *to, {}};
}

}  // namespace brasslift::lang
