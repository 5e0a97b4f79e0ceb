#include "plan/count.hpp"

#include <algorithm>
#include <utility>

namespace brasslift::plan {
namespace {

constexpr double whole_token = 1 - 1e-6;
// Room for one whole token and what comes before somebody asks for it.
constexpr double least_rest = 2;
// Before an end has been seen, and how much a new one weighs.
constexpr double first_between_ms = 100, gain = 0.2, least_pause_ms = 10;

LimitRule without_match(const LimitRule& rule) {
    auto own = rule;
    own.match = {};
    return own;
}

}  // namespace

Count::Count(const LimitRule& rule, std::size_t bookings, Time now)
    : rule_(without_match(rule)),
      parts_(rule.guarantees.size() + 1),
      freed_at_(now),
      between_ms_(first_between_ms) {
    for (std::size_t i = 0; i < rule_.guarantees.size(); ++i) parts_[i].share = rule_.guarantees[i].part;
    for (std::size_t i = 0; i < parts_.size(); ++i) parts_[i].lane = Lane(shape_of(i, bookings), now);
}

Lane::Shape Count::shape_of(std::size_t lane, std::size_t bookings) const {
    double part = rule_.guarantees.size() == lane ? 1 : rule_.guarantees[lane].part;
    if (lane == rule_.guarantees.size())
        for (const auto& g : rule_.guarantees) part -= g.part;
    part = std::max(0.0, part);
    // Whoever is guaranteed anything has room for one whole message.
    const double burst = part > 0 ? std::max(1.0, rule_.burst * part) : 0;
    return {rule_.rate / 1000 * part, rule_.rate > 0 ? burst : 0, rule_.horizon_ms, bookings};
}

void Count::reshape(const LimitRule& rule, std::size_t bookings, Time now, const std::vector<int>& lane_of) {
    gather(now);
    rule_ = without_match(rule);
    auto before = std::exchange(parts_, std::vector<Part>(rule.guarantees.size() + 1));
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        auto& part = parts_[i];
        if (i < lane_of.size() && lane_of[i] != none) {
            part = std::move(before[static_cast<std::size_t>(lane_of[i])]);
            part.lane.reshape(shape_of(i, bookings), now);
        } else {
            auto shape = shape_of(i, bookings);
            const double burst = std::exchange(shape.burst, 0);
            part.lane = Lane(shape, now);  // a part that is new begins without tokens
            shape.burst = burst;
            part.lane.reshape(shape, now);
        }
        part.share = i < rule_.guarantees.size() ? rule_.guarantees[i].part : 0;
    }
    rest_ = std::min(rest_, std::max(least_rest, rule_.burst - (tokens() - rest_)));
}

double Count::tokens() const {
    double sum = rest_;
    for (const auto& part : parts_) sum += part.lane.tokens();
    return sum;
}

// What all lanes together have too much, as far as the whole burst goes.
void Count::gather(Time now) {
    if (parts_.size() == 1) return;
    double over = 0, kept = 0;
    for (auto& part : parts_) {
        over += part.lane.refill(now);
        kept += part.lane.tokens();
    }
    rest_ = std::clamp(rest_ + over, 0.0, std::max(least_rest, rule_.burst - kept));
}

// Room beside what others are guaranteed, of which `lend` may be used while they do not use it.
bool Count::fits(std::uint64_t whole, std::uint64_t held, std::uint64_t more, std::size_t lane,
                 std::uint64_t Part::*of) const {
    if (whole == 0) return true;
    const auto all = static_cast<double>(whole);
    if (held + more > whole) return false;
    if (static_cast<double>(parts_[lane].*of + more) <= parts_[lane].share * all) return true;
    double kept = 0;
    for (std::size_t i = 0; i < parts_.size(); ++i)
        if (i != lane)
            kept +=
                std::max(0.0, parts_[i].share * all - static_cast<double>(parts_[i].*of)) * (1 - rule_.lend);
    return static_cast<double>(held + more) + kept <= all;
}

Count::Look Count::look(Time now, std::size_t lane, std::size_t bytes, std::uint64_t print) {
    Look look;
    look.by_held = !fits(rule_.held, held_, 1, lane, &Part::held) ||
                   !fits(rule_.held_bytes, bytes_, bytes, lane, &Part::bytes);
    if (rule_.rate > 0) {
        gather(now);
        look.grant = parts_[lane].lane.look(now, print);
        look.by_rate = look.grant == Lane::Grant::none && rest_ < whole_token;
    }
    look.admitted = !look.by_held && !look.by_rate;
    return look;
}

void Count::take(const Look& look, std::size_t lane, std::size_t bytes, std::uint64_t print) {
    if (rule_.rate > 0) {
        if (look.grant == Lane::Grant::none)
            rest_ -= 1;
        else
            parts_[lane].lane.take(look.grant, print);
    }
    hold(lane, bytes);
}

double Count::refuse(const Look& look, Time now, std::size_t lane, std::uint64_t print, bool again) {
    double pause = 0;
    if (look.by_rate) pause = parts_[lane].lane.refuse(now, print, again);
    if (look.by_held) {
        next_turn_ = std::max(next_turn_, now) + between_ms_;
        next_turn_ = std::min(next_turn_, now + rule_.horizon_ms);
        pause = std::max({pause, next_turn_ - now, least_pause_ms});
    }
    return pause;
}

void Count::hold(std::size_t lane, std::size_t bytes) {
    ++held_;
    bytes_ += bytes;
    ++parts_[lane].held;
    parts_[lane].bytes += bytes;
}

void Count::release(Time now, std::size_t lane, std::size_t bytes) {
    between_ms_ += gain * (std::clamp(now - freed_at_, 0.1, 10000.0) - between_ms_);
    freed_at_ = now;
    held_ -= std::min<std::uint64_t>(held_, 1);
    bytes_ -= std::min<std::uint64_t>(bytes_, bytes);
    parts_[lane].held -= std::min<std::uint64_t>(parts_[lane].held, 1);
    parts_[lane].bytes -= std::min<std::uint64_t>(parts_[lane].bytes, bytes);
}

void Count::undo(std::size_t lane, std::size_t bytes) {
    if (rule_.rate > 0) parts_[lane].lane.give_back();
    const auto between = between_ms_, freed = freed_at_;
    release(freed, lane, bytes);
    between_ms_ = between;
}

void Count::forget_held() {
    held_ = bytes_ = 0;
    for (auto& part : parts_) part.held = part.bytes = 0;
}

bool Count::rests(Time now) const {
    return held_ == 0 && std::all_of(parts_.begin(), parts_.end(),
                                     [&](const Part& p) { return rule_.rate <= 0 || p.lane.rests(now); });
}

}  // namespace brasslift::plan
