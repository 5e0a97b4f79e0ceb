// What waits to be exported, each item as it will stand in a request. Pure: the time is told.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::telemetry {

// Items in the order in which they came. Full, the oldest of those that the ratio did not choose go first,
// then the oldest; what goes is counted.
class Queue {
public:
    // The place that an item takes beyond its own bytes.
    static constexpr std::size_t overhead = 80;

    // `most_bytes`: with the overhead.
    explicit Queue(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    void put(Time now, std::string item, bool sampled = true);
    // The next batch: the oldest first, `most` items and `bytes` at most, at least one where there is one.
    std::vector<std::string> take(std::size_t most, std::size_t bytes);
    void limit(std::size_t most_bytes);
    // Called when something has come; it may take from the queue later, not from within.
    void tell_to(std::function<void()> news) { news_ = std::move(news); }

    std::size_t size() const { return sampled_.size() + plain_.size(); }
    std::size_t bytes() const { return bytes_; }
    Time oldest() const;  // when it came; never where there is none
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Entry {
        std::uint64_t number = 0;
        Time since = 0;
        std::string item;
    };
    void take_room();
    std::deque<Entry>& first();

    std::size_t most_bytes_, bytes_ = 0;
    std::uint64_t next_ = 0, dropped_ = 0;
    std::deque<Entry> sampled_, plain_;
    std::function<void()> news_;
};

}  // namespace brasslift::telemetry
