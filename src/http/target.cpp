#include "http/target.hpp"

namespace brasslift::http {
namespace {

int digit_of(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

// As forms are encoded: %XX is a byte, a plus sign a blank.
std::optional<std::string> decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            out += ' ';
        } else if (text[i] != '%') {
            out += text[i];
        } else {
            const int high = i + 2 < text.size() ? digit_of(text[i + 1]) : -1;
            const int low = high < 0 ? -1 : digit_of(text[i + 2]);
            if (low < 0) return std::nullopt;
            out += static_cast<char>(high * 16 + low);
            i += 2;
        }
    }
    return out;
}

}  // namespace

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

Parameter parameter_of(std::string_view target, std::string_view name) {
    Parameter found;
    const auto query = target.find('?');
    if (query == std::string_view::npos) return found;
    auto rest = target.substr(query + 1);
    rest = rest.substr(0, rest.find('#'));
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const auto equals = part.find('=');
        if (decoded(part.substr(0, equals)) != name) continue;
        if (found.value) return {std::nullopt, Parameter::Fault::repeated};
        found.value = equals == std::string_view::npos ? std::string() : decoded(part.substr(equals + 1));
        if (!found.value) return {std::nullopt, Parameter::Fault::malformed};
    }
    return found;
}

}  // namespace brasslift::http
