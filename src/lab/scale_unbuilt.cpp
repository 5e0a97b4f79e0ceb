// Axes without a run of their own yet. Each goes from here as its file comes.
#include <stdexcept>

#include "lab/scale.hpp"

namespace brasslift::lab {
namespace {

[[noreturn]] void unbuilt(const char* axis) {
    throw std::runtime_error(std::string("the axis ") + axis + " is not built yet");
}

}  // namespace

AxisRun run_members(const ScaleOptions&) { unbuilt("members"); }
AxisRun run_destinations(const ScaleOptions&) { unbuilt("destinations"); }
AxisRun run_backlog(const ScaleOptions&) { unbuilt("backlog"); }
AxisRun run_rate(const ScaleOptions&) { unbuilt("rate"); }

}  // namespace brasslift::lab
