// The module's actor: turns letters into the module's events once a tick and its actions into deeds.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "dispatch/authority.hpp"
#include "dispatch/directory.hpp"
#include "dispatch/durable.hpp"
#include "dispatch/event_log.hpp"
#include "dispatch/figures.hpp"
#include "dispatch/ledger.hpp"
#include "dispatch/observer.hpp"
#include "dispatch/types.hpp"
#include "plan/gate.hpp"
#include "policy/key_turns.hpp"
#include "policy/send_rules.hpp"
#include "runtime/mailbox.hpp"

namespace brasslift::dispatch {

constexpr double full_pause_ms = 500;  // advice where the holding room or the store is full

// What still keeps the next message of its key from its turn after a message has ended.
struct OpenEnd {
    std::uint64_t order_key = 0;
    bool notice = false;  // its client is still to be told
    bool call = false;    // a call that it shared is still out
    bool rests = false;   // the key rests once that call has ended
};

// What the core gives to its successor beside the store, which both share.
struct CoreState {
    double wall_offset = 0;
    std::vector<std::pair<Time, std::uint32_t>> timers;
    std::vector<Listing> hosts;
    std::map<DestinationId, Time> awake;
    bool list_heard = false;
    std::uint64_t flying = 0;
    std::map<MessageId, OpenEnd> open_ends;
    policy::KeyTurns turns;
    std::string module;
};

class Dispatcher {
public:
    Dispatcher(runtime::Scheduler& scheduler, const Settings& settings, std::uint64_t seed, Ledger& ledger,
               Upstream& upstream, Outbox& outbox);

    // From now on the operators' plan narrows what comes in and goes out. What is held stays counted.
    void plan_by(std::shared_ptr<const plan::Plan> plan, const std::map<std::string, double>& parts = {});
    // What shared limits were asked to admit.
    std::vector<plan::Gate::Asked> asked() const {
        return gate_ ? gate_->asked() : std::vector<plan::Gate::Asked>();
    }
    // Who is told of messages' lives from now on; nullptr: nobody.
    void watch_by(Observer* observer) { observer_ = observer; }
    // What a record permits waits from now on until the record is durable; nullptr: until it is written.
    void sync_by(Durable* durable) { durable_ = durable; }
    // Who is asked before new work is answered by the present rules; nullptr: nobody.
    void judge_by(const Authority* authority) { authority_ = authority; }
    // Who knows the destinations that sleep, and after how long without a message one may; nullptr: none
    // does.
    void look_up_in(Directory* directory, double rest_ms = 60000) {
        directory_ = directory;
        rest_ms_ = rest_ms;
    }
    std::uint64_t rules_version() const { return rules_version_; }
    // The calls at a time that the module's windows allow, by destination.
    std::map<DestinationId, double> windows() const;
    // Tells the module its first list and what an earlier life took on; owed notices are sent again.
    void recover(const Listed& known);
    // The same of a predecessor, whose calls are still out. False: the state is not one of this module's.
    bool adopt(const CoreState& state);
    // Once the ledger has read the store: goes on with what it holds. `out`: the messages whose calls came
    // along.
    void resume(const std::set<MessageId>& out);
    runtime::Task<void> run();

    // Keeps for the next process which entries of discovery's list hold no longer. What the store does not
    // take is tried again until it does.
    void note_departures(const DepartureChange& change);
    // Works off what has come in. Whether nothing is left that waits for the store or for room under a cap.
    bool settle();
    CoreState save() const;

    runtime::Mailbox<Letter>& mailbox() { return mailbox_; }
    std::size_t flying() const { return flying_; }
    const Figures& figures() const { return figures_; }
    const Counts& counts() const { return counts_; }
    EventLog& events() { return events_; }
    // A front had no room for a request of that class.
    void throttled(std::size_t message_class) { ++figures_[message_class].throttled; }
    std::size_t avoided() const;  // listed hosts that nothing is sent to at the moment

private:
    struct Candidate {  // a stream that the module has seen but that is not answered yet
        Owed message;
        std::weak_ptr<Client> client;
        std::size_t print = 0;
        Time came = 0;
        bool again = false;
        Trace trace;
    };

    void turn();
    void wake(DestinationId destination, Listed& listed);
    void wake_for(const std::deque<Letter>& letters);
    void doze();
    void remember_ids();
    void remember(const Owed& message);
    void on(Submission& submission);
    void on(const Untold& untold);
    void on(const Verdict& verdict);
    void on(const CallEnded& ended);
    void on(const Listed& listed);
    void on(const Told& told);
    void on(const Stop& stop);
    void on(const Synced&) { release_durable(); }
    void on(const Planned& planned) {
        // Parts come before a plan that brings shared limits, so that none begins with the whole of one.
        if (planned.plan)
            plan_by(planned.plan, planned.parts);
        else if (gate_)
            gate_->share(planned.parts, scheduler_.now());
        if (gate_) gate_->change(planned.lists, scheduler_.now());
        rules_version_ = planned.version;
    }

    // Calls of a pool to a host, where the pool caps them.
    using Route = std::pair<EndpointId, std::string>;  // the pool by its name, which outlasts a reload
    struct OpenCall {
        Route route;
        std::size_t left = 0;  // messages that have not landed
    };
    // What waits until all that has been written is durable; `act` is told whether it came to be.
    struct Waiting {
        store::Version version = 0;
        std::function<void(bool)> act;
    };
    struct Parked {  // an attempt that waits until its host has room for a call
        Attempt attempt;
        Time until = 0;
        std::shared_ptr<const plan::PoolRule> pool;
    };

    void tell(const Event& event);
    void note(Step step, const Owed& message, std::string_view reason = {}, double wait_ms = 0);
    void note_refused(MessageId id, std::string_view name, Refusal by, double pause_ms);
    void perform();
    void do_action(const Attempt& attempt);
    void do_action(const Refuse& refuse);
    void do_action(const Fail& fail);
    void do_action(const SetTimer& timer);
    void do_action(const Subscribe&) {}  // the list comes by itself
    void do_action(const Close& close);
    void do_action(const Log& log);
    void take_on_candidates();
    // Of what a client handed in, but for its id: tells the same request again from another one.
    static std::size_t print_of(const Submission& submission, std::uint64_t order_key);
    Seen seen_of(const Submission& submission) const;
    static Seen seen_of(const Candidate& candidate);
    void refuse(const Submission& submission, Client& client, Reply reply, Refusal by, double pause_ms,
                std::string_view rule = {});
    // Not taken on after all, and the module is told.
    void withdraw(MessageId id, Refusal why);
    void remember(const std::string& name, std::size_t print);
    void remember(const std::string& name, std::size_t print, Time until);
    void forget(const std::string& name);
    void doubt_name(const Owed& withdrawn);
    void settle_name(const std::string& name, const Verdict& verdict);
    void forget_ids();
    void end(Owed& message, Ending ending, double again_ms);
    void let_go(MessageId id);
    void give_up(Owed& message, double pause_ms);
    void send(const Attempt& attempt, std::shared_ptr<const plan::PoolRule> pool);
    void landed(MessageId id, int attempt);
    void unpark(const Route& route);
    void expire_parked();
    void not_sent(const Attempt& attempt, bool over, std::string_view why);
    void when_durable(std::function<void(bool)> act);
    void release_durable();
    void notify_when_recorded(Notice notice, Time due);
    void notify_recorded();
    bool has_late_records() const { return !unrecorded_.empty() || !ledger_.settled(); }
    void hand_over(Call call);
    void tell_client(Notice notice);
    void answer_taken(MessageId id, std::weak_ptr<Client> client);
    void not_sent(const Attempt& attempt);  // as its message stands
    std::uint64_t order_key_of(const Submission& submission) const;
    void hold_turn(const Owed& message, bool OpenEnd::*because);
    void let_turn_go(MessageId id, bool OpenEnd::*because);
    bool take_verdict(Owed& message, const Verdict& verdict);
    void end_over(Owed& m, const Verdict& v);
    void end_delivered(Owed& message, const Verdict& verdict);
    void note_sleep(const Verdict& verdict);
    void settle(MessageId id);
    void leave_turn(const Owed& message);
    void rest_turn(const Owed& message, const Verdict& verdict);
    bool has_turn(const Owed& message);
    policy::Barrier barrier_of(const Owed& message, const Attempt& attempt);
    void tell_violation(const Owed& message, policy::Barrier barrier);
    void end_as_decided(MessageId id, Ending ending, double again_ms);

    runtime::Scheduler& scheduler_;
    runtime::Waker waker_;
    runtime::Mailbox<Letter> mailbox_;
    Settings settings_;
    Figures figures_;
    Counts counts_;
    EventLog events_;
    Sender sender_;
    Ledger& ledger_;
    Upstream& upstream_;
    Outbox& outbox_;
    Observer* observer_ = nullptr;
    Durable* durable_ = nullptr;
    const Authority* authority_ = nullptr;
    Directory* directory_ = nullptr;
    double rest_ms_ = 0;  // the module drops a window after a minute too
    std::uint64_t rules_version_ = 0;
    std::deque<Waiting> waiting_;
    // Ends whose record the store does not take, and until when they are not told.
    struct Unrecorded {
        Notice notice;
        Time until = 0;
    };
    std::vector<Unrecorded> unrecorded_;
    Time try_records_at_ = 0;  // what the store did not take
    Time now_ = 0;
    double wall_offset_ = 0;  // wall clock less steady clock
    std::vector<Action> actions_;
    std::map<MessageId, Candidate> candidates_;
    std::set<std::string> coming_;                      // the ids of the candidates
    std::unordered_map<std::string, std::size_t> ids_;  // taken on of late, with their prints
    std::deque<std::pair<Time, std::string>> remembered_;
    // Ids whose messages were withdrawn while a call of them was out, with the print and the class of each.
    struct WithdrawnCall {
        std::size_t print = 0;
        std::uint16_t message_class = 0;
    };
    std::map<std::string, WithdrawnCall> withdrawn_calls_;
    policy::KeyTurns turns_;                  // as this side knows them, beside the module
    std::map<MessageId, OpenEnd> open_ends_;  // of ended messages with an order key
    std::set<MessageId> withdrawn_;  // not taken on after the module had seen them; in this turn only
    std::map<Route, std::deque<Call>> calls_;
    std::unique_ptr<plan::Gate> gate_;
    std::unordered_map<MessageId, std::pair<int, std::shared_ptr<OpenCall>>>
        open_;  // by attempt; under a cap only
    std::map<Route, std::size_t> open_calls_;
    std::map<Route, std::deque<Parked>> parked_;
    std::multimap<Time, Route> parked_until_;
    std::unordered_map<std::uint32_t, Listing> hosts_;
    // Destinations that the module knows, and when a message last came for each; one may be without hosts for
    // a while. Those that rest for long enough sleep, where the directory lets them.
    std::map<DestinationId, Time> awake_;
    std::deque<std::pair<Time, DestinationId>> naps_;  // when each is looked at, in that order
    bool list_heard_ = false;                          // from discovery, since the start
    std::multimap<Time, std::uint32_t> timers_;
    std::size_t flying_ = 0;
};

}  // namespace brasslift::dispatch
