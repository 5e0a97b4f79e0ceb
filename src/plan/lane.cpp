#include "plan/lane.hpp"

#include <algorithm>

namespace brasslift::plan {
namespace {

// Whoever was told a time may come so much sooner (clocks are read in whole milliseconds) or later.
constexpr double early_ms = 2, least_grace_ms = 1000, grace_share = 0.1;
constexpr double whole = 1 - 1e-6;  // sums of parts of tokens

}  // namespace

void Lane::reshape(const Shape& shape, Time now) {
    refill(now);
    shape_ = shape;
    tokens_ = std::min(tokens_, shape_.burst + static_cast<double>(due_live_));
}

double Lane::refill(Time now) {
    advance(now);
    // A clock that was set back brings nothing and takes nothing.
    const double gained = std::max(0.0, now - at_) * shape_.rate;
    at_ = std::max(at_, now);
    const double room = std::max(0.0, shape_.burst + static_cast<double>(due_live_) - tokens_);
    const double kept = std::min(gained, room);
    tokens_ += kept;
    return gained - kept;
}

// Turns that have come due keep their tokens past the burst until they lapse.
void Lane::advance(Time now) {
    while (due_end_ < first_ + bookings_.size() && bookings_[due_end_ - first_].due <= now) {
        due_live_ += bookings_[due_end_ - first_].live ? 1 : 0;
        ++due_end_;
    }
    while (!bookings_.empty() && (!bookings_.front().live || bookings_.front().lapses <= now)) {
        if (bookings_.front().live) drop(first_);
        bookings_.pop_front();
        ++first_;
        due_end_ = std::max(due_end_, first_);
    }
}

void Lane::drop(std::uint64_t number) {
    auto& booking = bookings_[number - first_];
    const auto [from, to] = by_print_.equal_range(booking.print);
    for (auto it = from; it != to; ++it)
        if (it->second == number) {
            by_print_.erase(it);
            break;
        }
    booking.live = false;
    --live_;
    if (number < due_end_) --due_live_;
}

Lane::Booking* Lane::earliest(std::uint64_t print) {
    Booking* found = nullptr;
    const auto [from, to] = by_print_.equal_range(print);
    for (auto it = from; it != to; ++it) {
        auto& booking = bookings_[it->second - first_];
        if (found == nullptr || booking.due < found->due) found = &booking;
    }
    return found;
}

Lane::Grant Lane::look(Time now, std::uint64_t print) {
    refill(now);
    if (const auto* const turn = earliest(print);
        turn != nullptr && turn->due <= now + early_ms && tokens_ + early_ms * shape_.rate >= whole)
        return Grant::turn;
    return tokens_ >= whole + static_cast<double>(live_) ? Grant::token : Grant::none;
}

void Lane::take(Grant grant, std::uint64_t print) {
    tokens_ -= 1;
    if (grant != Grant::turn) return;
    if (auto* const turn = earliest(print); turn != nullptr) {
        const auto [from, to] = by_print_.equal_range(print);
        for (auto it = from; it != to; ++it)
            if (&bookings_[it->second - first_] == turn) return drop(it->second);
    }
}

double Lane::refuse(Time now, std::uint64_t print, bool again) {
    refill(now);
    auto* const own = earliest(print);
    if (own != nullptr && own->due <= now) {
        // Its turn is there and the token is not: the rate has become lower since.
        return shape_.rate <= 0 ? shape_.horizon_ms
                                : std::clamp((1 - tokens_) / shape_.rate, 1.0, shape_.horizon_ms);
    }
    if (own != nullptr && again) return own->due - now;
    if (shape_.rate <= 0) return shape_.horizon_ms;
    double wait = (static_cast<double>(live_) + 1 - tokens_) / shape_.rate;
    // Never before one that was promised a turn already: a turn that was dropped may have left a gap.
    if (!bookings_.empty()) wait = std::max(wait, bookings_.back().due - now);
    wait = std::max(wait, 1.0);
    if (wait > shape_.horizon_ms || live_ >= shape_.bookings) return std::min(wait, shape_.horizon_ms);
    const Time due = now + wait;
    by_print_.emplace(print, first_ + bookings_.size());
    bookings_.push_back({due, print, true, due + std::max(least_grace_ms, grace_share * wait)});
    ++live_;
    return wait;
}

}  // namespace brasslift::plan
