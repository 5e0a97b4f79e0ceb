// Which traces are kept, and the queue of what waits to be exported. Pure: the time is told.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "telemetry/trace.hpp"

namespace brasslift::telemetry {

// Parent-based: a client's own decision holds; without one, `ratio` of all traces, by their id, so that every
// process decides alike.
bool sampled(const std::optional<Context>& parent, const TraceId& trace, double ratio);

// How a message ended, as far as the message-end rule asks.
struct Ended {
    bool failed = false, deferred = false;
    int attempts = 0;
    double took_ms = 0;
};

struct KeepRule {
    bool failed = true, deferred = true;
    int attempts_above = 3;     // 0: whatever their number
    double longer_than_ms = 0;  // 0: however long
    bool keeps(const Ended& ended) const {
        return (failed && ended.failed) || (deferred && ended.deferred) ||
               (attempts_above > 0 && ended.attempts > attempts_above) ||
               (longer_than_ms > 0 && ended.took_ms > longer_than_ms);
    }
};

// Spans of messages that are under way, until it is known whether they are kept. Bounded: where they hold too
// much, the oldest message that was not sampled loses its spans, then the oldest of all.
class Pending {
public:
    explicit Pending(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    void open(std::uint64_t message, bool sampled);
    void add(std::uint64_t message, Span span);
    // What is kept of a message that has ended; empty where nothing is.
    std::vector<Span> close(std::uint64_t message, const Ended& ended, const KeepRule& rule);

    std::size_t bytes() const { return bytes_; }
    std::size_t messages() const { return open_.size(); }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Open {
        bool sampled = false;
        bool lost = false;  // its spans went for want of room: what is left would be no whole trace
        std::vector<Span> spans;
        std::size_t bytes = 0;
    };
    void shed();
    bool shed_from(std::deque<std::uint64_t>& order);

    std::size_t most_bytes_, bytes_ = 0;
    std::unordered_map<std::uint64_t, Open> open_;
    std::deque<std::uint64_t> plain_, chosen_;  // by age; ended ones are passed over
    std::uint64_t dropped_ = 0;
};

// Finished spans that wait for the exporter, in the order in which they came. Full, the oldest of those that
// the ratio did not choose go first, then the oldest; what goes is counted.
class Queue {
public:
    Queue(std::size_t most_bytes, std::size_t most_spans)
        : most_bytes_(most_bytes), most_spans_(most_spans) {}

    void put(std::vector<Span> spans, bool sampled);
    // The next batch: the oldest first, `most` spans and `bytes` at most, at least one where there is one.
    std::vector<Span> take(std::size_t most, std::size_t bytes);

    std::size_t size() const { return size_; }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Entry {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
        Span span;
    };
    void take_room();

    std::size_t most_bytes_, most_spans_, bytes_ = 0, size_ = 0;
    std::uint64_t next_ = 0, dropped_ = 0;
    std::deque<Entry> sampled_, plain_;
};

}  // namespace brasslift::telemetry
