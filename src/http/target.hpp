// The parts of a request's target: its path and the parameters of its query.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace brasslift::http {

// What a query says of one parameter. `repeated` and `malformed` (a percent sign without two hexadecimal
// digits) leave no value.
struct Parameter {
    enum class Fault : unsigned char { none, repeated, malformed };
    std::optional<std::string> value;  // decoded; nothing where the parameter is not there
    Fault fault = Fault::none;
};

// The path before the query.
std::string_view path_of(std::string_view target);
// By its plain name: `name` is compared with what the query's names decode to.
Parameter parameter_of(std::string_view target, std::string_view name);

}  // namespace brasslift::http
