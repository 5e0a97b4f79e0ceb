// Which entries of discovery's list hold no longer, as the ledger keeps them over restarts. An entry goes by
// a name of 64 bits that is the same in every process (cluster/departures.hpp).
#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace brasslift::dispatch {

// No entry has this name.
constexpr std::uint64_t no_entry = 0;

struct DepartedEntries {
    std::set<std::uint64_t> names;
    bool complete = true;  // false: more have departed than are named here
};

// What is to be kept from now on: `cleared` first, then the others.
struct DepartureChange {
    bool cleared = false;                    // what was kept before counts no more
    bool incomplete = false;                 // more have departed than are named
    std::map<std::uint64_t, bool> departed;  // by name; false: it holds again
    bool empty() const { return !cleared && !incomplete && departed.empty(); }
    // That change behind this one.
    void add(const DepartureChange& later);
};

}  // namespace brasslift::dispatch
