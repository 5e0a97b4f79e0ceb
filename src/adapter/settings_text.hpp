// The settings as the wire gives them, path=value a line. Decides nothing and fills in nothing that decides.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "brasslift/sender.hpp"

namespace brasslift::wire {

// Names the key that is missing or out of its domain.
class BadSettings : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

Settings read_settings(std::string_view text);

}  // namespace brasslift::wire
