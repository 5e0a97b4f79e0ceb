// The ids that clients handed messages in under, with a print of each request: whether one that comes again
// is the same message, another one, or one whose fate is not known.
#include <algorithm>

#include "dispatch/dispatcher.hpp"
#include "store/format.hpp"

namespace brasslift::dispatch {
namespace {

// Of an id whose message was withdrawn and may have run: no request has this print.
constexpr std::size_t doubtful_print = 0;
constexpr int most_looks = 2;  // for each message, where more ids are remembered than are to be

}  // namespace

void Dispatcher::remember_ids() {
    for (const auto& seen : ledger_.seen()) {
        const Time until = seen.wall - wall_offset_ + remembered_ms;
        if (until > now_) remember(seen.name, seen.print, std::min(until, now_ + remembered_ms));
    }
}

void Dispatcher::remember(const Owed& m) {
    Submission as_handed_in;
    as_handed_in.key = m.key;
    as_handed_in.message_class = m.message_class;
    as_handed_in.destination = m.destination;
    as_handed_in.body = m.body;
    remember(m.name, print_of(as_handed_in, m.order_key));
}

std::size_t Dispatcher::print_of(const Submission& s, std::uint64_t order_key) {
    // It outlasts the process, so its hash is one whose values are written down.
    std::size_t print = store::hash_of(*s.body);
    for (const std::size_t part :
         {std::size_t{store::hash_of(s.key)}, std::size_t{s.message_class}, std::size_t{s.destination}})
        print = print * 1099511628211U ^ part;
    if (order_key != 0) print = print * 1099511628211U ^ order_key;
    return print == doubtful_print ? doubtful_print + 1 : print;
}

void Dispatcher::remember(const std::string& name, std::size_t print) {
    remember(name, print, now_ + remembered_ms);
}

void Dispatcher::remember(const std::string& name, std::size_t print, Time until) {
    ids_.insert_or_assign(name, print);
    remembered_.emplace_back(until, name);
}

void Dispatcher::forget(const std::string& name) {
    ids_.erase(name);
    ledger_.forget_name(name);
}

// The oldest go first; one that is still owed keeps its place. Beyond the bound a few are looked at for each
// that comes, so that a backlog is not walked for every message.
void Dispatcher::forget_ids() {
    int looks = most_looks;
    for (auto left = remembered_.size(); left > 0; --left) {
        auto& [until, name] = remembered_.front();
        if (until > now_ && (remembered_.size() <= most_remembered || looks-- == 0)) break;
        if (ledger_.owes(name))
            remembered_.emplace_back(now_ + remembered_ms, std::move(name));
        else
            ids_.erase(name);
        remembered_.pop_front();
    }
}

// Where nothing of it may have run its client may hand it in again under the same id. Elsewhere it got no
// answer, and must not be answered that the message was accepted: nobody goes on with it.
void Dispatcher::doubt_name(const Owed& m) {
    const auto known = ids_.find(m.name);
    if (!m.flying && !m.may_have_run) return forget(m.name);
    if (known == ids_.end()) return;
    if (m.flying) withdrawn_calls_[m.name] = {known->second, m.message_class};
    known->second = doubtful_print;
    ledger_.remember_name(m.name, doubtful_print);
}

// The call of a message that was withdrawn meanwhile has ended.
void Dispatcher::settle_name(const std::string& name, const Verdict& v) {
    const auto found = withdrawn_calls_.find(name);
    if (found == withdrawn_calls_.end()) return;
    const auto call = found->second;
    withdrawn_calls_.erase(found);
    const auto known = ids_.find(name);
    if (known == ids_.end()) return;
    const bool has_not_run = v.unsent || surely_not_run(v.result);
    const bool may_run_again = settings_.classes[call.message_class].repeat == Repeat::pure;
    if (v.result == Result::ok && !v.unsent) {
        known->second = call.print;
        ledger_.remember_name(name, call.print);
    } else if (has_not_run || may_run_again) {
        forget(name);
    }
}

}  // namespace brasslift::dispatch
