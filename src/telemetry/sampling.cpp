#include "telemetry/sampling.hpp"

#include <algorithm>
#include <utility>

namespace brasslift::telemetry {

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

void Pending::add(std::uint64_t message, Span span) {
    const auto found = open_.find(message);
    if (found == open_.end() || found->second.lost) {
        ++dropped_;
        return;
    }
    const auto size = span.bytes();
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

std::vector<Span> Pending::close(std::uint64_t message, const Ended& ended, const KeepRule& rule) {
    const auto found = open_.find(message);
    if (found == open_.end()) return {};
    auto open = std::move(found->second);
    open_.erase(found);
    bytes_ -= open.bytes;
    if (!open.sampled && !rule.keeps(ended)) return {};
    return std::move(open.spans);
}

void Queue::put(std::vector<Span> spans, bool sampled) {
    for (auto& span : spans) {
        const auto size = span.bytes();
        (sampled ? sampled_ : plain_).push_back({next_++, size, std::move(span)});
        bytes_ += size;
        ++size_;
    }
    take_room();
}

void Queue::take_room() {
    while (size_ > 0 && (bytes_ > most_bytes_ || size_ > most_spans_)) {
        auto& from = plain_.empty() ? sampled_ : plain_;
        bytes_ -= from.front().bytes;
        from.pop_front();
        --size_;
        ++dropped_;
    }
}

std::vector<Span> Queue::take(std::size_t most, std::size_t bytes) {
    std::vector<Span> batch;
    std::size_t sum = 0;
    while (size_ > 0 && batch.size() < most) {
        auto& from = sampled_.empty()                                  ? plain_
                     : plain_.empty()                                  ? sampled_
                     : plain_.front().number < sampled_.front().number ? plain_
                                                                       : sampled_;
        if (!batch.empty() && sum + from.front().bytes > bytes) break;
        sum += from.front().bytes;
        bytes_ -= from.front().bytes;
        batch.push_back(std::move(from.front().span));
        from.pop_front();
        --size_;
    }
    return batch;
}

}  // namespace brasslift::telemetry
