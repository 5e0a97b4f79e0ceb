// The core's side of the rules of a send: whose turn it is in a key by the core's own account, what keeps an
// ended message's key, and what is counted and logged where the module would have broken a rule.
#include "dispatch/dispatcher.hpp"
#include "runtime/log.hpp"

namespace brasslift::dispatch {

void Dispatcher::hold_turn(const Owed& m, bool OpenEnd::*because) {
    if (m.order_key == 0) return;
    auto& open = open_ends_[m.id];
    open.order_key = m.order_key;
    open.*because = true;
}

void Dispatcher::let_turn_go(MessageId id, bool OpenEnd::*because) {
    const auto found = open_ends_.find(id);
    if (found == open_ends_.end()) return;
    found->second.*because = false;
    settle(id);
}

// Where nothing holds the turn of an ended message's key any more, the module hears of it.
void Dispatcher::settle(MessageId id) {
    const auto found = open_ends_.find(id);
    if (found != open_ends_.end() && (found->second.notice || found->second.call)) return;
    Settled settled{id, false};
    if (found != open_ends_.end()) {
        settled.rests = found->second.rests;
        const auto key = found->second.order_key;
        if (settled.rests) turns_.rest(key, now_ + settings_.turn_gap_ms);
        turns_.leave(key, id);
        open_ends_.erase(found);
    }
    tell(settled);
}

// Of a message that ends without a notice; one that is out leaves with its verdict.
void Dispatcher::leave_turn(const Owed& m) {
    if (m.order_key != 0 && !m.flying) turns_.leave(m.order_key, m.id);
}

// Where the attempt may still run.
void Dispatcher::rest_turn(const Owed& m, const Verdict& v) {
    const bool unsure = v.result == Result::timeout || v.result == Result::reset ||
                        v.result == Result::cancelled || v.result == Result::spoilt;
    if (m.order_key != 0 && unsure) turns_.rest(m.order_key, now_ + settings_.turn_gap_ms);
}

// By this side's own account of the key. A place in it that nobody has any more is given up, and counted.
bool Dispatcher::has_turn(const Owed& m) {
    if (m.order_key == 0) return true;
    turns_.forget_rested(now_);
    for (auto front = turns_.front(m.order_key); front && *front != m.id; front = turns_.front(m.order_key)) {
        if (ledger_.find(*front) != nullptr || open_ends_.count(*front) != 0) return false;
        ++counts_.stale_turns;
        turns_.leave(m.order_key, *front);
    }
    return m.attempts > 0 || now_ >= turns_.rests_until(m.order_key);
}

policy::Barrier Dispatcher::barrier_of(const Owed& m, const Attempt& attempt) {
    const auto host = hosts_.find(attempt.endpoint.address);
    policy::AttemptFacts facts;
    facts.over = m.ending != Ending::none;
    facts.out = m.flying;
    facts.number = attempt.number;
    facts.most_attempts = settings_.max_attempts;
    facts.host_known = host != hosts_.end();
    facts.right_destination = facts.host_known && host->second.destination == m.destination;
    facts.may_have_run = m.may_have_run;
    facts.first_risky = m.risky_wall - wall_offset_;
    facts.same_zone = facts.host_known && host->second.zone == m.risky_zone;
    facts.has_turn = has_turn(m);
    facts.now = now_;
    return policy::before_attempt(settings_.classes[m.message_class], facts);
}

// The module would have had a rule broken: withheld, counted, and told with what led to it.
void Dispatcher::tell_violation(const Owed& m, policy::Barrier barrier) {
    const auto name = policy::name_of(barrier);
    runtime::log("rules", "message %s (%llu) was withheld: %.*s", m.name.c_str(),
                 static_cast<unsigned long long>(m.id), static_cast<int>(name.size()), name.data());
    for (const auto& line : events_.about(m.id)) runtime::log("rules", "  %s", line.c_str());
    const auto front = m.order_key == 0 ? std::nullopt : turns_.front(m.order_key);
    if (!front || *front == m.id) return;
    for (const auto& line : events_.about(*front)) runtime::log("rules", "  %s", line.c_str());
}

// A call that was given up for one of its messages, whose time was up, has ended for the others too.
void Dispatcher::on(const CallEnded& ended) { let_turn_go(ended.id, &OpenEnd::call); }

}  // namespace brasslift::dispatch
