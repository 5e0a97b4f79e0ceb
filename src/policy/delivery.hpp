// Whether an answer that ends a message was surely in time. The deadline is the platform's: it counts from
// when the client sent the request, and for the answer from when the partner wrote it. This side sees both
// later, and a process that is held up sees them in any order. A decision without I/O or clock: times are
// milliseconds of the caller's steady clock. Errors: none.
#pragma once

#include "brasslift/sender.hpp"
#include "policy/send_rules.hpp"

namespace brasslift::policy {

// An answer that is seen less than this before the deadline may have been written behind it, ms: the request
// may have waited for a process that was held up, and so may the answer.
constexpr double in_doubt_ms = held_up_ms + socket_slack_ms;

constexpr bool surely_in_time(Time seen, Time due) { return seen < due - in_doubt_ms; }

}  // namespace brasslift::policy
