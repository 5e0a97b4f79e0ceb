// One count of a limit: rate and what is held, with guaranteed parts. Pure.
//
// Every guaranteed part has a lane of its own and one is left for all others; together they bring the limit's
// rate. What a lane does not use overflows into a common rest from which any lane may take, so that an idle
// guarantee costs nobody anything and its owner finds its own burst whenever it comes back.
#pragma once

#include <vector>

#include "plan/lane.hpp"
#include "plan/rules.hpp"

namespace brasslift::plan {

class Count {
public:
    Count(const LimitRule& rule, std::size_t bookings, Time now);
    // Tokens stay as they are, held ones stay counted, turns of lanes that remain are kept. `lane_of` gives
    // the place that each new lane had before, none for a new one.
    void reshape(const LimitRule& rule, std::size_t bookings, Time now, const std::vector<int>& lane_of);

    struct Look {
        bool admitted = false;
        bool by_rate = false, by_held = false;  // what refuses
        Lane::Grant grant = Lane::Grant::none;  // none with `admitted`: from the rest
    };
    // `lane`: that of the message's guarantee, the last one for all others.
    Look look(Time now, std::size_t lane, std::size_t bytes, std::uint64_t print);
    void take(const Look& look, std::size_t lane, std::size_t bytes, std::uint64_t print);
    double refuse(const Look& look, Time now, std::size_t lane, std::uint64_t print, bool again);

    // A message taken on before: counted whether or not there is room.
    void hold(std::size_t lane, std::size_t bytes);
    void release(Time now, std::size_t lane, std::size_t bytes);
    // What was taken a moment ago is given back as if it had never come.
    void undo(std::size_t lane, std::size_t bytes);
    void forget_held();

    std::size_t lanes() const { return parts_.size(); }
    std::uint64_t held() const { return held_; }
    std::uint64_t held_bytes() const { return bytes_; }
    double tokens() const;
    bool rests(Time now) const;

private:
    struct Part {
        Lane lane;
        double share = 0;  // that is guaranteed; 0 for the last
        std::uint64_t held = 0, bytes = 0;
    };
    Lane::Shape shape_of(std::size_t lane, std::size_t bookings) const;
    void gather(Time now);
    bool fits(std::uint64_t whole, std::uint64_t held, std::uint64_t more, std::size_t lane,
              std::uint64_t Part::*of) const;

    LimitRule rule_;  // without its match
    std::vector<Part> parts_;
    double rest_ = 0;
    std::uint64_t held_ = 0, bytes_ = 0;
    Time freed_at_ = 0, next_turn_ = 0;
    double between_ms_ = 0;  // ends of held messages, of late
};

}  // namespace brasslift::plan
