// Which entries of discovery's list hold no longer, for the process after this one: it begins with the list
// of its config, which may be older than all that discovery has said since, and may not hear discovery for
// long.
//
// An entry is a uid at an address for a destination. An endpoint that moves or serves another destination
// from now on leaves its former entry behind, though its uid is still listed.
//
// No I/O and no clock. One thread. Beyond `most` entries none is added any more and complete() turns false:
// the list of the config is not to be believed then.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_set>

#include "brasslift/sender.hpp"
#include "dispatch/departed.hpp"
#include "runtime/socket.hpp"

namespace brasslift::cluster {

// The same in every process that receives the entry with that address.
std::uint64_t entry_name(std::string_view uid, runtime::Address address, DestinationId destination);

class Departures {
public:
    static constexpr std::size_t most = 4096;

    // What an earlier process left; nothing of it is a change.
    void restore(const dispatch::DepartedEntries& kept);
    void add(std::uint64_t entry);     // it holds no longer
    void remove(std::uint64_t entry);  // it holds again
    // Forgets all; what is added from then on is complete.
    void clear();

    bool contains(std::uint64_t entry) const { return names_.count(entry) != 0; }
    bool empty() const { return names_.empty(); }
    bool complete() const { return complete_; }
    // What has changed since the call before, to be kept for the next process.
    const dispatch::DepartureChange& changes() const { return changes_; }
    dispatch::DepartureChange take_changes();

private:
    std::unordered_set<std::uint64_t> names_;
    bool complete_ = true;
    dispatch::DepartureChange changes_;
};

}  // namespace brasslift::cluster
