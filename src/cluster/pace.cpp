#include "cluster/pace.hpp"

#include <algorithm>

namespace brasslift::cluster {

WatchPace::WatchPace(std::uint64_t seed, const WatchTerms& terms)
    : many_(terms.senders > many_senders), random_(seed) {
    const double pushed = std::clamp(pushed_share * terms.grace_ms, least_pushed_ms, longest_small_ms);
    floor_ms_ = !many_         ? (terms.pushed ? std::min(first_ms, pushed) : first_ms)
                : terms.pushed ? pushed
                               : poll_ms;
    refused_ms_ = many_ ? longest_ms : longest_small_ms;
    unreachable_ms_ = terms.pushed ? pushed : refused_ms_;
    limit_ms_ = terms.pushed ? std::clamp(pushed, least_limit_ms, most_limit_ms) : most_limit_ms;
    pause_ms_ = floor_ms_;
}

double WatchPace::after(WatchEnd end, double retry_after_ms) {
    const double doubled = std::max(floor_ms_, 2 * pause_ms_);
    switch (end) {
        case WatchEnd::heard: pause_ms_ = floor_ms_; break;
        case WatchEnd::silent: pause_ms_ = std::min(floor_ms_, silent_ms); break;
        case WatchEnd::refused: pause_ms_ = std::min(refused_ms_, doubled); break;
        case WatchEnd::unreachable: pause_ms_ = std::min(unreachable_ms_, doubled); break;
    }
    const double drawn = pause_ms_ * std::uniform_real_distribution<>(spread_low, spread_high)(random_);
    return std::max(drawn, std::clamp(retry_after_ms, 0.0, longest_ms * spread_high));
}

}  // namespace brasslift::cluster
