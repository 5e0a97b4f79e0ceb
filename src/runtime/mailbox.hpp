// An actor's mailbox: anyone on the loop's thread puts in, the one actor takes out.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "runtime/scheduler.hpp"

namespace brasslift::runtime {

template <class Letter>
class Mailbox {
public:
    explicit Mailbox(Waker& owner) : owner_(owner) {}

    template <class Content>
    void put(Content&& letter) {
        letters_.emplace_back(std::forward<Content>(letter));
        owner_.notify();
    }
    std::optional<Letter> take() {
        if (letters_.empty()) return std::nullopt;
        std::optional<Letter> letter(std::move(letters_.front()));
        letters_.pop_front();
        return letter;
    }
    std::deque<Letter> take_all() { return std::exchange(letters_, {}); }
    bool empty() const { return letters_.empty(); }

private:
    Waker& owner_;
    std::deque<Letter> letters_;
};

}  // namespace brasslift::runtime
