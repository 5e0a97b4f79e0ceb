// What the sender knows: of endpoints, of the lanes that share a limit, of destinations, messages and calls.
// Plain state of the decisions in choice.cpp, which alone reads and writes it. Times are milliseconds of the
// caller's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::policy {

constexpr double never = std::numeric_limits<double>::infinity();

struct Estimate {
    double mean = 0, deviation = 0;
    int samples = 0;
    void add(double value) {
        const double gain = std::max(1.0 / (samples + 1), 0.1);
        deviation = samples == 0 ? value / 2 : deviation;
        mean = samples++ == 0 ? value : mean;
        if (samples > 1) deviation += gain * (std::abs(value - mean) - deviation);
        mean += gain * (value - mean);
    }
};

struct Health {
    int failures = 0;
    bool out = false;
    double failing = 0, risk = 0;  // shares of recent calls: failed; failed and may have run
    Time last_ok = -never, failed_sent = -never, phase_at = -never, turn = -never;
    Time quiet_since = never;  // the first send since the last answer
    Time doubt = never;        // the first failure that was not taken for an outage
    Time refused = never;      // the first refusal since the last delivery
    Time back = -never;        // the first delivery since a failure; never: none yet
    Time excused_at = -never;  // from when, after a first failure, one call more may go
    double phase = 0;          // of the way to its next turn while cold
    std::deque<Time> sends;
};

struct Endpoint {
    EndpointId id;
    int lane = -1, flying = 0, warm = 0;
    std::uint16_t zone = 0;
    ListingState state = ListingState::gone;
    Time gone_at = never;
    Health health;
    Time last_used = -never, unconnected_at = -never;
    double liking = 0;  // drawn, so that senders differ in which of several they start with
};

struct Lane {
    int destination = 0, flying = 0;
    std::uint8_t kind = 0;
    std::vector<int> endpoints;
    double limit = 0;  // calls a second from all senders; 0 unknown
    double window = 1, share = 1, tokens = 1;
    Time tokens_at = -never, cut_at = -never, wait_until = -never, last_send = -never;
    bool sick = false;
    double stretch = 1, left = 1;
    std::vector<Estimate> latency;  // by class
    Health health;
};

using Waiting = std::set<std::pair<Time, MessageId>>;

struct Destination {
    DestinationId number = 0;
    std::vector<Waiting> ready;  // by class, and within and beyond the tenant's share
    std::vector<int> lanes = {};
    std::size_t waiting = 0, held = 0;  // held: also those that sleep, wait for a turn or are out
    double arrivals = 0;                // a millisecond, of late
    Time arrived = -never, wake = never;
};

enum class State { ready, turn, sleeping, flying };
struct Message {
    MessageId id = 0;
    int message_class = 0, destination = 0, group = 0;
    std::uint64_t key = 0, call = 0;
    Time due = 0, sent = 0, wakes = 0, first_risky = never;
    std::uint16_t zone = 0;   // of the first attempt that may have run
    std::uint32_t bytes = 0;  // that it takes in a call that it shares
    State state = State::ready;
    int attempts = 0, endpoint = -1;
    EndpointId avoid;  // the endpoint that failed it last
    bool over = false;
};

struct Call {
    int flying = 0;         // messages without an outcome
    std::size_t bytes = 0;  // that its messages take
    bool broken = false;
};

}  // namespace brasslift::policy
