// When a kept connection may carry another request. An answer names no request: it belongs to the one that is
// out on its connection. A server, or something before it, that answers twice would end the next request with
// the second copy. So a connection rests after each answer, and whatever comes meanwhile closes it; once that
// has happened, all rest for longer.
// Decisions without I/O or clock. Threads: the loop's alone. Units: milliseconds of the steady clock.
#pragma once

#include <algorithm>

namespace brasslift::http {

class ReuseRule {
public:
    // From its answer until a connection may carry another request, at least.
    static constexpr double least_rest_ms = 250;
    // The same where bytes have come once while no request was out.
    static constexpr double least_alert_rest_ms = 1000;

    explicit ReuseRule(double rest_ms = least_rest_ms) : rest_ms_(rest_ms) {}

    double rest_ms() const { return rest_ms_; }
    bool may_carry(double answered_at, double now) const { return now >= answered_at + rest_ms_; }
    // Bytes came so long after an answer, while no request was out: connections rest for several times as
    // long from now on. Whether that is more than before.
    bool heed_extra_bytes(double late_ms) {
        const double before = rest_ms_;
        rest_ms_ = std::max({rest_ms_, least_alert_rest_ms, rest_of_lateness * late_ms});
        return rest_ms_ > before;
    }

private:
    static constexpr double rest_of_lateness = 4;
    double rest_ms_;
};

}  // namespace brasslift::http
