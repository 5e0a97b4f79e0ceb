// A token bucket that gives refused messages turns of their own. Pure: the time is told.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "brasslift/sender.hpp"

namespace brasslift::plan {

// A turn's print tells a client that comes again from another: whoever heeds his pause finds a token that was
// kept for him, and nobody who came later has it.
class Lane {
public:
    struct Shape {
        double rate = 0;   // tokens a millisecond
        double burst = 0;  // tokens at most, beside those kept for turns that are due
        double horizon_ms = 0;
        std::size_t bookings = 0;
    };
    enum class Grant { token, turn, none };

    Lane() = default;
    Lane(const Shape& shape, Time now) : shape_(shape), tokens_(shape.burst), at_(now) {}

    // A new shape fills nothing up: what is there stays, as far as the new burst goes.
    void reshape(const Shape& shape, Time now);
    // Adds what time has brought; what does not fit is returned.
    double refill(Time now);
    // Whether a message may be taken on, and by what. Changes nothing but expired turns.
    Grant look(Time now, std::uint64_t print);
    void take(Grant grant, std::uint64_t print);
    void give_back() { tokens_ += 1; }
    // After how long to come again; gives a turn where one can be had. `again`: the client says that it has
    // been refused before, so that it keeps the turn it has.
    double refuse(Time now, std::uint64_t print, bool again);

    double tokens() const { return tokens_; }
    std::size_t booked() const { return live_; }
    const Shape& shape() const { return shape_; }
    // Whether it says no more than a new one would.
    bool rests(Time now) const { return live_ == 0 && tokens_ + (now - at_) * shape_.rate >= shape_.burst; }

private:
    struct Booking {
        Time due = 0;
        std::uint64_t print = 0;
        bool live = true;
        Time lapses = 0;
    };
    void advance(Time now);
    Booking* earliest(std::uint64_t print);
    void drop(std::uint64_t number);

    Shape shape_;
    double tokens_ = 0;
    Time at_ = 0;
    std::deque<Booking> bookings_;  // by due time
    std::uint64_t first_ = 0;       // the number of the first of them
    std::uint64_t due_end_ = 0;     // the number of the first that is not due
    std::size_t live_ = 0, due_live_ = 0;
    std::unordered_multimap<std::uint64_t, std::uint64_t> by_print_;
};

}  // namespace brasslift::plan
