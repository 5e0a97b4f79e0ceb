// Copies of a whole store: taken beside a running one, checked, and put back only whole.
#pragma once

#include <functional>
#include <string>

#include "store/store.hpp"

namespace brasslift::store {

using Progress = std::function<void(std::uint64_t done, std::uint64_t all)>;  // bytes

struct Copied {
    Fault fault = Fault::none;
    std::string why;
    std::uint64_t files = 0, bytes = 0;
};

// A consistent copy of `source` as it was opened, into a folder without files. A store opened for reading
// holds its segments open, so that compaction in their own process takes nothing away. Every frame is checked
// on the way. The list of files with their hashes comes last: without it a snapshot is none.
Copied take_snapshot(const Store& source, Files& to, const Progress& progress);

// Whether a snapshot is whole.
Copied verify_snapshot(Files& from, const Progress& progress);

// Into a folder without a store, or with what an earlier restore left that did not end; until this one has
// ended no store opens there.
Copied restore_snapshot(Files& from, Files& to, const Progress& progress);

}  // namespace brasslift::store
