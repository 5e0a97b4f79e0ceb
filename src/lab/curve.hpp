// One measure along one axis, carried on beyond what was measured: straight between points, and beyond the
// last one by the line of all, or by the growth between the two largest where that is steeper than a line.
// Pure.
#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "lab/scale.hpp"

namespace brasslift::lab {

// Where a figure comes from.
enum class Basis {
    constant,    // of the code
    worked_out,  // of constants and the size alone
    measured,    // between points that were run
    line,        // carried on
    rough_line,  // the same, though a point misses it by more than straight_residual, or of two points alone
    curve,       // carried on by more than a line
    did_not_run  // a larger point did not come off
};
const char* text_of(Basis basis);

struct Carried {
    double value = 0;  // infinity: no line reaches it
    Basis basis = Basis::line;
    bool at_most = false;  // it was passed at the smallest size that was run
};

class Curve {
public:
    // Size and value of a point; nothing: the point does not have it.
    using Get = std::function<std::optional<std::pair<double, double>>(const Point& point)>;
    // Nothing where no point has it.
    static std::optional<Curve> of(const AxisRun& run, const Get& get);
    static std::optional<Curve> of(const AxisRun& run, const std::string& measure);

    // Nothing where one point alone has it, and that is another size.
    std::optional<Carried> at(double size) const;
    // The size at which the value passes the bound.
    std::optional<Carried> crossing(double bound) const;
    const Fit& fit() const { return fit_; }
    double largest() const { return points_.back().first; }

private:
    Basis line_basis() const;
    std::vector<std::pair<double, double>> points_;  // by size, each once
    Fit fit_;
    double floor_ = 0, most_ = 0;  // the smallest and the largest value
};

// The figure that a point has under that name.
std::optional<double> measure_of(const Point& point, const std::string& name);

}  // namespace brasslift::lab
