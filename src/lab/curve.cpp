#include "lab/curve.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace brasslift::lab {

const char* text_of(Basis basis) {
    switch (basis) {
        case Basis::constant: return "constant of the code";
        case Basis::worked_out: return "worked out";
        case Basis::measured: return "measured";
        case Basis::line: return "line";
        case Basis::rough_line: return "line, rough";
        case Basis::curve: return "curve";
        case Basis::did_not_run: return "the next run did not come off";
    }
    return "";
}

std::optional<double> measure_of(const Point& point, const std::string& name) {
    for (const auto& one : point.measures)
        if (one.name == name) return one.value;
    return std::nullopt;
}

std::optional<Curve> Curve::of(const AxisRun& run, const Get& get) {
    AxisRun derived;
    std::map<double, std::pair<double, int>> sums;
    for (const auto& point : run.points)
        if (const auto got = get(point); got && std::isfinite(got->second)) {
            derived.points.push_back({got->first, {{"value", got->second}}, ""});
            auto& [sum, count] = sums[got->first];
            sum += got->second, ++count;
        }
    if (sums.empty()) return std::nullopt;
    Curve curve;
    for (const auto& [size, sum] : sums) curve.points_.emplace_back(size, sum.first / sum.second);
    curve.fit_ = fit_of(derived, "value");
    curve.floor_ = curve.most_ = curve.points_.front().second;
    for (const auto& [size, value] : curve.points_) {
        curve.floor_ = std::min(curve.floor_, value);
        curve.most_ = std::max(curve.most_, value);
    }
    return curve;
}

std::optional<Curve> Curve::of(const AxisRun& run, const std::string& measure) {
    return of(run, [&](const Point& point) -> std::optional<std::pair<double, double>> {
        const auto value = measure_of(point, measure);
        if (!value) return std::nullopt;
        return std::pair{point.size, *value};
    });
}

Basis Curve::line_basis() const {
    // Two points miss no line.
    return points_.size() < 3 || fit_.residual > straight_residual ? Basis::rough_line : Basis::line;
}

std::optional<Carried> Curve::at(double size) const {
    const auto straight = line_basis();
    const auto above =
        std::lower_bound(points_.begin(), points_.end(), size,
                         [](const auto& point, double wanted) { return point.first < wanted; });
    if (above != points_.end() && above->first == size) return Carried{above->second, Basis::measured, false};
    if (points_.size() < 2) return std::nullopt;
    if (above != points_.end() && above != points_.begin()) {
        const auto& [s0, v0] = *std::prev(above);
        return Carried{v0 + (above->second - v0) * (size - s0) / (above->first - s0), Basis::measured, false};
    }
    // What does not grow is taken at its worst.
    if (fit_.exponent <= 0 || fit_.slope <= 0) return Carried{most_, straight, false};
    const auto& [last_size, last] = points_.back();
    if (fit_.exponent > steep_exponent && size > last_size)
        return Carried{floor_ + (last - floor_) * std::pow(size / last_size, fit_.exponent), Basis::curve,
                       false};
    return Carried{std::max(0.0, fit_.at(size)), straight, false};
}

std::optional<Carried> Curve::crossing(double bound) const {
    const auto straight = line_basis();
    constexpr double never = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < points_.size(); ++i) {
        const auto& [size, value] = points_[i];
        if (value <= bound) continue;
        if (i == 0) return Carried{size, Basis::measured, true};
        const auto& [s0, v0] = points_[i - 1];
        return Carried{s0 + (size - s0) * (bound - v0) / (value - v0), Basis::measured, false};
    }
    if (points_.size() < 2) return std::nullopt;
    const auto& [last_size, last] = points_.back();
    if (fit_.exponent <= 0 || fit_.slope <= 0) return Carried{never, straight, false};
    if (fit_.exponent > steep_exponent)
        return Carried{last_size * std::pow((bound - floor_) / (last - floor_), 1 / fit_.exponent),
                       Basis::curve};
    // No point so far has passed it, whatever the line says.
    return Carried{std::max(last_size, (bound - fit_.intercept) / fit_.slope), straight, false};
}

}  // namespace brasslift::lab
