// Quantities with units: what a text means, exactly, and how a meaning is written.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "brasslift/sender.hpp"

namespace brasslift::lang {

enum class Unit { duration, size, rate, share };

// In whole numbers, so that "2s" and "2000ms" are the same: microseconds, bytes, thousandths of one an hour,
// thousandths of a percent.
struct Quantity {
    std::int64_t value = 0;
    double milliseconds() const { return static_cast<double>(value) / 1000; }
    double per_second() const { return static_cast<double>(value) / 3'600'000; }
    double part() const { return static_cast<double>(value) / 100'000; }
};

struct Misread {
    std::string what, fix;
};

// A destination as it is written: numbers from..to, a name, or the beginning of one.
struct DestinationText {
    enum class Kind { number, range, name, prefix } kind = Kind::number;
    DestinationId from = 0, to = 0;
    std::string name;  // without the '*'
};
std::variant<DestinationText, Misread> read_destination(std::string_view text);
bool is_name(std::string_view text);

std::variant<Quantity, Misread> read_quantity(Unit unit, std::string_view text);
// The shortest way to write it that means the same.
std::string write_quantity(Unit unit, Quantity quantity);

}  // namespace brasslift::lang
