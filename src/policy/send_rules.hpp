// Whether a message may leave now: the one place that says so, asked twice. Before an attempt gets its record
// by what is known of the message, and before the first byte of its call by what is known of its host. The
// module decides what to send and is meant never to be told no by the first; where it is, a rule would have
// been broken, and the caller counts it. Decisions without I/O or clock: times are milliseconds of the
// caller's steady clock.
#pragma once

#include <cstdint>
#include <string_view>

#include "brasslift/sender.hpp"

namespace brasslift::policy {

// Why not.
enum class Barrier : std::uint8_t {
    none,               // it may go
    over,               // it has ended meanwhile
    host_unknown,       // its host has left the list meanwhile
    out_already,        // an attempt of it is out
    attempts_spent,     // it has had all its attempts
    wrong_destination,  // its host is another destination's
    may_have_run,       // it may have run, and may never be repeated
    window_over,        // it may have run, and repeats are dropped no longer
    other_group,        // it may have run in another zone, whose endpoints do not know of it
    out_of_turn,        // an earlier message of its key is unfinished, or the key rests
    host_leaving,       // too long since its host was said to leave
    told_wait,          // its host said to wait
    too_late,           // its first byte had to go before
};
constexpr std::size_t barriers = 13;
std::string_view name_of(Barrier barrier);
// Whether the module had all it needed to know better.
bool breaks_a_rule(Barrier barrier);

// A message whose attempt is to be recorded.
struct AttemptFacts {
    bool over = false, out = false;
    int number = 0, most_attempts = 0;
    bool host_known = false, right_destination = false;
    bool may_have_run = false;
    Time first_risky = 0;   // when the first attempt that may have run was sent
    bool same_zone = true;  // as that attempt's
    bool has_turn = true;   // of its key, where its class keeps order
    Time now = 0;
};
Barrier before_attempt(const ClassSettings& message_class, const AttemptFacts& facts);

// A call whose connection is there and whose first byte is to be written.
struct CallFacts {
    bool host_gone = false;
    bool host_moved = false;  // its connection leads to an address that is its host's no longer
    Time left_at = 0;         // since when its host drains or is gone; never: it does not
    double drain_grace_ms = 0;
    Time wait_until = 0, start_by = 0, expires = 0;
    Time now = 0;
};
Barrier before_first_byte(const CallFacts& facts);

// A process may be held up for so long between the look at its clock and a write, ms.
constexpr double held_up_ms = 150;
// The slack of every time limit on sockets, ms.
constexpr double socket_slack_ms = 50;

}  // namespace brasslift::policy
