#include "telemetry/sampling.hpp"

#include <algorithm>
#include <utility>

namespace brasslift::telemetry {
namespace {

constexpr std::size_t span_overhead = 48;  // of a text and its place on the heap

}  // namespace

bool sampled(const std::optional<Context>& parent, const TraceId& trace, double ratio) {
    if (parent) return parent->sampled;
    if (ratio >= 1) return true;
    if (!(ratio > 0)) return false;
    // The last seven bytes are random by the recommendation; 56 bits are compared with the ratio's.
    std::uint64_t bits = 0;
    for (std::size_t i = 9; i < 16; ++i) bits = bits << 8 | trace[i];
    return static_cast<double>(bits) < ratio * static_cast<double>(std::uint64_t{1} << 56);
}

void Pending::open(std::uint64_t message, bool sampled) {
    if (!open_.try_emplace(message, Open{sampled, false, {}, 0}).second) return;
    (sampled ? chosen_ : plain_).push_back(message);
    // Messages that ended leave their numbers behind; these go when they are most of the queue.
    if (plain_.size() + chosen_.size() > 2 * open_.size() + 64)
        for (auto* const order : {&plain_, &chosen_})
            std::erase_if(*order, [&](auto m) { return open_.count(m) == 0; });
}

void Pending::add(std::uint64_t message, std::string span) {
    const auto found = open_.find(message);
    if (found == open_.end() || found->second.lost) {
        ++dropped_;
        return;
    }
    const auto size = span.size() + span_overhead;
    found->second.spans.push_back(std::move(span));
    found->second.bytes += size;
    bytes_ += size;
    shed();
}

bool Pending::shed_from(std::deque<std::uint64_t>& order) {
    for (; !order.empty(); order.pop_front()) {
        const auto found = open_.find(order.front());
        if (found == open_.end() || found->second.lost || found->second.spans.empty()) {
            // One without spans may still get some: it goes to the end of the line.
            if (found != open_.end() && !found->second.lost) {
                const bool any = std::any_of(order.begin(), order.end(), [&](auto m) {
                    const auto other = open_.find(m);
                    return other != open_.end() && !other->second.spans.empty();
                });
                if (!any) return false;
                order.push_back(order.front());
            }
            continue;
        }
        auto& open = found->second;
        dropped_ += open.spans.size();
        bytes_ -= open.bytes;
        open.spans = {};
        open.bytes = 0;
        open.lost = true;
        order.pop_front();
        return true;
    }
    return false;
}

void Pending::shed() {
    while (bytes_ > most_bytes_ && (shed_from(plain_) || shed_from(chosen_))) {}
}

void Pending::limit(std::size_t most_bytes) {
    most_bytes_ = most_bytes;
    shed();
}

std::optional<std::vector<std::string>> Pending::close(std::uint64_t message, const Ended& ended,
                                                       const KeepRule& rule) {
    const auto found = open_.find(message);
    if (found == open_.end()) return std::nullopt;
    auto open = std::move(found->second);
    open_.erase(found);
    bytes_ -= open.bytes;
    if (open.lost || (!open.sampled && !rule.keeps(ended))) return std::nullopt;
    return std::move(open.spans);
}

}  // namespace brasslift::telemetry
