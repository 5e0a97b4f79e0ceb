// Whose turn it is among the messages of one key, in classes that keep order: one at a time, in the order in
// which they were handed in, and after an attempt that may still run not before the key has rested. A
// decision without I/O or clock: times are told, in milliseconds of the caller's clock. One thread; errors:
// none.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>

#include "brasslift/sender.hpp"

namespace brasslift::policy {

class KeyTurns {
public:
    using Key = std::uint64_t;

    // In the order of hand-in. A message that has joined and has not left is unfinished.
    void join(Key key, MessageId id);
    // The message is over for the others: delivered, or its client was told, and no attempt of it is out.
    void leave(Key key, MessageId id);
    // An attempt may still run: until then nothing of the key starts but what has the turn already.
    void rest(Key key, Time until);

    // The first unfinished message of the key.
    std::optional<MessageId> front(Key key) const;
    // A time in the past, or before all times, where it does not rest.
    Time rests_until(Key key) const;
    // Whether that message is the first one and the key does not rest.
    bool has_turn(Key key, MessageId id, Time now) const;

    // Lets go of keys that have neither messages nor a rest any more.
    void forget_rested(Time now);
    std::size_t keys() const { return lines_.size(); }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(lines_, rests_);
    }

private:
    struct Line {
        std::deque<MessageId> unfinished;
        Time rest_until = -std::numeric_limits<Time>::infinity();
    };
    std::unordered_map<Key, Line> lines_;
    std::deque<std::pair<Time, Key>> rests_;  // about in the order of their ends
};

}  // namespace brasslift::policy
