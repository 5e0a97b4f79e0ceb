// A sender under test, with the actions of each event at hand.
#pragma once

#include <map>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::test {

inline EndpointId endpoint(std::uint16_t number) { return {0x0a000000u + number, 8080}; }

inline ClassSettings message_class(Repeat repeat) {
    ClassSettings c;
    c.deadline_ms = 20000;
    c.aim_ms = 3000;
    c.worth = 1;
    c.late_share = 0.5;
    c.window_ms = 8000;
    c.repeat = repeat;
    return c;
}

// Class 0 is pure, 1 token, 2 side_effect, 3 side_effect in order.
inline Settings settings() {
    Settings s;
    s.slots = 16;
    s.max_held = 100;
    s.max_attempts = 6;
    s.senders = 2;
    s.tick_ms = 5;
    s.conn_idle_ms = 10000;
    s.max_pause_ms = 3000;
    s.may_advise_pause = true;
    s.start_capacity = 0.2;
    s.ramp_ms = 10000;
    s.tip_multiple = 2.5;
    s.fall_ms = 2000;
    s.turn_gap_ms = 300;
    s.weights = Weights::nominal;
    s.over_share_worth = 0.2;
    s.kinds = {{}};
    s.classes = {message_class(Repeat::pure), message_class(Repeat::token),
                 message_class(Repeat::side_effect), message_class(Repeat::side_effect)};
    s.classes[3].in_order = true;
    return s;
}

class Rig {
public:
    explicit Rig(const Settings& s = settings(), std::uint64_t seed = 1) : settings_(s), sender_(s, seed) {}

    std::vector<Action>& tell(Time now, const Event& event) {
        now_ = now;
        last_.clear();
        sender_.handle(now, event, last_);
        for (const auto& action : last_) {
            if (const auto* const timer = std::get_if<SetTimer>(&action)) timers_.push_back(*timer);
            if (const auto* const attempt = std::get_if<Attempt>(&action)) {
                ++attempts_[attempt->id];
                flying_.push_back({now, *attempt});
            }
            if (std::holds_alternative<Log>(action)) ++logged_;
        }
        return last_;
    }

    // One destination's endpoints, numbered from `first`; the rest of the list stays.
    void list(Time now, std::uint16_t destination, std::uint16_t first, int count, double weight = 100,
              ListingState state = ListingState::ready) {
        std::vector<Listing> lines;
        for (int i = 0; i < count; ++i) {
            Listing line;
            line.endpoint = endpoint(static_cast<std::uint16_t>(first + i));
            line.destination = destination;
            line.weight = weight;
            line.state = state;
            lines.push_back(line);
        }
        tell(now, ListUpdate{.entries = lines});
    }

    void arrive(Time now, MessageId id, int cls, std::uint16_t destination = 0, std::uint64_t key = 0) {
        Arrival a;
        a.id = id;
        a.message_class = static_cast<std::uint16_t>(cls);
        a.key = key;
        a.due = now + (cls < static_cast<int>(settings_.classes.size()) ? settings_.classes[cls].deadline_ms
                                                                        : 1000);
        a.destination = destination;
        tell(now, a);
    }

    Outcome outcome_of(MessageId id, Result result, EndpointId at, double wait_ms = 0) {
        Outcome o;
        o.id = id;
        o.endpoint = at;
        o.attempt = attempts_[id] - 1;
        o.result = result;
        o.over = result == Result::ok;
        o.elapsed_ms = 100;
        o.wait_ms = wait_ms;
        return o;
    }

    void land(Time now, MessageId id, Result result, EndpointId at, double wait_ms = 0) {
        tell(now, outcome_of(id, result, at, wait_ms));
    }

    template <class Kind>
    int count() const {
        int n = 0;
        for (const auto& action : last_) n += std::holds_alternative<Kind>(action) ? 1 : 0;
        return n;
    }

    template <class Kind>
    const Kind* first() const {
        for (const auto& action : last_)
            if (const auto* const found = std::get_if<Kind>(&action)) return found;
        return nullptr;
    }

    // Rings the timers that are due up to `until`, in order; gathers all actions of a kind with their times.
    template <class Kind>
    std::vector<std::pair<Time, Kind>> run(Time until) {
        std::vector<std::pair<Time, Kind>> seen;
        for (;;) {
            auto next = timers_.end();
            for (auto it = timers_.begin(); it != timers_.end(); ++it)
                if (it->at <= until && (next == timers_.end() || it->at < next->at)) next = it;
            if (next == timers_.end()) break;
            const auto timer = *next;
            timers_.erase(next);
            tell(std::max(now_, timer.at), TimerFired{timer.timer});
            for (const auto& action : last_)
                if (const auto* const found = std::get_if<Kind>(&action)) seen.emplace_back(now_, *found);
        }
        now_ = until;
        return seen;
    }

    // Warms a lane: `count` messages delivered one after another; the time after them.
    Time warm(Time now, std::uint16_t destination, EndpointId at, int count, MessageId from) {
        for (int i = 0; i < count; ++i) {
            arrive(now, from + i, 0, destination);
            land(now + 100, from + i, Result::ok, at);
            now += 200;
        }
        return now;
    }

    // From now on a message of class 0 comes every so often, and each attempt ends after 50 ms as `result_at`
    // says; the number that were delivered.
    template <class ResultAt>
    int serve(Time from, Time until, Time every, MessageId first_id, ResultAt result_at) {
        int delivered = 0;
        Time next = from;
        flying_.clear();
        for (Time t = from; t < until; t += 10) {
            run<Attempt>(t);
            for (; next <= t; next += every) arrive(t, first_id++, 0);
            auto flying = std::move(flying_);
            flying_.clear();
            for (const auto& [sent, attempt] : flying) {
                if (t < sent + 50) {
                    flying_.push_back({sent, attempt});
                    continue;
                }
                const Result result = result_at(attempt);
                delivered += result == Result::ok ? 1 : 0;
                land(t, attempt.id, result, attempt.endpoint);
            }
        }
        return delivered;
    }

    int logged() const { return logged_; }
    Time now() const { return now_; }

    // Attempts without an outcome, with the times at which they were sent.
    const std::vector<std::pair<Time, Attempt>>& flying() const { return flying_; }

private:
    Settings settings_;
    Sender sender_;
    Time now_ = 0;
    std::vector<Action> last_;
    std::vector<SetTimer> timers_;
    std::map<MessageId, int> attempts_;
    std::vector<std::pair<Time, Attempt>> flying_;
    int logged_ = 0;
};

}  // namespace brasslift::test
