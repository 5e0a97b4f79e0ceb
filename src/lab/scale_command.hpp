// `brasslift-lab scale AXIS`: one axis of the scale runs, printed, and written to a folder where asked.
#pragma once

#include <string>

#include "lab/scale.hpp"

namespace brasslift::lab {

struct ScaleCall {
    std::string axis;
    ScaleOptions options;
    bool json = false;
    std::string record;  // a folder; empty: nothing is written
    std::string label, commit;
};

// Answers the exit code: 0 all points came off, 1 some did not. Throws std::invalid_argument for an axis or
// size that there is not, std::runtime_error where the run cannot work.
int scale(const ScaleCall& call);

}  // namespace brasslift::lab
