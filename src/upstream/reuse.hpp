// When a kept connection may carry another call. An answer names no call: it belongs to the one that is out
// on its connection. An endpoint, or something before it, that answers twice would end the next call with the
// second copy. So a connection rests after each answer, and whatever comes meanwhile closes it.
// Decisions without I/O or clock. Threads: the loop's alone. Units: milliseconds of the steady clock.
#pragma once

#include <algorithm>

#include "runtime/scheduler.hpp"

namespace brasslift::upstream {

using runtime::Time;

class ReuseRule {
public:
    // From its answer until a connection may carry another call, at least.
    static constexpr double least_rest_ms = 500;

    explicit ReuseRule(double rest_ms = least_rest_ms) : rest_ms_(rest_ms) {}

    double rest_ms() const { return rest_ms_; }
    bool may_carry(Time answered_at, Time now) const { return now >= answered_at + rest_ms_; }
    // Bytes came so long after the latest answer, while no call was out: connections rest for several times
    // as long from now on. Whether that is more than before.
    bool heed_late_bytes(double late_ms) {
        const double before = rest_ms_;
        rest_ms_ = std::max(rest_ms_, rest_of_lateness * late_ms);
        return rest_ms_ > before;
    }

private:
    static constexpr double rest_of_lateness = 4;
    double rest_ms_;
};

}  // namespace brasslift::upstream
