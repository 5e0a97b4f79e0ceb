// A seeded run of legal random events into one sender. The rules are checked from outside, by code that
// shares nothing with the module. No destination is modelled: outcomes are drawn, not computed.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "rig.hpp"

namespace brasslift::test {
namespace {

constexpr double weight = 20;  // calls a second that each destination takes

struct Taken {
    int cls = 0;
    std::uint16_t destination = 0;
    std::uint64_t key = 0;
    Time due = 0, first_risky = -1;
    int attempts = 0;
    bool flying = false, over = false;
    EndpointId at;
    Time expires = 0;
};

struct Outage {
    int failures = 0;
    bool out = false;
    Time back = -1e9, grace = -1e9;
};

class Contract {
public:
    explicit Contract(std::uint64_t seed) : settings_(settings()), random_(seed), sender_(settings_, seed) {
        for (std::uint16_t i = 0; i < 8; ++i) told(i, ListingState::ready);
    }

    void step() {
        now_ += settings_.tick_ms;
        ring();
        if (chance(0.2)) arrive();
        for (auto& [id, m] : taken_) {
            if (!m.flying) continue;
            if (now_ >= m.expires) {
                land(id, m, Result::timeout);
            } else if (chance(0.05)) {
                land(id, m, now_ < down_[m.destination] ? Result::connect_failed : draw());
            }
        }
        if (chance(0.002)) told(static_cast<std::uint16_t>(pick(8)), ListingState::draining);
        if (chance(0.004)) told(static_cast<std::uint16_t>(pick(8)), ListingState::ready);
        if (chance(0.002)) bad_ = !bad_;
        if (chance(0.0005)) down_[static_cast<std::uint16_t>(pick(4))] = now_ + 5000;
        for (const auto& [id, m] : taken_)
            ASSERT_TRUE(m.over || now_ <= m.due + 20) << "message " << id << " is lost";
    }

    int delivered() const { return delivered_; }

private:
    bool chance(double p) { return std::uniform_real_distribution<>()(random_) < p; }
    int pick(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

    Result draw() {
        static constexpr Result bad[] = {Result::error, Result::full, Result::connect_failed, Result::reset};
        return chance(bad_ ? 0.7 : 0.1) ? bad[pick(4)] : Result::ok;
    }

    void told(std::uint16_t number, ListingState state) {
        Listing line;
        line.endpoint = endpoint(number);
        line.destination = number / 2;
        line.weight = weight;
        line.state = state;
        state_[line.endpoint] = state;
        tell(ListUpdate{.entries = {&line, 1}});
    }

    void arrive() {
        Arrival a;
        a.id = ++last_id_;
        a.message_class = static_cast<std::uint16_t>(pick(4));
        a.destination = static_cast<std::uint16_t>(pick(4));
        a.key = a.message_class == 3 ? 1 + static_cast<std::uint64_t>(pick(5)) : 0;
        a.due = now_ + settings_.classes[a.message_class].deadline_ms;
        auto& m = taken_[a.id];
        m.cls = a.message_class;
        m.destination = a.destination;
        m.key = a.key;
        m.due = a.due;
        tell(a);
    }

    void land(MessageId id, Taken& m, Result result) {
        Outcome o;
        o.id = id;
        o.endpoint = m.at;
        o.attempt = m.attempts - 1;
        o.result = result;
        o.over = result == Result::ok;
        o.elapsed_ms = 80;
        if (result == Result::full && chance(0.5)) o.wait_ms = 1 + pick(1500);
        m.flying = false;
        --flying_;
        auto& outage = outage_[m.destination];
        if (result == Result::ok && outage.out) outage = {0, false, now_, outage.grace};
        if (result == Result::ok) outage.failures = 0;
        if (result == Result::connect_failed && now_ < down_[m.destination] && ++outage.failures >= 3 &&
            !outage.out) {
            outage.out = true;
            outage.grace = now_ + settings_.fall_ms;  // sends before the outage was seen
        }
        if (result == Result::ok) {
            m.over = true;
            ++delivered_;
        } else if (result == Result::error || result == Result::reset || result == Result::timeout) {
            if (m.first_risky < 0) m.first_risky = sent_[id];
            if (m.key != 0 && result != Result::error) rest_[m.key] = now_ + settings_.turn_gap_ms;
        }
        tell(o);
        if (o.wait_ms > 0) wait_[m.destination] = std::max(wait_[m.destination], now_ + o.wait_ms);
    }

    void ring() {
        std::vector<std::uint32_t> due;
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            due.push_back(timers_.begin()->second);
            timers_.erase(timers_.begin());
        }
        for (const auto timer : due) tell(TimerFired{timer});
    }

    void tell(const Event& event) {
        std::vector<Action> actions;
        sender_.handle(now_, event, actions);
        for (const auto& action : actions) {
            if (const auto* const timer = std::get_if<SetTimer>(&action))
                timers_.emplace(timer->at, timer->timer);
            if (const auto* const attempt = std::get_if<Attempt>(&action)) check(*attempt);
            if (const auto* const refuse = std::get_if<Refuse>(&action)) {
                ASSERT_FALSE(taken_.at(refuse->id).first_risky >= 0 && taken_.at(refuse->id).cls == 2);
                end(refuse->id);
            }
            if (const auto* const fail = std::get_if<Fail>(&action)) end(fail->id);
        }
    }

    // Cold return: this sender's part of multiple x present capacity, over any span of fall_ms. Calls to lane
    // and endpoint before the outage was seen do not count.
    void check_cold(std::uint16_t destination) {
        auto& sends = sends_[destination];
        sends.push_back(now_);
        const auto& outage = outage_[destination];
        if (!outage.out && now_ >= outage.back + settings_.ramp_ms) return;
        double share = settings_.start_capacity;
        if (!outage.out) share += (1 - share) * (now_ - outage.back) / settings_.ramp_ms;
        const double budget =
            settings_.tip_multiple * share * weight * settings_.fall_ms / 1000 / settings_.senders;
        const auto recent = std::count_if(sends.begin(), sends.end(),
                                          [this](Time t) { return t > now_ - settings_.fall_ms; });
        ASSERT_TRUE(recent <= budget || now_ < outage.grace) << "pushed over: " << recent << " of " << budget;
    }

    void end(MessageId id) {
        auto& m = taken_.at(id);
        ASSERT_FALSE(m.over) << "answered twice";
        ASSERT_FALSE(m.flying) << "ended with an attempt out";
        m.over = true;
    }

    void check(const Attempt& attempt) {
        auto& m = taken_.at(attempt.id);
        ASSERT_FALSE(m.over || m.flying);
        ASSERT_LT(m.attempts, settings_.max_attempts);
        ASSERT_LE(++flying_, settings_.slots);
        ASSERT_EQ(m.destination, (attempt.endpoint.address - endpoint(0).address) / 2);
        ASSERT_EQ(state_.at(attempt.endpoint), ListingState::ready) << "drains are kept";
        ASSERT_GE(now_, wait_[m.destination]) << "waits are heeded";
        if (m.first_risky >= 0) {
            ASSERT_LT(m.cls, 2) << "no effect twice";
            const Time window = m.cls == 1 ? settings_.classes[1].window_ms : 1e9;
            ASSERT_LE(now_, m.first_risky + window);
        }
        if (m.key != 0) {
            for (const auto& [id, other] : taken_)
                ASSERT_TRUE(id >= attempt.id || other.key != m.key || (other.over && !other.flying))
                    << "order by key";
            // A message that has the turn may be tried again without a rest.
            ASSERT_TRUE(m.attempts > 0 || now_ >= rest_[m.key]) << "a key rests";
        }
        check_cold(m.destination);
        m.flying = true;
        m.at = attempt.endpoint;
        m.expires = std::min(attempt.expires, m.due);
        ++m.attempts;
        sent_[attempt.id] = now_;
    }

    Settings settings_;
    std::mt19937_64 random_;
    Sender sender_;
    Time now_ = 0;
    MessageId last_id_ = 0;
    bool bad_ = false;
    int flying_ = 0, delivered_ = 0;
    std::map<MessageId, Taken> taken_;
    std::map<MessageId, Time> sent_;
    std::map<EndpointId, ListingState> state_;
    std::map<std::uint16_t, Time> wait_, down_;
    std::map<std::uint16_t, Outage> outage_;
    std::map<std::uint16_t, std::vector<Time>> sends_;
    std::map<std::uint64_t, Time> rest_;
    std::multimap<Time, std::uint32_t> timers_;
};

TEST(Contract, RulesHoldUnderRandomLegalEvents) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Contract contract(seed);
        for (int i = 0; i < 8000; ++i) {
            contract.step();
            if (::testing::Test::HasFatalFailure()) FAIL() << "seed " << seed;
        }
        EXPECT_GT(contract.delivered(), 100);
    }
}

}  // namespace
}  // namespace brasslift::test
