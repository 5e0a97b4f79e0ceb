#include "telemetry/delivery.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/message.hpp"

namespace brasslift::telemetry {
namespace {

constexpr double most_retry_after_s = 86400;

}  // namespace

// The answers that the specification names.
bool may_go_again(int status) {
    return status == 0 || status == 429 || status == 502 || status == 503 || status == 504;
}

std::optional<double> read_retry_after(std::string_view header) {
    header = http::trimmed(header);
    double seconds = 0;
    const auto [end, fault] =
        std::from_chars(header.data(), header.data() + header.size(), seconds, std::chars_format::fixed);
    if (header.empty() || fault != std::errc{} || end != header.data() + header.size() ||
        !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    return std::min(seconds, most_retry_after_s) * 1000;
}

void Delivery::begin(Time now) { begun_ = now; }

Delivery::Fate Delivery::end(Time now, const CallEnd& call) {
    if (call.status >= 200 && call.status < 300) {
        // What a partial success rejects is not sent again: it would be rejected again.
        rejected_ += static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.rejected));
        failures_ = 0;
        not_before_ = now;
        return Fate::taken;
    }
    if (!may_go_again(call.status)) {
        failures_ = 0;
        not_before_ = now;
        return Fate::dropped;
    }
    const double doubled = settings_.first_pause_ms * std::exp2(std::min(failures_, 30));
    std::uniform_real_distribution<double> spread(1 - settings_.jitter, 1 + settings_.jitter);
    double pause = std::min(doubled, settings_.most_pause_ms) * spread(random_);
    // A wait that was told is kept whole; nobody else's clock makes it shorter.
    if (call.retry_after_ms && (call.status == 429 || call.status == 503))
        told_until_ = now + (pause = std::max(*call.retry_after_ms, 0.0));
    ++failures_;
    not_before_ = now + pause;
    return not_before_ > begun_ + settings_.give_up_ms ? Fate::dropped : Fate::again;
}

}  // namespace brasslift::telemetry
