// Which traces are kept, and the spans of those of which that is not known yet. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
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
    // A span as encode_item() writes it.
    void add(std::uint64_t message, std::string span);
    // What is kept of a message that has ended; nothing where it is not kept or has lost spans.
    std::optional<std::vector<std::string>> close(std::uint64_t message, const Ended& ended,
                                                  const KeepRule& rule);
    void limit(std::size_t most_bytes);

    std::size_t bytes() const { return bytes_; }
    std::size_t messages() const { return open_.size(); }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Open {
        bool sampled = false;
        bool lost = false;  // its spans went for want of room: what is left would be no whole trace
        std::vector<std::string> spans;
        std::size_t bytes = 0;
    };
    void shed();
    bool shed_from(std::deque<std::uint64_t>& order);

    std::size_t most_bytes_, bytes_ = 0;
    std::unordered_map<std::uint64_t, Open> open_;
    std::deque<std::uint64_t> plain_, chosen_;  // by age; ended ones are passed over
    std::uint64_t dropped_ = 0;
};

}  // namespace brasslift::telemetry
