#include "telemetry/queue.hpp"

#include <limits>
#include <utility>

namespace brasslift::telemetry {

void Queue::put(Time now, std::string item, bool sampled) {
    bytes_ += item.size() + overhead;
    (sampled ? sampled_ : plain_).push_back({next_++, now, std::move(item)});
    take_room();
    if (news_) news_();
}

void Queue::limit(std::size_t most_bytes) {
    most_bytes_ = most_bytes;
    take_room();
}

void Queue::take_room() {
    while (size() > 0 && bytes_ > most_bytes_) {
        auto& from = plain_.empty() ? sampled_ : plain_;
        bytes_ -= from.front().item.size() + overhead;
        from.pop_front();
        ++dropped_;
    }
}

std::deque<Queue::Entry>& Queue::first() {
    if (sampled_.empty()) return plain_;
    return plain_.empty() || sampled_.front().number < plain_.front().number ? sampled_ : plain_;
}

Time Queue::oldest() const {
    Time since = std::numeric_limits<Time>::infinity();
    for (const auto* const queue : {&sampled_, &plain_})
        if (!queue->empty()) since = std::min(since, queue->front().since);
    return since;
}

std::vector<std::string> Queue::take(std::size_t most, std::size_t bytes) {
    std::vector<std::string> batch;
    std::size_t sum = 0;
    while (size() > 0 && batch.size() < most) {
        auto& from = first();
        const auto size = from.front().item.size();
        if (!batch.empty() && sum + size > bytes) break;
        sum += size;
        bytes_ -= size + overhead;
        batch.push_back(std::move(from.front().item));
        from.pop_front();
    }
    return batch;
}

}  // namespace brasslift::telemetry
