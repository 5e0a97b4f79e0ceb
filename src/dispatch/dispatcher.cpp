#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

#include "dispatch/names.hpp"
#include "policy/delivery.hpp"
#include "runtime/log.hpp"
#include "store/format.hpp"

namespace brasslift::dispatch {
namespace {

constexpr int most_dozing = 64;  // in a turn
// On sockets a key rests for so much longer: the rule's own slack, and what a process may be held up between
// the look at its clock and the close of a call that it gives up.
constexpr double rest_slack_ms = policy::socket_slack_ms + policy::held_up_ms;
// A repeat arrives within its window though its process is held up and its way is long.
constexpr double window_slack_ms = 200, least_window_share = 0.5;

// The module's settings, where a message's end is settled only once its client has been told.
Settings on_sockets(Settings settings) {
    settings.ends_settle_later = true;
    if (settings.turn_gap_ms > 0) settings.turn_gap_ms += rest_slack_ms;
    for (auto& c : settings.classes)
        c.window_ms = std::max(least_window_share * c.window_ms, c.window_ms - window_slack_ms);
    return settings;
}

// Tells one tenant's keys and prints from another's.
std::size_t salt_of(std::uint16_t tenant) { return (std::size_t{tenant} + 1) * 0x9e3779b97f4a7c15U; }

}  // namespace

Dispatcher::Dispatcher(runtime::Scheduler& scheduler, const Settings& settings, std::uint64_t seed,
                       Ledger& ledger, Upstream& upstream, Outbox& outbox)
    : scheduler_(scheduler),
      waker_(scheduler),
      mailbox_(waker_),
      settings_(on_sockets(settings)),
      figures_(settings.classes.size()),
      sender_(settings_, seed),
      ledger_(ledger),
      upstream_(upstream),
      outbox_(outbox) {}

void Dispatcher::recover(const Listed& known) {
    now_ = scheduler_.now();
    // Once a life: a step of the wall clock while it runs moves no deadline.
    wall_offset_ = ledger_.wall_now() - runtime::steady_now();
    on(known);
    // What discovery has said since comes before the first send: a host may have left in the meantime.
    for (auto& letter : mailbox_.take_all()) std::visit([this](auto& l) { on(l); }, letter);
    remember_ids();
    for (auto& [id, m] : ledger_.all()) {
        if (m.ending != Ending::none) {
            if (m.order_key != 0) {
                hold_turn(m, &OpenEnd::notice);
                turns_.join(m.order_key, m.id);
                tell(Unsettled{m.id, m.order_key});
            }
            tell_client({m.id, m.name, m.ending, m.again_ms, m.order_key});
            continue;
        }
        remember(m);
        if (m.order_key != 0) {
            turns_.join(m.order_key, m.id);
            // Of its key a call may have been given up just before the end, whose message is not owed any
            // more.
            turns_.rest(m.order_key, now_ + settings_.turn_gap_ms);
        }
        ++counts_.restored;
        note(Step::restored, m, m.cut ? "out_at_the_end" : m.may_have_run ? "may_have_run" : "untried");
        if (directory_ != nullptr && awake_.count(m.destination) == 0) {
            Listed woken;
            woken.from_config = true;
            wake(m.destination, woken);
            on(woken);
        }
        Restored restored;
        restored.message.id = id;
        restored.message.message_class = m.message_class;
        restored.message.tenant = m.tenant;
        restored.message.destination = m.destination;
        restored.message.key = m.order_key;
        restored.message.due = m.due_wall - wall_offset_;
        restored.message.bytes = shared_bytes(m.name, m.key, *m.body);
        restored.attempts = m.attempts;
        restored.may_have_run = m.may_have_run;
        restored.first_risky = m.risky_wall - wall_offset_;
        restored.zone = m.risky_zone;
        restored.cut = m.cut || m.order_key != 0;
        if (observer_ != nullptr) observer_->restored(now_, m);
        tell(restored);
    }
    perform();
}

runtime::Task<void> Dispatcher::run() {
    const double tick = std::max(1.0, settings_.tick_ms);
    for (;;) {
        const Time records = has_late_records() ? try_records_at_ : never;
        const Time due = std::min({records, timers_.empty() ? never : timers_.begin()->first,
                                   parked_until_.empty() ? never : parked_until_.begin()->first,
                                   naps_.empty() ? never : naps_.front().first});
        if (mailbox_.empty() && scheduler_.now() < due) {
            co_await waker_.wait(due);
            continue;
        }
        // As in the simulator, what comes within a tick is one batch, so that its sends can share calls.
        const Time boundary = std::ceil(scheduler_.now() / tick) * tick;
        while (scheduler_.now() < boundary) co_await waker_.wait(boundary);
        turn();
    }
}

void Dispatcher::turn() {
    now_ = scheduler_.now();
    auto letters = mailbox_.take_all();
    wake_for(letters);
    std::vector<CallEnded> ended_calls;
    for (auto& letter : letters) {
        if (const auto* const ended = std::get_if<CallEnded>(&letter))
            ended_calls.push_back(*ended);
        else
            std::visit([this](auto& l) { on(l); }, letter);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        tell(TimerFired{timer});
    }
    expire_parked();
    notify_recorded();
    perform();
    // A call often ends in the turn of its outcome. Its end lets the key go, so it is looked at only when
    // what the outcome led to is done: a notice that is owed keeps the key.
    for (const auto& ended : ended_calls) on(ended);
    if (!actions_.empty()) perform();
    doze();
}

void Dispatcher::wake(DestinationId destination, Listed& listed) {
    awake_.emplace(destination, now_);
    naps_.emplace_back(now_ + rest_ms_, destination);
    directory_->wake(destination, listed.lines);
}

// All that a turn's messages are for wake together, before the module hears of any.
void Dispatcher::wake_for(const std::deque<Letter>& letters) {
    if (directory_ == nullptr) return;
    Listed woken;
    woken.from_config = true;  // nothing was heard from discovery
    for (const auto& letter : letters) {
        const auto* const s = std::get_if<Submission>(&letter);
        if (s == nullptr || awake_.count(s->destination) != 0) continue;
        if (directory_->knows(s->destination) && directory_->has_room()) wake(s->destination, woken);
    }
    if (!woken.lines.empty()) on(woken);
}

// Destinations that nothing has come for go to sleep, a few at a time. What waits in the mailbox may be of
// one of them, so all of it comes first.
void Dispatcher::doze() {
    for (int left = most_dozing; left > 0 && !naps_.empty() && naps_.front().first <= now_; --left) {
        if (!mailbox_.empty()) return;
        const auto destination = naps_.front().second;
        naps_.pop_front();
        const auto used = awake_.find(destination);
        if (used == awake_.end()) continue;
        const bool due = directory_->may_sleep() && now_ >= used->second + rest_ms_;
        std::vector<Listing> gone;
        const bool sleeps = due && directory_->sleep(destination, [&](Listing& line) {
            const auto standing = sender_.standing(line.endpoint);
            line.outage = standing.outage;
            line.failed_at = standing.failed_at;
            line.wait_until = standing.wait_until;
            gone.push_back(line);
            gone.back().state = ListingState::gone;
            return standing.rests;
        });
        if (!sleeps) {
            naps_.emplace_back(now_ + rest_ms_, destination);
            continue;
        }
        for (const auto& line : gone) hosts_.erase(line.endpoint.address);
        awake_.erase(used);
        ListUpdate update;
        update.entries = gone;
        tell(update);
    }
    if (!actions_.empty()) perform();
}

void Dispatcher::tell(const Event& event) { sender_.handle(now_, event, actions_); }

void Dispatcher::note(Step step, const Owed& m, std::string_view reason, double wait_ms) {
    MessageEvent event{now_, step, m.id, m.name, reason};
    event.wait_ms = wait_ms;
    events_.note(event);
}

void Dispatcher::note_refused(MessageId id, std::string_view name, Refusal by, double pause_ms) {
    ++counts_.refused[static_cast<std::size_t>(by)];
    MessageEvent event{now_, Step::refused, id, name, name_of(by)};
    event.wait_ms = pause_ms;
    events_.note(event);
}

void Dispatcher::perform() {
    // Refusals of streams that still wait come first: those are never taken on.
    const auto actions = std::exchange(actions_, {});
    for (const auto& action : actions)
        if (const auto* const refuse = std::get_if<Refuse>(&action); refuse != nullptr) do_action(*refuse);
    for (const auto& action : actions)
        if (const auto* const fail = std::get_if<Fail>(&action); fail != nullptr) do_action(*fail);
    take_on_candidates();
    for (const auto& action : actions) {
        if (std::holds_alternative<Refuse>(action) || std::holds_alternative<Fail>(action)) continue;
        std::visit([this](const auto& a) { do_action(a); }, action);
    }
    withdrawn_.clear();
    for (auto& [route, calls] : calls_)
        for (auto& call : calls) hand_over(std::move(call));
    calls_.clear();
    if (!actions_.empty()) perform();  // what withdrawals led to
}

Seen Dispatcher::seen_of(const Submission& s) const {
    return {s.name,
            s.message_class,
            s.tenant,
            s.destination,
            s.body->size(),
            s.trace,
            s.came,
            s.again,
            s.key.empty() ? 0 : std::hash<std::string_view>()(s.key) ^ salt_of(s.tenant),
            print_of(s, order_key_of(s)) ^ salt_of(s.tenant)};
}

Seen Dispatcher::seen_of(const Candidate& c) {
    const auto& m = c.message;
    return {m.name,
            m.message_class,
            m.tenant,
            m.destination,
            m.body->size(),
            c.trace,
            c.came,
            c.again,
            m.key.empty() ? 0 : std::hash<std::string_view>()(m.key) ^ salt_of(m.tenant),
            c.print ^ salt_of(m.tenant)};
}

void Dispatcher::refuse(const Submission& s, Client& client, Reply reply, Refusal by, double pause_ms,
                        std::string_view rule) {
    note_refused(0, s.name, by, pause_ms);
    if (observer_ != nullptr) observer_->refused(now_, seen_of(s), by, rule, pause_ms);
    auto& figures = figures_[s.message_class];
    ++(reply == Reply::nowhere || reply == Reply::conflict ? figures.faulted : figures.throttled);
    client.answer({reply, pause_ms, 0});
}

void Dispatcher::on(Submission& s) {
    const auto client = s.client.lock();
    // A client that left before its answer may hand in again under another id: its message never starts.
    if (!client) return;
    if (!client->present()) return refuse(s, *client, Reply::full, Refusal::gone, full_pause_ms);
    const auto destination = awake_.find(s.destination);
    if (destination == awake_.end()) {
        if (directory_ != nullptr && directory_->knows(s.destination))
            return refuse(s, *client, Reply::full, Refusal::held, full_pause_ms);  // no room to wake it
        return refuse(s, *client, list_heard_ ? Reply::nowhere : Reply::unlisted,
                      list_heard_ ? Refusal::nowhere : Refusal::unlisted, full_pause_ms);
    }
    destination->second = now_;
    // A client whose connection broke sends the same request once more: it is taken on once. Whoever hands
    // something else in under an id that another client's message has, is told so.
    forget_ids();
    const auto order_key = order_key_of(s);
    const auto print = print_of(s, order_key);
    if (const auto known = ids_.find(s.name); known != ids_.end()) {
        if (known->second == print) return client->answer({Reply::taken, 0, 0});
        if (withdrawn_calls_.count(s.name) != 0)  // what becomes of its call is known soon
            return refuse(s, *client, Reply::full, Refusal::gone, full_pause_ms);
        return refuse(s, *client, Reply::conflict, Refusal::conflict, 0);
    }
    if (coming_.count(s.name) != 0) return refuse(s, *client, Reply::conflict, Refusal::conflict, 0);
    if (ledger_.held() + candidates_.size() >= static_cast<std::size_t>(settings_.max_held))
        return refuse(s, *client, Reply::full, Refusal::held, full_pause_ms);
    if (authority_ != nullptr && !authority_->may(rules_version_))
        return refuse(s, *client, Reply::full, Refusal::lease, full_pause_ms);
    const auto id = ledger_.reserve_id();
    if (gate_) {
        const auto mark = print ^ salt_of(s.tenant);
        const auto admission =
            gate_->admit(now_, id, {s.message_class, s.tenant, s.destination}, s.body->size(), mark, s.again);
        // Pauses are told in whole milliseconds: one that is rounded down would be too early.
        if (!admission.admitted)
            return refuse(s, *client, Reply::refused, Refusal::plan, std::ceil(admission.pause_ms),
                          admission.by == nullptr ? std::string_view() : *admission.by);
        if (admission.deadline_ms > 0) s.due = std::min(s.due, now_ + admission.deadline_ms);
    }
    Candidate candidate;
    auto& m = candidate.message;
    m.id = id;
    m.name = std::move(s.name);
    m.key = std::move(s.key);
    m.message_class = s.message_class;
    m.tenant = s.tenant;
    m.destination = s.destination;
    m.body = std::move(s.body);
    m.order_key = order_key;
    m.due_wall = s.due + wall_offset_;
    candidate.client = s.client;
    candidate.came = s.came;
    candidate.again = s.again;
    candidate.trace = std::move(s.trace);
    Arrival arrival;
    arrival.id = m.id;
    arrival.message_class = m.message_class;
    arrival.tenant = m.tenant;
    arrival.due = s.due;
    arrival.destination = m.destination;
    arrival.key = order_key;
    arrival.bytes = shared_bytes(m.name, m.key, *m.body);
    candidate.print = print;
    coming_.insert(m.name);
    candidates_.emplace(arrival.id, std::move(candidate));
    tell(arrival);
}

// 0: its class keeps no order, or its client named no key.
std::uint64_t Dispatcher::order_key_of(const Submission& s) const {
    if (!settings_.classes[s.message_class].in_order || s.order_key.empty()) return 0;
    return std::max<std::uint64_t>(1, store::hash_of(s.order_key));
}

void Dispatcher::take_on_candidates() {
    coming_.clear();
    for (auto& [id, candidate] : std::exchange(candidates_, {})) {
        const auto client = candidate.client.lock();
        const auto name = candidate.message.name;
        const auto message_class = candidate.message.message_class;
        if (observer_ != nullptr) candidate.message.mark = observer_->begins(now_, id, seen_of(candidate));
        if (!client) {
            withdraw(id, Refusal::gone);
        } else if (const auto* const m = ledger_.take(std::move(candidate.message), candidate.print);
                   m == nullptr) {
            ++figures_[message_class].throttled;
            ++counts_.records_unwritten;
            note_refused(id, name, Refusal::journal, full_pause_ms);
            client->answer({Reply::full, full_pause_ms, 0});
            withdraw(id, Refusal::journal);
        } else {
            remember(name, candidate.print);
            if (m->order_key != 0) turns_.join(m->order_key, id);
            note(Step::taken, *m);
            if (observer_ != nullptr) observer_->taken(now_, *m);
            if (durable_ == nullptr)
                client->answer({Reply::taken, 0, id});
            else
                answer_taken(id, candidate.client);
        }
    }
}

void Dispatcher::withdraw(MessageId id, Refusal why) {
    if (gate_) gate_->undo(id);
    events_.note({now_, Step::withdrawn, id, {}, name_of(why)});
    if (observer_ != nullptr) observer_->abandoned(now_, id, why);
    withdrawn_.insert(id);
    tell(Withdrawn{id});
}

// The 202 found no client any more: the message is withdrawn as if it had never been handed in.
void Dispatcher::on(const Untold& untold) {
    auto* const m = ledger_.find(untold.id);
    if (m == nullptr || m->ending != Ending::none) return;
    note(Step::withdrawn, *m, name_of(Refusal::gone));
    doubt_name(*m);
    leave_turn(*m);
    ledger_.end(*m, Ending::done, 0);
    if (gate_) gate_->undo(untold.id);
    if (observer_ != nullptr) observer_->abandoned(now_, untold.id, Refusal::gone);
    tell(Withdrawn{untold.id});
}

void Dispatcher::on(const Verdict& v) {
    if (flying_ > 0) --flying_;
    landed(v.id, v.attempt);
    ++(v.unsent ? counts_.unsent : counts_.attempts[static_cast<std::size_t>(v.result)]);
    Outcome outcome;
    outcome.id = v.id;
    outcome.endpoint = v.host;
    outcome.attempt = v.attempt;
    outcome.unsent = v.unsent;
    outcome.result = v.result;
    outcome.elapsed_ms = v.elapsed_ms;
    outcome.wait_ms = v.wait_ms;
    outcome.report = v.report;
    auto* const m = ledger_.find(v.id);
    if (m != nullptr) settle_name(m->name, v);
    outcome.over = m == nullptr || take_verdict(*m, v);
    outcome.unsettled = open_ends_.count(v.id) != 0;
    tell(outcome);
    if (!outcome.over) note_sleep(v);
}

// Whether the message is over with it.
bool Dispatcher::take_verdict(Owed& m, const Verdict& v) {
    const auto order_key = m.order_key;
    bool over = m.ending != Ending::none || v.over || v.result == Result::ok;
    events_.note({now_, Step::landed, v.id, m.name, name_of(v.result), v.host, v.attempt, v.wait_ms,
                  v.together, v.status, v.connection});
    if (observer_ != nullptr) observer_->landed(now_, m, v);
    rest_turn(m, v);
    if (v.still_out) {
        hold_turn(m, &OpenEnd::call);
        hold_turn(m, &OpenEnd::rests);
    }
    if (!v.unsent)
        ledger_.outcome(m, v.result);
    else if (m.flying)
        ledger_.unsent(m, v.attempt);
    auto* const left = ledger_.find(v.id);
    if (left != nullptr && over) {
        end_over(*left, v);
    } else if (left != nullptr && gate_ && !left->flying && gate_->spent(subject_of(*left), left->attempts)) {
        give_up(*left, plan::Gate::spent_pause_ms);
        over = true;
    }
    if (over && order_key != 0 && open_ends_.count(v.id) == 0) turns_.leave(order_key, v.id);
    return over;
}

// Where its time may have been up before the partner answered, the platform still waits for its end: it gets
// a notice as well. One for a message that is over does no harm, a message without an end is lost.
void Dispatcher::end_over(Owed& m, const Verdict& v) {
    if (m.ending != Ending::none || policy::surely_in_time(now_, m.due_wall - wall_offset_))
        return end_delivered(m, v);
    ++counts_.ends_in_doubt;
    give_up(m, 0);
}

// Nothing is told of one that has ended before.
void Dispatcher::end_delivered(Owed& m, const Verdict& v) {
    let_go(v.id);
    if (m.ending == Ending::none) {
        note(Step::ended, m, name_of(Ending::done));
        if (v.result == Result::ok) ++figures_[m.message_class].fulfilled;
        if (observer_ != nullptr) observer_->ended(now_, m, Ending::done, 0);
    }
    ledger_.end(m, Ending::done, 0);
}

void Dispatcher::note_sleep(const Verdict& v) {
    const Time until = sender_.sleeps_until(v.id);
    if (until > now_)
        events_.note({now_, Step::sleeps, v.id, {}, name_of(v.result), v.host, v.attempt, until - now_});
    if (observer_ != nullptr) observer_->sleeps(now_, v.id, until, v.wait_ms > 0);
}

void Dispatcher::on(const Listed& listed) {
    for (const auto& line : listed.lines) {
        hosts_[line.endpoint.address] = line;
        if (awake_.emplace(line.destination, now_).second && directory_ != nullptr)
            naps_.emplace_back(now_ + rest_ms_, line.destination);
    }
    for (const auto& host : listed.forgotten) hosts_.erase(host.address);
    if (!listed.whole && listed.lines.empty()) return;
    list_heard_ = list_heard_ || !listed.from_config;
    // Of a whole list too the lines say all: those that left are among them, and it knows nothing of what
    // woke since.
    ListUpdate update;
    update.entries = listed.lines;
    tell(update);
}

void Dispatcher::on(const Told& told) {
    counts_.notices_answered += told.ids.size();
    for (const auto id : told.ids) {
        if (const auto* const m = ledger_.find(id)) note(Step::notice_answered, *m, name_of(m->ending));
        ledger_.told(id);
        let_turn_go(id, &OpenEnd::notice);
    }
}

void Dispatcher::on(const Stop& stop) { tell(Stopping{stop.at}); }

void Dispatcher::not_sent(const Attempt& attempt, bool over, std::string_view why) {
    ++flying_;
    events_.note({now_, Step::unsent, attempt.id, {}, why, attempt.endpoint, attempt.number});
    Verdict verdict;
    verdict.id = attempt.id;
    verdict.host = attempt.endpoint;
    verdict.attempt = attempt.number;
    verdict.result = Result::moot;
    verdict.unsent = true;
    verdict.over = over;
    mailbox_.put(verdict);
}

void Dispatcher::not_sent(const Attempt& attempt) {
    const auto* const m = ledger_.find(attempt.id);
    const bool over = m == nullptr || m->ending != Ending::none;
    not_sent(attempt, over, over ? "over" : "no_room_in_time");
}

void Dispatcher::do_action(const Attempt& attempt) {
    auto* const m = ledger_.find(attempt.id);
    if (m == nullptr || m->ending != Ending::none) return not_sent(attempt);
    const auto barrier = barrier_of(*m, attempt);
    if (barrier != policy::Barrier::none) {
        ++counts_.withheld[static_cast<std::size_t>(barrier)];
        if (policy::breaks_a_rule(barrier)) tell_violation(*m, barrier);
        return not_sent(attempt, barrier == policy::Barrier::over, policy::name_of(barrier));
    }
    if (!gate_) return send(attempt, nullptr);
    auto permit = gate_->permit(now_, subject_of(*m), attempt.number);
    if (permit.pause_ms <= 0) return send(attempt, std::move(permit.pool));
    give_up(*m, permit.pause_ms);
    not_sent(attempt, true, "policy");
}

void Dispatcher::let_go(MessageId id) {
    if (gate_) gate_->release(now_, id);
}

void Dispatcher::do_action(const Refuse& refuse) {
    if (const auto waiting = candidates_.find(refuse.id); waiting != candidates_.end()) {
        if (gate_) gate_->undo(refuse.id);
        note_refused(refuse.id, waiting->second.message.name, Refusal::module, refuse.pause_ms);
        if (observer_ != nullptr)
            observer_->refused(now_, seen_of(waiting->second), Refusal::module, {}, refuse.pause_ms);
        ++figures_[waiting->second.message.message_class].throttled;
        if (const auto client = waiting->second.client.lock())
            client->answer({Reply::refused, refuse.pause_ms, 0});
        coming_.erase(waiting->second.message.name);
        const bool ordered = waiting->second.message.order_key != 0;
        candidates_.erase(waiting);
        if (ordered) settle(refuse.id);
        return;
    }
    end_as_decided(refuse.id, Ending::deferred, refuse.pause_ms);
}

void Dispatcher::end_as_decided(MessageId id, Ending ending, double again_ms) {
    auto* const m = ledger_.find(id);
    if (m != nullptr) end(*m, ending, again_ms);
    // Where it had ended before, nothing is to be told that would let its key go.
    if (m == nullptr || m->order_key != 0) settle(id);
}

void Dispatcher::do_action(const Fail& fail) { end_as_decided(fail.id, Ending::failed, 0); }

void Dispatcher::end(Owed& m, Ending ending, double again_ms) {
    if (m.ending != Ending::none) return;
    const auto again = static_cast<std::uint32_t>(std::clamp(again_ms, 0.0, 1e6));
    auto& figures = figures_[m.message_class];
    ++(ending == Ending::failed ? figures.faulted : figures.throttled);
    let_go(m.id);
    note(Step::ended, m, name_of(ending), again_ms);
    if (observer_ != nullptr) observer_->ended(now_, m, ending, again);
    hold_turn(m, &OpenEnd::notice);
    const Notice notice{m.id, m.name, ending, again, m.order_key};
    const Time due = m.due_wall - wall_offset_;
    ledger_.end(m, ending, again);
    notify_when_recorded(notice, due);
}

std::map<DestinationId, double> Dispatcher::windows() const {
    std::map<DestinationId, double> sums;
    for (const auto& [address, line] : hosts_)
        if (line.state == ListingState::ready)
            sums[line.destination] += sender_.standing(line.endpoint).window;
    return sums;
}

std::size_t Dispatcher::avoided() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](const auto& host) {
        return host.second.state != ListingState::gone && sender_.standing(host.second.endpoint).avoided;
    }));
}

void Dispatcher::do_action(const SetTimer& timer) { timers_.emplace(timer.at, timer.timer); }
void Dispatcher::do_action(const Close& close) { upstream_.close_idle(close.endpoint); }
void Dispatcher::do_action(const Log& log) { runtime::log("module", "%s", log.text.c_str()); }

}  // namespace brasslift::dispatch
