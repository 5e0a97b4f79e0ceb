#include "lab/record.hpp"

#include <google/protobuf/util/json_util.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "brasslift/lab/v1/results.pb.h"
#include "config/json.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

[[noreturn]] void fault(const std::string& file, const std::string& cause) {
    throw std::runtime_error(file + ": " + cause);
}

}  // namespace

Machine machine_here() {
    Machine machine;
    machine.cores = static_cast<int>(::sysconf(_SC_NPROCESSORS_ONLN));
    machine.memory_gb = std::round(static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
                                   static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e8) /
                        10;
    std::ifstream in("/proc/cpuinfo");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("model name"))
            if (const auto colon = line.find(": "); colon != std::string::npos) {
                machine.processor = line.substr(colon + 2);
                break;
            }
    return machine;
}

std::string as_json(const Result& result) {
    char memory[32];
    std::snprintf(memory, sizeof memory, "%.1f", result.machine.memory_gb);
    auto run = as_json(result.run);
    while (!run.empty() && run.back() == '\n') run.pop_back();
    return "{\"label\": " + config::quoted(result.label) + ", \"commit\": " + config::quoted(result.commit) +
           ",\n\"machine\": {\"cores\": " + std::to_string(result.machine.cores) +
           ", \"memory_gb\": " + memory + ", \"processor\": " + config::quoted(result.machine.processor) +
           "},\n\"run\": " + run + "}\n";
}

Result result_of(const std::string& json, const std::string& file) {
    v1::Result read;
    const auto status = google::protobuf::util::JsonStringToMessage(json, &read);
    if (!status.ok()) fault(file, status.ToString());
    Result result{read.label(),
                  read.commit(),
                  {read.machine().cores(), read.machine().memory_gb(), read.machine().processor()},
                  {read.run().axis(), read.run().command(), {}}};
    static const std::vector<std::string> axes{"members", "destinations", "backlog", "rate"};
    if (std::find(axes.begin(), axes.end(), result.run.axis) == axes.end())
        fault(file, "no axis has the name \"" + result.run.axis + '"');
    if (result.commit.empty()) fault(file, "it does not say of which commit it is");
    for (const auto& point : read.run().points()) {
        Point one{point.size(), {}, point.note()};
        if (!(one.size >= 0)) fault(file, "a size below nothing");
        for (const auto& [name, value] : point.measures()) {
            if (!std::isfinite(value)) fault(file, name + " is no number");
            one.measures.push_back({name, value});
        }
        // The map has no order of its own.
        std::sort(one.measures.begin(), one.measures.end(),
                  [](const Measure& a, const Measure& b) { return a.name < b.name; });
        result.run.points.push_back(std::move(one));
    }
    if (result.run.points.empty()) fault(file, "it has no points");
    return result;
}

std::string record(const Result& result, const std::string& folder) {
    fs::create_directories(folder);
    const auto path =
        fs::path(folder) / (result.run.axis + (result.label.empty() ? "" : "-" + result.label) + ".json");
    std::ofstream out(path);
    out << as_json(result);
    if (!out.flush()) fault(path.string(), "cannot be written");
    return path.string();
}

std::vector<Result> results_in(const std::string& folder) {
    std::vector<fs::path> paths;
    if (!fs::is_directory(folder)) fault(folder, "there is no such folder");
    for (const auto& entry : fs::directory_iterator(folder))
        if (entry.path().extension() == ".json") paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    std::vector<Result> results;
    for (const auto& path : paths) {
        std::ifstream in(path);
        std::stringstream text;
        text << in.rdbuf();
        if (!in) fault(path.string(), "cannot be read");
        results.push_back(result_of(text.str(), path.string()));
    }
    return results;
}

}  // namespace brasslift::lab
