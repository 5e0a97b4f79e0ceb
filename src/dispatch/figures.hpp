// What became of messages and of attempts, counted where they end. Begins at 0 in every process.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "dispatch/observer.hpp"
#include "policy/send_rules.hpp"

namespace brasslift::dispatch {

struct ClassFigures {
    std::uint64_t fulfilled = 0;  // delivered
    std::uint64_t throttled = 0;  // refused, or ended as deferred
    std::uint64_t faulted = 0;    // failed
};

// By the classes' places in the settings.
using Figures = std::vector<ClassFigures>;

constexpr std::size_t refusals = 9, results = 9;  // of Refusal and of Result

// Of all classes together: why streams were refused, how attempts ended, what was done again.
struct Counts {
    std::array<std::uint64_t, refusals> refused{};
    std::array<std::uint64_t, results> attempts{};
    // Attempts that were withheld before they were recorded, by why; see policy::breaks_a_rule.
    std::array<std::uint64_t, policy::barriers> withheld{};
    std::uint64_t stale_turns = 0;        // of keys, kept by a message that is no longer known
    std::uint64_t unsent = 0;             // attempts that did not leave this process
    std::uint64_t retried = 0;            // attempts that were not a message's first
    std::uint64_t restored = 0;           // messages of earlier processes
    std::uint64_t notices_answered = 0;   // of messages that ended otherwise than by delivery
    std::uint64_t ends_in_doubt = 0;      // messages whose last answer came too near their deadline
    std::uint64_t records_unwritten = 0;  // steps that the store did not take at once
};

}  // namespace brasslift::dispatch
