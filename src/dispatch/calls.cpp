// The core's calls: messages that share one, the caps of the operators' pools, and what waits for room under
// them.
#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher.hpp"

namespace brasslift::dispatch {
namespace {

constexpr double record_retry_ms = 20;  // between two tries to write what the store did not take

// Whether a call that messages share has room for one more.
bool fits(const Call& call, const Owed& m) {
    std::size_t bytes = shared_bytes(m.name, m.key, *m.body);
    for (const auto& beside : call.messages) bytes += shared_bytes(beside.name, beside.key, *beside.body);
    return bytes <= most_call_bytes;
}

}  // namespace

void Dispatcher::plan_by(std::shared_ptr<const plan::Plan> plan, const std::map<std::string, double>& parts) {
    now_ = scheduler_.now();
    std::vector<plan::Gate::Held> held;
    for (const auto& [id, m] : ledger_.all())
        if (m.ending == Ending::none) held.push_back({id, subject_of(m), m.body->size()});
    for (const auto& [id, candidate] : candidates_)
        held.push_back({id, subject_of(candidate.message), candidate.message.body->size()});
    if (gate_) {
        gate_->share(parts, now_);
        gate_->change(std::move(plan), now_, held);
    } else {
        gate_ = std::make_unique<plan::Gate>(std::move(plan), now_);
        gate_->share(parts, now_);
        for (const auto& m : held) gate_->restore(m.id, m.subject, m.bytes);
    }
    // What waits goes by the new pools and their caps.
    parked_until_.clear();
    for (auto& [route, waiting] : std::exchange(parked_, {}))
        for (const auto& parked : waiting) {
            --flying_;
            const auto* const m = ledger_.find(parked.attempt.id);
            send(parked.attempt, m == nullptr ? nullptr : gate_->pool(subject_of(*m)));
        }
}

// By a policy, where the module would go on.
void Dispatcher::give_up(Owed& m, double pause_ms) {
    end(m, m.may_have_run ? Ending::failed : Ending::deferred, std::ceil(pause_ms));
}

void Dispatcher::send(const Attempt& attempt, std::shared_ptr<const plan::PoolRule> pool) {
    auto* const m = ledger_.find(attempt.id);
    const auto host = hosts_.find(attempt.endpoint.address);
    // One that waited may have ended, or its host may have left, in the meantime.
    if (m == nullptr || m->ending != Ending::none || host == hosts_.end()) return not_sent(attempt);
    const int number = attempt.number;
    const auto kind = host->second.kind;
    const auto room =
        static_cast<std::size_t>(kind < settings_.kinds.size() ? settings_.kinds[kind].batch : 1);
    const Route route{attempt.endpoint, pool ? pool->name : std::string()};
    // A connection carries one call.
    const auto cap = pool ? pool->calls_per_host.value_or(pool->connections_per_host.value_or(0)) : 0;
    auto& calls = calls_[route];
    const bool fresh = calls.empty() || calls.back().messages.size() >= room || !fits(calls.back(), *m);
    if (fresh && cap > 0 && open_calls_[route] >= cap) {
        // It has not begun: no record says that it has.
        const Time due = m->due_wall - wall_offset_;
        const Time until = attempt.start_by > 0  ? std::min(attempt.start_by, due)
                           : attempt.expires > 0 ? std::min(attempt.expires, due)
                                                 : due;
        ++flying_;
        if (observer_ != nullptr) observer_->parked(now_, m->id);
        parked_[route].push_back({attempt, until, std::move(pool)});
        parked_until_.emplace(until, route);
        return;
    }
    if (!ledger_.attempt(*m, number, now_ + wall_offset_, host->second.zone)) {
        ++counts_.records_unwritten;
        return not_sent(attempt, false, "journal");
    }
    ++flying_;
    if (number > 0) ++counts_.retried;
    events_.note({now_, Step::sent, m->id, m->name, {}, attempt.endpoint, number});
    Trace trace;
    if (observer_ != nullptr) trace = observer_->sends(now_, *m, pool.get());
    if (fresh) calls.push_back({attempt.endpoint, now_, {}, std::move(pool)});
    if (cap > 0) {
        if (fresh) ++open_calls_[route];
        const auto beside = fresh ? open_.end() : open_.find(calls.back().messages.back().id);
        auto call =
            beside == open_.end() ? std::make_shared<OpenCall>(OpenCall{route, 0}) : beside->second.second;
        ++call->left;
        open_.insert_or_assign(m->id, std::pair(number, std::move(call)));
    }
    CallMessage message;
    message.id = m->id;
    message.name = m->name;
    message.key = m->key;
    message.body = m->body;
    message.attempt = number;
    message.due = m->due_wall - wall_offset_;
    message.expires = attempt.expires > 0 ? attempt.expires : message.due;
    message.start_by = attempt.start_by;
    message.trace = std::move(trace);
    calls.back().messages.push_back(std::move(message));
}

void Dispatcher::when_durable(std::function<void(bool)> act) {
    if (durable_ == nullptr) return act(true);
    if (durable_->failed()) return act(false);
    const auto version = ledger_.written();
    if (waiting_.empty() && durable_->reached(version)) return act(true);
    waiting_.push_back({version, std::move(act)});
    durable_->want();
}

void Dispatcher::release_durable() {
    while (!waiting_.empty() && (durable_->failed() || durable_->reached(waiting_.front().version))) {
        const auto act = std::move(waiting_.front().act);
        waiting_.pop_front();
        act(!durable_->failed());
    }
    if (!waiting_.empty()) durable_->want();
}

// To its host, once the record that it may have run is durable.
void Dispatcher::hand_over(Call call) {
    if (durable_ == nullptr) return upstream_.call(std::move(call));
    when_durable([this, call = std::make_shared<Call>(std::move(call))](bool durable) {
        // What never left: its record could not be kept, or its client went before the answer.
        std::erase_if(call->messages, [&](const CallMessage& message) {
            const auto* const m = ledger_.find(message.id);
            const bool over = m == nullptr || m->ending != Ending::none;
            if (durable && !over) return false;
            Verdict verdict;
            verdict.id = message.id;
            verdict.host = call->host;
            verdict.attempt = message.attempt;
            verdict.result = Result::moot;
            verdict.unsent = true;
            verdict.over = over;
            mailbox_.put(verdict);
            return true;
        });
        if (!call->messages.empty()) upstream_.call(std::move(*call));
    });
}

// Where its record will not be durable the next start tells it, or tells of what became of the message then.
void Dispatcher::tell_client(Notice notice) {
    when_durable([this, notice = std::move(notice)](bool durable) {
        if (durable) outbox_.tell(notice);
    });
}

// A process that is killed before the record is written leaves the message owed, and the next one would try
// it again behind its end. Behind the deadline nobody tries it, and the platform waits no longer.
void Dispatcher::notify_when_recorded(Notice notice, Time due) {
    if (now_ >= due || !ledger_.unwritten(notice.id)) return tell_client(std::move(notice));
    try_records_at_ = now_ + record_retry_ms;
    unrecorded_.push_back({std::move(notice), due});
}

void Dispatcher::note_departures(const DepartureChange& change) {
    ledger_.note_departures(change);
    if (ledger_.settled()) return;
    try_records_at_ = scheduler_.now() + record_retry_ms;
    waker_.notify();
}

void Dispatcher::notify_recorded() {
    if (!has_late_records() || now_ < try_records_at_) return;
    try_records_at_ = now_ + record_retry_ms;
    ledger_.write_late();
    for (auto& end : std::exchange(unrecorded_, {})) {
        if (now_ < end.until && ledger_.unwritten(end.notice.id))
            unrecorded_.push_back(std::move(end));
        else
            tell_client(std::move(end.notice));
    }
}

void Dispatcher::answer_taken(MessageId id, std::weak_ptr<Client> to) {
    when_durable([this, id, to = std::move(to)](bool durable) {
        const auto client = to.lock();
        if (durable && client && client->present()) return client->answer({Reply::taken, 0, id});
        if (client) {
            if (const auto* const m = ledger_.find(id)) ++figures_[m->message_class].throttled;
            client->answer({Reply::full, full_pause_ms, 0});
        }
        // Nobody was told that it was taken on: it must not run. Its call, if one was decided, waits behind
        // this.
        auto* const m = ledger_.find(id);
        if (m == nullptr || m->ending != Ending::none) return;
        const auto name = m->name;
        leave_turn(*m);
        ledger_.end(*m, Ending::done, 0);
        withdraw(id, durable ? Refusal::gone : Refusal::journal);
        forget(name);
    });
}

// A message of a capped call has landed; the last one makes room for what waits.
void Dispatcher::landed(MessageId id, int attempt) {
    const auto found = open_.find(id);
    if (found == open_.end() || found->second.first != attempt) return;
    const auto call = std::move(found->second.second);
    open_.erase(found);
    if (--call->left > 0) return;
    if (const auto count = open_calls_.find(call->route); count != open_calls_.end() && --count->second == 0)
        open_calls_.erase(count);
    unpark(call->route);
}

void Dispatcher::unpark(const Route& route) {
    const auto found = parked_.find(route);
    if (found == parked_.end()) return;
    const auto parked = found->second.front();
    found->second.pop_front();
    if (found->second.empty()) parked_.erase(found);
    --flying_;
    // Others may have come before it in the meantime; then it goes to the end of a queue that is short.
    parked.until > now_ ? send(parked.attempt, parked.pool) : not_sent(parked.attempt);
}

// Attempts that found no room in their time never ran; the module decides anew.
void Dispatcher::expire_parked() {
    while (!parked_until_.empty() && parked_until_.begin()->first <= now_) {
        const auto route = parked_until_.begin()->second;
        parked_until_.erase(parked_until_.begin());
        const auto found = parked_.find(route);
        if (found == parked_.end()) continue;
        auto& waiting = found->second;
        std::vector<Attempt> over;
        std::erase_if(waiting, [&](const Parked& p) {
            if (p.until > now_) return false;
            over.push_back(p.attempt);
            return true;
        });
        if (waiting.empty()) parked_.erase(found);
        for (const auto& attempt : over) {
            --flying_;
            not_sent(attempt);
        }
    }
}

}  // namespace brasslift::dispatch
