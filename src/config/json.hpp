// A small bounded JSON reader: an object becomes path=value pairs, as the simulator's wire writes settings.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace brasslift::config {

// Plain lists are comma-joined, with their length under .count too; lists of objects have items under .0, .1
// and so on. Spaces, commas and line ends inside values turn into '_'; null is left out.
using Flat = std::map<std::string, std::string, std::less<>>;

// Nothing where the text is not one JSON object, is nested too deep or holds too many values.
std::optional<Flat> flatten(std::string_view json);

std::string text_or(const Flat& flat, std::string_view path, std::string_view otherwise = {});
double number_or(const Flat& flat, std::string_view path, double otherwise);

// A string as JSON writes it, quotes included.
std::string quoted(std::string_view text);

}  // namespace brasslift::config
