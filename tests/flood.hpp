// A bounded open-loop load on the real program, with hosts that answer at once and clients that heed what
// they are told. Whatever it sees is counted; what that must be is the test's to say.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace brasslift::test {

struct Tenant {
    std::string name;
    double per_second = 0, ms = 0;  // how often and for how long it hands in
};

struct Tally {
    int offered = 0, taken_at_once = 0, refused = 0;
    int returned = 0, taken_on_return = 0;  // those that came again when they had been told to
    int failed = 0;                         // neither taken on nor told when to come again
    double longest_pause_ms = 0;
};

struct Flood {
    std::map<std::string, Tally> tenants;
    int taken = 0, delivered = 0, twice = 0;  // messages that were answered 202; that hosts got; got again
};

// Runs until every message is taken on or failed, 20 s at most. `at` is called once a tick with the time
// since the start in milliseconds.
Flood flood(std::uint16_t port, int host_listener, const std::vector<Tenant>& tenants,
            const std::function<void(double)>& at);

}  // namespace brasslift::test
