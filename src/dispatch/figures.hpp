// What became of messages, counted where they end. Begins at 0 in every process.
#pragma once

#include <cstdint>
#include <vector>

namespace brasslift::dispatch {

struct ClassFigures {
    std::uint64_t fulfilled = 0;  // delivered
    std::uint64_t throttled = 0;  // refused, or ended as deferred
    std::uint64_t faulted = 0;    // failed
};

// By the classes' places in the settings.
using Figures = std::vector<ClassFigures>;

}  // namespace brasslift::dispatch
