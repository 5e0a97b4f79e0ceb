#include "lab/scale.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>

#include "config/json.hpp"

namespace brasslift::lab {
namespace {

// Below this share of the largest value, differences are taken for noise and not for growth.
constexpr double flat_share = 0.05;

// Size to value; runs of the same size count by their mean.
std::map<double, double> values_of(const AxisRun& run, const std::string& measure) {
    std::map<double, std::pair<double, int>> sums;
    for (const auto& point : run.points)
        for (const auto& one : point.measures)
            if (one.name == measure && std::isfinite(one.value)) {
                auto& [sum, count] = sums[point.size];
                sum += one.value, ++count;
            }
    std::map<double, double> values;
    for (const auto& [size, sum] : sums) values[size] = sum.first / sum.second;
    return values;
}

// What is paid at size nothing is told by the two smallest sizes: the intercept of all points would be bent
// by the very growth that is asked for. No cost is below nothing, nor above what was measured.
double growth_exponent(const std::map<double, double>& values) {
    if (values.size() < 3) return 1;
    double least = values.begin()->second, most = least;
    for (const auto& [size, value] : values) least = std::min(least, value), most = std::max(most, value);
    const auto first = values.begin(), second = std::next(first);
    const auto last = std::prev(values.end()), before = std::prev(last);
    if (most - least <= flat_share * std::abs(most) || last->second <= before->second) return 0;
    if (first->first <= 0)  // the cost of nothing was measured itself
        least = first->second;
    else
        least = std::clamp(
            first->second - first->first * (second->second - first->second) / (second->first - first->first),
            std::min(0.0, least), least);
    if (before->second <= least) return 0;
    return std::log((last->second - least) / (before->second - least)) /
           std::log(last->first / before->first);
}

std::vector<std::string> measures_of(const AxisRun& run) {
    std::vector<std::string> names;
    for (const auto& point : run.points)
        for (const auto& one : point.measures)
            if (std::find(names.begin(), names.end(), one.name) == names.end()) names.push_back(one.name);
    return names;
}

std::string number(double value, const char* format = "%.6g") {
    char text[40];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

std::string padded(std::string text, std::size_t width) {
    if (text.size() < width) text.insert(0, width - text.size(), ' ');
    return text;
}

}  // namespace

Fit fit_of(const AxisRun& run, const std::string& measure) {
    const auto values = values_of(run, measure);
    Fit fit;
    fit.points = values.size();
    if (values.empty()) return fit;
    const double count = static_cast<double>(values.size());
    double mean_size = 0, mean_value = 0, most = 0;
    for (const auto& [size, value] : values)
        mean_size += size / count, mean_value += value / count, most = std::max(most, std::abs(value));
    double across = 0, along = 0;
    for (const auto& [size, value] : values) {
        along += (size - mean_size) * (size - mean_size);
        across += (size - mean_size) * (value - mean_value);
    }
    fit.slope = along > 0 ? across / along : 0;
    fit.intercept = mean_value - fit.slope * mean_size;
    for (const auto& [size, value] : values)
        if (most > 0) fit.residual = std::max(fit.residual, std::abs(value - fit.at(size)) / most);
    fit.exponent = growth_exponent(values);
    return fit;
}

Room room_here() {
    Room room;
    const auto pages = ::sysconf(_SC_PHYS_PAGES), page = ::sysconf(_SC_PAGESIZE);
    std::uint64_t memory =
        pages > 0 && page > 0 ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(page) : 0;
    // What a container may have, where one is set; its file says "max" where none is.
    std::uint64_t bound = 0;
    if (std::ifstream in("/sys/fs/cgroup/memory.max"); in >> bound) memory = std::min(memory, bound);
    room.memory_bytes = memory / 2;
    rlimit processes{};
    if (::getrlimit(RLIMIT_NPROC, &processes) == 0 && processes.rlim_cur != RLIM_INFINITY)
        room.processes =
            static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(room.processes), processes.rlim_cur / 2));
    return room;
}

std::string as_text(const AxisRun& run) {
    const auto names = measures_of(run);
    std::size_t wide = run.axis.size();
    for (const auto& name : names) wide = std::max(wide, name.size());
    constexpr std::size_t column = 13;
    const auto left = [&](std::string text) { return text.append(wide - text.size(), ' '); };
    std::string out = left(run.axis);
    for (const auto& point : run.points) out += padded(number(point.size, "%.10g"), column);
    out += '\n';
    for (const auto& name : names) {
        out += left(name);
        for (const auto& point : run.points) {
            const auto found = std::find_if(point.measures.begin(), point.measures.end(),
                                            [&](const Measure& one) { return one.name == name; });
            out += padded(found == point.measures.end() ? "-" : number(found->value), column);
        }
        out += '\n';
    }
    out += "\nfits: value = intercept + slope x size\n" + left("") + padded("intercept", column) +
           padded("slope", column) + padded("residual", column) + padded("exponent", column) + '\n';
    for (const auto& name : names) {
        const auto fit = fit_of(run, name);
        out += left(name);
        if (fit.points < 2) {
            out += "  too few points for a line\n";
            continue;
        }
        out += padded(number(fit.intercept), column) + padded(number(fit.slope), column) +
               padded(number(fit.residual * 100, "%.1f %%"), column) +
               padded(fit.points < 3 ? "-" : number(fit.exponent, "%.2f"), column);
        if (fit.exponent > steep_exponent)
            out += "  GROWS FASTER THAN A LINE";
        else if (fit.residual > straight_residual)
            out += "  not a line";
        out += '\n';
    }
    for (const auto& point : run.points)
        if (!point.note.empty()) out += "\nat " + number(point.size, "%.10g") + ": " + point.note;
    if (!out.empty() && out.back() != '\n') out += '\n';
    return out;
}

std::string as_json(const AxisRun& run) {
    // Digits enough to give the number back; what is no number is left out, as if not measured.
    const auto exact = [](double value) { return number(value, "%.12g"); };
    std::string out = "{\"axis\": " + config::quoted(run.axis) +
                      ", \"command\": " + config::quoted(run.command) + ",\n \"points\": [";
    const char* between = "";
    for (const auto& point : run.points) {
        out += between + std::string("\n  {\"size\": ") + exact(point.size) +
               ", \"note\": " + config::quoted(point.note) + ", \"measures\": {";
        const char* comma = "";
        for (const auto& one : point.measures)
            if (std::isfinite(one.value)) {
                out += comma + std::string("\n   ") + config::quoted(one.name) + ": " + exact(one.value);
                comma = ",";
            }
        out += "}}";
        between = ",";
    }
    out += "],\n \"fits\": {";
    between = "";
    for (const auto& name : measures_of(run)) {
        const auto fit = fit_of(run, name);
        if (fit.points < 2) continue;
        out += between + std::string("\n  ") + config::quoted(name) +
               ": {\"points\": " + std::to_string(fit.points) + ", \"intercept\": " + exact(fit.intercept) +
               ", \"slope\": " + exact(fit.slope) + ", \"residual\": " + exact(fit.residual) +
               ", \"exponent\": " + exact(fit.exponent) + "}";
        between = ",";
    }
    return out + "}}\n";
}

}  // namespace brasslift::lab
