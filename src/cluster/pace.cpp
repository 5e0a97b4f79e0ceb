#include "cluster/pace.hpp"

#include <algorithm>

namespace brasslift::cluster {

double WatchPace::after(WatchEnd end, double told_ms) {
    if (end == WatchEnd::heard)
        pause_ms_ = std::max(floor_ms(), pause_ms_ * heard_keeps);
    else
        pause_ms_ = std::min(longest_ms, std::max(floor_ms(), 2 * pause_ms_));
    const double drawn = pause_ms_ * (spread_low + (spread_high - spread_low) * draw());
    return std::max(drawn, std::clamp(told_ms, 0.0, longest_ms * spread_high));
}

// xorshift64*: each process draws from its own seed, so that two started together part at once.
double WatchPace::draw() {
    state_ ^= state_ >> 12;
    state_ ^= state_ << 25;
    state_ ^= state_ >> 27;
    return static_cast<double>((state_ * 2685821657736338717ULL) >> 11) / 9007199254740992.0;
}

}  // namespace brasslift::cluster
