#include "cluster/pace.hpp"

#include <algorithm>

namespace brasslift::cluster {

double WatchPace::after(WatchEnd end, double told_ms) {
    if (end != WatchEnd::heard)
        pause_ms_ = std::min(ceiling_ms(), std::max(floor_ms(), 2 * pause_ms_));
    else
        pause_ms_ = many_ ? std::max(floor_ms(), pause_ms_ * heard_keeps) : floor_ms();
    const double drawn = pause_ms_ * std::uniform_real_distribution<>(spread_low, spread_high)(random_);
    return std::max(drawn, std::clamp(told_ms, 0.0, longest_ms * spread_high));
}

}  // namespace brasslift::cluster
