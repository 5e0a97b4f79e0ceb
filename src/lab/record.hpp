// Results of scale runs as files: one JSON file for each axis and label, with the commit, the command and the
// machine of its run. Errors: throws std::runtime_error with the file and the cause.
#pragma once

#include <string>
#include <vector>

#include "lab/scale.hpp"

namespace brasslift::lab {

// What a run was made on. Nothing that names a host.
struct Machine {
    int cores = 0;
    double memory_gb = 0;
    std::string processor;  // its model, as the kernel says it
};
struct Result {
    std::string label;   // empty or "after": today's program; any other is shown beside it
    std::string commit;  // of the program that ran
    Machine machine;
    AxisRun run;
};

Machine machine_here();

std::string as_json(const Result& result);
// `file` is for the error alone.
Result result_of(const std::string& json, const std::string& file);

// FOLDER/AXIS.json, or AXIS-LABEL.json. Answers its path.
std::string record(const Result& result, const std::string& folder);
// All of a folder, by name.
std::vector<Result> results_in(const std::string& folder);

}  // namespace brasslift::lab
