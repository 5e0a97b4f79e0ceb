// The words by which logs, figures and telemetry name what the core's enumerations say.
#pragma once

#include <string_view>

#include "dispatch/observer.hpp"

namespace brasslift::dispatch {

std::string_view name_of(Refusal by);
std::string_view name_of(Result result);
std::string_view name_of(Progress progress);
std::string_view name_of(Ending ending);

}  // namespace brasslift::dispatch
