// Scale runs: what a size costs, measured at some sizes and carried on by a line. An axis is one quantity
// that grows (members, destinations, backlog, rate); each of its points is one run. Decides nothing about the
// dispatcher. Errors: throws std::runtime_error where a run cannot work; a size that does not fit this
// machine is refused before it begins, with the largest that would fit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace brasslift::lab {

// One figure of one run. Names are snake_case and end in their unit: leader_cpu_percent, resident_bytes.
struct Measure {
    std::string name;
    double value = 0;
};
struct Point {
    double size = 0;  // along the axis
    std::vector<Measure> measures;
    std::string note;  // what of it did not come off; empty: nothing
};
struct AxisRun {
    std::string axis;     // members, destinations, backlog, rate
    std::string command;  // as it was called
    std::vector<Point> points;
};

// Least squares of value = intercept + slope x size over the points that have the measure, and the power of
// size by which it grows between the two largest sizes, once the intercept is taken off.
struct Fit {
    std::size_t points = 0;
    double intercept = 0, slope = 0;
    double residual = 0;  // the largest miss of a point, as a share of the largest value
    double exponent = 1;  // 1: a line; 2: a square
    double at(double size) const { return intercept + slope * size; }
};
Fit fit_of(const AxisRun& run, const std::string& measure);
// Above this exponent a line must not be carried on, above this residual only with care; both are flagged.
inline constexpr double steep_exponent = 1.3, straight_residual = 0.1;

// What a machine has for a run: half of its memory, and so many processes.
struct Room {
    std::uint64_t memory_bytes = 0;
    int processes = 200;
};
Room room_here();

struct ScaleOptions {
    std::string program;        // the dispatcher
    std::vector<double> sizes;  // empty: the axis's own
    std::uint64_t seed = 1;
    int voters = 5;
    double seconds = 10;  // of load or rest at each point
    std::string command;  // as it was called, for the record
    Room room;
};
// Each in a file of its own (scale_members.cpp, scale_destinations.cpp, scale_backlog.cpp, scale_rate.cpp).
AxisRun run_members(const ScaleOptions& options);
AxisRun run_destinations(const ScaleOptions& options);
AxisRun run_backlog(const ScaleOptions& options);
AxisRun run_rate(const ScaleOptions& options);

// A table of points, then the fits; or one JSON object.
std::string as_text(const AxisRun& run);
std::string as_json(const AxisRun& run);

}  // namespace brasslift::lab
