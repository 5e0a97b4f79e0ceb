#include "telemetry/answer.hpp"

#include <algorithm>
#include <optional>

namespace brasslift::telemetry {
namespace {

struct Field {
    std::uint64_t number = 0, value = 0;  // the value of a varint
    std::string_view bytes;               // of a field with a length
};

std::optional<std::uint64_t> varint(std::string_view& rest) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64 && !rest.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(rest.front());
        rest.remove_prefix(1);
        value |= std::uint64_t{byte & 0x7fU} << shift;
        if ((byte & 0x80) == 0) return value;
    }
    return std::nullopt;
}

std::optional<Field> next(std::string_view& rest) {
    const auto tag = varint(rest);
    if (!tag) return std::nullopt;
    Field field;
    field.number = *tag >> 3;
    std::optional<std::uint64_t> size;
    switch (*tag & 7) {
        case 0:
            size = varint(rest);
            if (!size) return std::nullopt;
            field.value = *size;
            return field;
        case 1: size = 8; break;
        case 2: size = varint(rest); break;
        case 5: size = 4; break;
        default: return std::nullopt;
    }
    if (!size || *size > rest.size()) return std::nullopt;
    field.bytes = rest.substr(0, *size);
    rest.remove_prefix(*size);
    return field;
}

}  // namespace

PartialSuccess read_partial_success(std::string_view body) {
    constexpr std::size_t most_text = 200;
    PartialSuccess found;
    while (const auto outer = next(body)) {
        if (outer->number != 1) continue;
        for (auto rest = outer->bytes; const auto inner = next(rest);) {
            if (inner->number == 1) found.rejected = static_cast<std::int64_t>(inner->value);
            if (inner->number == 2) found.text = inner->bytes.substr(0, most_text);
        }
    }
    found.rejected = std::max<std::int64_t>(0, found.rejected);
    std::replace_if(
        found.text.begin(), found.text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
    return found;
}

}  // namespace brasslift::telemetry
