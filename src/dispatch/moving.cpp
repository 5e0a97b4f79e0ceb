// What the core gives to its successor, and how that goes on. Messages are in the store, which both share;
// the module goes on as it was, so nothing is told to it anew.
#include "dispatch/dispatcher.hpp"

namespace brasslift::dispatch {

bool Dispatcher::settle() {
    if (!mailbox_.empty()) turn();
    return waiting_.empty() && parked_.empty() && open_calls_.empty() && candidates_.empty() &&
           mailbox_.empty() && ledger_.settled();
}

CoreState Dispatcher::save() const {
    CoreState state;
    state.wall_offset = wall_offset_;
    state.timers.assign(timers_.begin(), timers_.end());
    for (const auto& [address, line] : hosts_) state.hosts.push_back(line);
    state.awake = awake_;
    state.list_heard = list_heard_;
    state.flying = flying_;
    state.open_ends = open_ends_;
    state.turns = turns_;
    state.module = sender_.save();
    return state;
}

bool Dispatcher::adopt(const CoreState& state) {
    now_ = scheduler_.now();
    wall_offset_ = state.wall_offset;
    timers_.insert(state.timers.begin(), state.timers.end());
    for (const auto& line : state.hosts) hosts_[line.endpoint.address] = line;
    awake_ = state.awake;
    for (const auto& [destination, used] : awake_) naps_.emplace_back(now_ + rest_ms_, destination);
    list_heard_ = state.list_heard;
    flying_ = state.flying;
    open_ends_ = state.open_ends;
    turns_ = state.turns;
    return sender_.load(state.module);
}

void Dispatcher::resume(const std::set<MessageId>& out) {
    now_ = scheduler_.now();
    remember_ids();
    for (auto& [id, m] : ledger_.all()) {
        // Nobody has its call any more: it may have run.
        if (m.flying && out.count(id) == 0) ledger_.outcome(m, Result::reset);
        if (m.ending != Ending::none) {
            tell_client({m.id, m.name, m.ending, m.again_ms, m.order_key});
            continue;
        }
        remember(m);
        ++counts_.restored;
        note(Step::restored, m, "handed_over");
        if (observer_ != nullptr) observer_->restored(now_, m);
    }
}

}  // namespace brasslift::dispatch
