// What gives a packed state its meaning: two processes that differ in it have nothing to give each other.
#pragma once

#include "config/config.hpp"
#include "handover/decide.hpp"

namespace brasslift::handover {

Hello hello_of(const config::Config& config);

}  // namespace brasslift::handover
