// What becomes of a batch, by what the collector answered. Source: the OTLP specification's rules for HTTP.
// Pure: the time is told, the caller does the calls.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "brasslift/sender.hpp"

namespace brasslift::telemetry {

struct DeliverySettings {
    double first_pause_ms = 1000, most_pause_ms = 30000;  // before a batch goes again
    double give_up_ms = 300000;  // after the first call, a batch is dropped; its place is needed
    double jitter = 0.2;         // of a pause, either way
};

// How a call ended. No status: no answer, or none that can be read.
struct CallEnd {
    int status = 0;
    std::optional<double> retry_after_ms;
    std::int64_t rejected = 0;  // of a partial success
};

// Seconds, whole or decimal, as in a Retry-After header; nothing where it is no number or out of all reason.
// The form with a date is not used by collectors and counts as none.
std::optional<double> read_retry_after(std::string_view header);

// Whether a batch may go again after an answer of that status (0: none); after another it is itself at fault.
bool may_go_again(int status);

class Delivery {
public:
    Delivery(const DeliverySettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

    enum class Fate { taken, again, dropped };
    // The batch that is being sent: begun once, ended as often as it is sent.
    void begin(Time now);
    Fate end(Time now, const CallEnd& call);
    // When the batch may go again, or the next one: a collector's wait holds for whatever comes.
    Time not_before() const { return not_before_; }
    // Until when a collector's own wait holds; what is sooner is this side's pause alone.
    Time told_until() const { return told_until_; }

    // Another collector: neither pauses nor waits of the one before bind it.
    void start_anew() { not_before_ = told_until_ = failures_ = 0; }

    // Of spans, points or records: told of in the exporter's own counters.
    std::uint64_t rejected() const { return rejected_; }

private:
    DeliverySettings settings_;
    std::mt19937_64 random_;
    Time begun_ = 0, not_before_ = 0, told_until_ = 0;
    int failures_ = 0;
    std::uint64_t rejected_ = 0;
};

}  // namespace brasslift::telemetry
