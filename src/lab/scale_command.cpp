#include "lab/scale_command.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "lab/record.hpp"

namespace brasslift::lab {
namespace {

AxisRun run_axis(const std::string& axis, const ScaleOptions& options) {
    if (axis == "members") return run_members(options);
    if (axis == "destinations") return run_destinations(options);
    if (axis == "backlog") return run_backlog(options);
    if (axis == "rate") return run_rate(options);
    throw std::invalid_argument("scale members, destinations, backlog or rate, not \"" + axis + '"');
}

}  // namespace

int scale(const ScaleCall& call) {
    for (const double size : call.options.sizes)
        if (!(size >= 0) || !std::isfinite(size)) throw std::invalid_argument("a size is a number of things");
    if (!(call.options.seconds > 0) || !std::isfinite(call.options.seconds))
        throw std::invalid_argument("--seconds is above 0");
    // Said before the run, which may take long.
    if (!call.record.empty() && call.commit.empty())
        throw std::invalid_argument("--record needs --commit, the commit that the program is of");
    const bool label_fits = std::all_of(call.label.begin(), call.label.end(), [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    });
    if (!label_fits) throw std::invalid_argument("--label is of a-z, 0-9 and _");

    auto run = run_axis(call.axis, call.options);
    run.command = call.options.command;
    std::printf("%s", (call.json ? as_json(run) : as_text(run)).c_str());
    if (!call.record.empty()) {
        const auto path = record({call.label, call.commit, machine_here(), run}, call.record);
        std::fprintf(stderr, "brasslift-lab: written to %s\n", path.c_str());
    }
    return std::any_of(run.points.begin(), run.points.end(),
                       [](const Point& one) { return !one.note.empty(); })
               ? 1
               : 0;
}

}  // namespace brasslift::lab
