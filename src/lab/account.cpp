#include "lab/account.hpp"

#include <algorithm>
#include <limits>

namespace brasslift::lab {

void Account::say(Message& message, const std::string& what, double now) {
    message.history.push_back(std::to_string(static_cast<long>(now)) + ' ' + what);
}

void Account::handed_in(const std::string& id, const std::string& at, bool payment, double now) {
    auto& message = messages_[id];
    message.dispatcher = at;
    message.payment = payment;
    message.handed_at = now;
    say(message, "handed in at " + at, now);
}

void Account::answered(const std::string& id, int status, double now) {
    auto& message = messages_[id];
    if (status == 202 && message.status != 202) ++taken_;
    message.status = status;
    say(message, "answered " + std::to_string(status), now);
}

void Account::called(const std::string& id, double now) {
    auto& message = messages_[id];
    if (message.calls == 0) delivery_ms_.push_back(now - message.handed_at);
    ++message.calls;
    ++calls_;
    ++message.unknown;
    say(message, "call", now);
}

void Account::call_ended(const std::string& id, int status, double now) {
    auto& message = messages_[id];
    // An answer that says it did not run takes the doubt away; one that was never read does not.
    if (status == 503) --message.unknown;
    if (status == 200) ++message.done;
    say(message, "call answered " + std::to_string(status), now);
}

void Account::told(const std::string& id, const std::string& ending, double now) {
    auto& message = messages_[id];
    message.endings.insert(ending);
    say(message, "notice " + ending, now);
}

void Account::acted(const std::string& dispatcher, std::uint64_t version, double sent, double now) {
    acts_.push_back({dispatcher, version, sent, now});
}

void Account::turned_away(const std::string&, double) { ++turned_away_; }

void Account::note(const std::string& what, double now) {
    notes_.push_back(std::to_string(static_cast<long>(now)) + ' ' + what);
}

std::size_t Account::open() const {
    return static_cast<std::size_t>(std::count_if(messages_.begin(), messages_.end(), [](const auto& m) {
        return m.second.status == 202 && !m.second.over();
    }));
}

std::size_t Account::delivered() const {
    return static_cast<std::size_t>(std::count_if(messages_.begin(), messages_.end(), [](const auto& m) {
        return m.second.status == 202 && m.second.done > 0;
    }));
}

std::uint64_t Account::newest() const {
    std::uint64_t newest = 0;
    for (const auto& act : acts_) newest = std::max(newest, act.version);
    return newest;
}

double Account::longest_contradiction(std::string* how) const {
    // When each version was surely acted on first, and when surely last, by anybody.
    struct Span {
        double first_done = std::numeric_limits<double>::infinity(), last_begun = -1;
        std::string last_by;
    };
    std::map<std::uint64_t, Span> spans;
    for (const auto& act : acts_) {
        auto& span = spans[act.version];
        span.first_done = std::min(span.first_done, act.now);
        if (act.sent > span.last_begun) span.last_begun = act.sent, span.last_by = act.dispatcher;
    }
    double longest = 0;
    for (auto older = spans.begin(); older != spans.end(); ++older)
        for (auto newer = std::next(older); newer != spans.end(); ++newer) {
            const double lasted = older->second.last_begun - newer->second.first_done;
            if (lasted <= longest) continue;
            longest = lasted;
            if (how != nullptr)
                *how = older->second.last_by + " still acted on version " + std::to_string(older->first) +
                       " " + std::to_string(static_cast<long>(lasted)) +
                       " ms after somebody had acted on version " + std::to_string(newer->first) + " (at " +
                       std::to_string(static_cast<long>(newer->second.first_done)) + ")";
        }
    return longest;
}

std::vector<std::string> Account::broken(double contradiction_ms) const {
    std::vector<std::string> all;
    const auto tell = [&](const std::string& id, const Message& message, const char* rule) {
        std::string text = std::string(rule) + ": " + id;
        for (const auto& line : message.history) text += "\n  " + line;
        all.push_back(std::move(text));
    };
    for (const auto& [id, message] : messages_) {
        if (message.payment && message.calls > 1 && message.unknown > 1)
            tell(id, message, "a payment that may have run was sent again");
        if (message.status == 202 && !message.over()) tell(id, message, "taken on, and without an end");
        if (message.endings.size() > 1) tell(id, message, "two different final answers");
    }
    std::string how;
    if (longest_contradiction(&how) > contradiction_ms) {
        for (const auto& note : notes_) how += "\n  " + note;
        all.push_back("rules that contradict each other: " + how);
    }
    return all;
}

}  // namespace brasslift::lab
