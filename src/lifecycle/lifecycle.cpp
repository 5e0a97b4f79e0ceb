#include "lifecycle/lifecycle.hpp"

namespace brasslift::lifecycle {
namespace {

// Most clients that still use their connection have heard `close` with an answer by then.
constexpr double settle_ms = 300;
// One that connected ahead of its first request; and after which nothing waits any more.
constexpr double silent_ms = 2000, all_ms = 3200;

}  // namespace

bool Lifecycle::begin() {
    if (phase_ == Phase::starting) phase_ = Phase::ready;
    return phase_ == Phase::ready;
}

bool Lifecycle::drain(double now) {
    if (phase_ == Phase::ready) {
        phase_ = Phase::draining;
        since_ = now;
    }
    return sends_away();
}

bool Lifecycle::undrain() {
    if (phase_ == Phase::draining) phase_ = Phase::ready;
    return phase_ == Phase::ready;
}

bool Lifecycle::hand_over() {
    if (phase_ != Phase::ready && phase_ != Phase::draining) return false;
    before_ = phase_;
    phase_ = Phase::handing_over;
    return true;
}

void Lifecycle::take_back() {
    if (phase_ == Phase::handing_over) phase_ = before_;
}

void Lifecycle::handed_over() {
    if (phase_ == Phase::handing_over) phase_ = Phase::handed_over;
}

void Lifecycle::stop() { phase_ = Phase::stopping; }

bool closes_in_drain(const ClientState& client, double drained_ms) {
    if (client.busy) return false;
    if (drained_ms >= all_ms) return true;
    if (client.started || drained_ms < settle_ms) return false;
    return client.idle_ms >= (client.served ? settle_ms : silent_ms);
}

}  // namespace brasslift::lifecycle
