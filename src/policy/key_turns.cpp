#include "policy/key_turns.hpp"

#include <algorithm>

namespace brasslift::policy {

void KeyTurns::join(Key key, MessageId id) { lines_[key].unfinished.push_back(id); }

void KeyTurns::leave(Key key, MessageId id) {
    const auto found = lines_.find(key);
    if (found == lines_.end()) return;
    auto& line = found->second;
    const auto at = std::find(line.unfinished.begin(), line.unfinished.end(), id);
    if (at != line.unfinished.end()) line.unfinished.erase(at);
    const bool rested = line.rest_until == -std::numeric_limits<Time>::infinity();
    if (line.unfinished.empty() && rested) lines_.erase(found);
}

void KeyTurns::rest(Key key, Time until) {
    auto& line = lines_[key];
    line.rest_until = std::max(line.rest_until, until);
    rests_.emplace_back(until, key);
}

std::optional<MessageId> KeyTurns::front(Key key) const {
    const auto found = lines_.find(key);
    if (found == lines_.end() || found->second.unfinished.empty()) return std::nullopt;
    return found->second.unfinished.front();
}

Time KeyTurns::rests_until(Key key) const {
    const auto found = lines_.find(key);
    return found == lines_.end() ? -std::numeric_limits<Time>::infinity() : found->second.rest_until;
}

bool KeyTurns::has_turn(Key key, MessageId id, Time now) const {
    return front(key) == id && now >= rests_until(key);
}

void KeyTurns::forget_rested(Time now) {
    for (; !rests_.empty() && rests_.front().first <= now; rests_.pop_front()) {
        const auto found = lines_.find(rests_.front().second);
        if (found == lines_.end() || found->second.rest_until > now) continue;
        found->second.rest_until = -std::numeric_limits<Time>::infinity();
        if (found->second.unfinished.empty()) lines_.erase(found);
    }
}

}  // namespace brasslift::policy
