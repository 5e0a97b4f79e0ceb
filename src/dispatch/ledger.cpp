#include "dispatch/ledger.hpp"

#include <algorithm>

#include "dispatch/old_journal.hpp"
#include "runtime/log.hpp"

namespace brasslift::dispatch {
namespace {

using store::Batch;
using store::Purpose;

constexpr std::size_t carried_at_once = 256 * 1024;  // bytes in one batch

}  // namespace

std::map<MessageId, Owed> owed_in(const store::Store& store) {
    std::map<MessageId, Owed> all;
    const auto pass = [](std::string_view) {};
    Messages::each(
        store, [&](MessageId id, Owed m, const store::Entry&) { (all[id] = std::move(m)).id = id; }, pass);
    Progresses::each(
        store,
        [&](MessageId id, const Standing& progress, const store::Entry&) {
            if (const auto found = all.find(id); found != all.end())
                static_cast<Standing&>(found->second) = progress;
        },
        pass);
    Notices::each(
        store,
        [&](MessageId id, const Notice& notice, const store::Entry&) {
            auto& m = all[id];
            m.id = id;
            m.name = notice.name;
            m.ending = notice.ending;
            m.again_ms = notice.again_ms;
            m.order_key = notice.order_key;
            m.flying = false;
            if (!m.body) m.body = std::make_shared<const std::string>();
        },
        pass);
    return all;
}

Ledger::Ledger(store::Store& store, std::function<double()> wall) : store_(store), wall_(std::move(wall)) {}

bool Ledger::recover(const store::Report& found, bool adopted) {
    messages_ = owed_in(store_);
    names_.clear();
    held_ = 0;
    const auto unreadable = [&](std::string_view key) {
        runtime::log("store", "a record of message %llu cannot be read",
                     static_cast<unsigned long long>(store::number_of(key).value_or(0)));
        // Its record is kept, so that no other message may have its id.
        last_id_ = std::max(last_id_, store::number_of(key).value_or(0));
    };
    std::size_t suspects = 0, orphans = 0;
    std::vector<MessageId> strays;
    const auto below = found.suspect_below;
    if (below && !adopted) {
        // Among what is lost may be that an entry departed.
        DepartureChange unknown;
        unknown.incomplete = true;
        if (!write(batch_of(unknown), Purpose::owed)) return false;
    }
    Messages::each(
        store_, [](auto, const auto&, const auto&) {}, unreadable);
    Progresses::each(
        store_,
        [&](MessageId id, const Standing&, const store::Entry&) {
            if (Messages::find(store_, id) == nullptr) strays.push_back(id);
        },
        unreadable);
    for (const auto id : strays) {
        // Its message is lost with its client's id: nobody can be told but the operator.
        ++orphans;
        Batch batch;
        Progresses::erase(batch, id);
        if (!write(batch, Purpose::owed)) return false;
    }
    for (auto& [id, m] : messages_) {
        last_id_ = std::max(last_id_, id);
        // An attempt without an outcome was out when the process ended: it may have run.
        if (m.flying && !adopted) cut_.insert(id);
        m.cut = cut_.count(id) != 0;
        if (m.flying && m.cut) {
            note_risk(m);
            // Whoever reads the store next must not take the attempt for one that is still out.
            if (!write(state_of(m), Purpose::owed)) return false;
        }
        if (m.ending != Ending::none) continue;
        names_.insert(m.name);
        ++held_;
        const auto* const accept = Messages::find(store_, id);
        const auto* const progress = Progresses::find(store_, id);
        const auto newest = progress == nullptr ? accept->version : progress->version;
        if (!below || !store::older(newest, *below)) continue;
        // What may have been lost behind its newest record may have been that it went out.
        suspect(m, static_cast<double>(accept->stamp));
        ++suspects;
        if (!write(state_of(m), Purpose::owed)) return false;
    }
    if (!found.sound())
        runtime::log("store",
                     "%zu messages count as ones that may have run; %zu are lost, their attempts known",
                     suspects, orphans);
    store_.settle();
    return true;
}

// Nothing is known of when and where it went but that it was not before it was taken on.
void Ledger::suspect(Owed& m, double since) {
    m.attempts = std::max(m.attempts, 1);
    m.flying = false;
    if (m.may_have_run) return;
    m.may_have_run = true;
    m.sent_wall = m.risky_wall = since;
    m.sent_zone = m.risky_zone = unknown_zone;
}

bool Ledger::carry_over(store::Files& files) {
    Batch done;
    done.erase(meta_keyspace, carried_key);
    if (!any_old_journal(files)) return write(done, Purpose::owed);
    if (store_.index().find(meta_keyspace, carried_key) == nullptr) {
        std::map<MessageId, Owed> old;
        if (read_old_journal(files, old)) {
            Batch batch;
            std::size_t bytes = 0;
            for (auto& [id, m] : old) {
                if (m.ending != Ending::none) {
                    Notices::put(batch, id, {id, m.name, m.ending, m.again_ms, m.order_key}, stamp());
                } else {
                    Messages::put(batch, id, m, stamp());
                    if (m.attempts > 0) Progresses::put(batch, id, m, stamp());
                }
                bytes += m.body->size() + m.name.size() + m.key.size() + 128;
                if (bytes < carried_at_once) continue;
                if (!write(std::exchange(batch, {}), Purpose::owed)) return false;
                bytes = 0;
            }
            if (!batch.empty() && !write(batch, Purpose::owed)) return false;
            runtime::log("store", "%zu messages were carried over from the journal", old.size());
        }
        // Until this stands, a start that was cut short is made again from the journal, which is still whole.
        Batch whole;
        whole.put(meta_keyspace, carried_key, "1", stamp());
        if (!write(whole, Purpose::owed)) return false;
    }
    remove_old_journal(files);
    store_.count_others();
    return !any_old_journal(files) && write(done, Purpose::owed);
}

Owed* Ledger::find(MessageId id) {
    const auto found = messages_.find(id);
    return found == messages_.end() ? nullptr : &found->second;
}

std::vector<Ledger::SeenId> Ledger::seen() const {
    std::vector<SeenId> ids;
    SeenIds::each(
        store_,
        [&](const std::string& name, std::uint64_t print, const store::Entry& entry) {
            ids.push_back({name, print, static_cast<double>(entry.stamp)});
        },
        [](std::string_view) {});
    std::sort(ids.begin(), ids.end(), [](const SeenId& a, const SeenId& b) { return a.wall < b.wall; });
    return ids;
}

void Ledger::note_departures(const DepartureChange& change) {
    late_departures_.add(change);
    flush_late();
}

DepartedEntries Ledger::departed() const {
    DepartedEntries all;
    Leaving::each(
        store_,
        [&](std::uint64_t entry, ListingState, const store::Entry&) {
            if (entry == no_entry)
                all.complete = false;
            else
                all.names.insert(entry);
        },
        [&](std::string_view) { all.complete = false; });
    return all;
}

Batch Ledger::batch_of(const DepartureChange& change) const {
    Batch batch;
    if (change.cleared) {
        const auto kept = departed();
        for (const auto entry : kept.names) Leaving::erase(batch, entry);
        if (!kept.complete) Leaving::erase(batch, no_entry);
    }
    if (change.incomplete) Leaving::put(batch, no_entry, ListingState::gone, stamp());
    for (const auto& [entry, has_departed] : change.departed) {
        if (has_departed)
            Leaving::put(batch, entry, ListingState::gone, stamp());
        else
            Leaving::erase(batch, entry);
    }
    return batch;
}

bool Ledger::flush_late() {
    while (!late_.empty()) {
        if (!store_.write(late_.begin()->second, Purpose::owed)) return false;
        late_.erase(late_.begin());
    }
    if (late_departures_.empty()) return true;
    if (!store_.write(batch_of(late_departures_), Purpose::owed)) return false;
    late_departures_ = {};
    return true;
}

bool Ledger::write(const Batch& batch, Purpose purpose) {
    if (!flush_late()) return false;
    const auto written = store_.write(batch, purpose);
    if (!written && written.fault != store::Fault::no_room)
        runtime::log("store", "a record could not be written: %s", store_.why().c_str());
    return static_cast<bool>(written);
}

// What has happened cannot be refused: kept, and written before anything else is. Each batch says all that a
// message has come to, so the latest one stands for those before it.
void Ledger::write_surely(MessageId id, Batch batch) {
    late_.insert_or_assign(id, std::move(batch));
    if (!flush_late() && late_.size() == 1)
        runtime::log("store", "a record waits until it can be written: %s", store_.why().c_str());
}

Batch Ledger::state_of(const Owed& m) const {
    Batch batch;
    if (m.ending == Ending::none) {
        Progresses::put(batch, m.id, m, stamp());
        return batch;
    }
    Messages::erase(batch, m.id);
    Progresses::erase(batch, m.id);
    if (m.ending == Ending::done)
        Notices::erase(batch, m.id);
    else
        Notices::put(batch, m.id, {m.id, m.name, m.ending, m.again_ms, m.order_key}, stamp());
    return batch;
}

Owed* Ledger::take(Owed message, std::uint64_t print) {
    const auto id = message.id;
    Batch batch;
    Messages::put(batch, id, message, stamp());
    SeenIds::put(batch, message.name, print, stamp());
    // Out of room is a local reply, never a folder over its limit.
    if (!write(batch, Purpose::fresh)) return nullptr;
    ++held_;
    names_.insert(message.name);
    return &messages_.insert_or_assign(id, std::move(message)).first->second;
}

bool Ledger::attempt(Owed& m, int number, double wall, std::uint16_t zone) {
    auto next = m;
    next.attempts = number + 1;
    next.flying = true;
    next.sent_wall = wall;
    next.sent_zone = zone;
    if (!write(state_of(next), Purpose::owed)) return false;
    m = std::move(next);
    return true;
}

void Ledger::outcome(Owed& m, Result result) {
    if (!surely_not_run(result)) note_risk(m);
    m.flying = false;
    if (m.ending != Ending::none) return drop_if_over(m.id);
    // A delivery's own record is its end.
    if (result == Result::ok) return;
    write_surely(m.id, state_of(m));
}

void Ledger::unsent(Owed& m, int number) {
    if (!m.flying || m.attempts != number + 1) return;
    m.flying = false;
    m.attempts = number;
    if (m.ending != Ending::none) return drop_if_over(m.id);
    write_surely(m.id, state_of(m));
}

void Ledger::end(Owed& m, Ending ending, std::uint32_t again_ms) {
    if (m.ending != Ending::none) return;
    m.ending = ending;
    m.again_ms = again_ms;
    --held_;
    names_.erase(m.name);
    write_surely(m.id, state_of(m));
    drop_if_over(m.id);
}

bool Ledger::unwritten(MessageId id) {
    flush_late();
    return late_.count(id) != 0;
}

void Ledger::told(MessageId id) {
    auto* const m = find(id);
    if (m == nullptr || m->ending == Ending::none) return;
    m->ending = Ending::done;
    write_surely(id, state_of(*m));
    drop_if_over(id);
}

void Ledger::forget_name(const std::string& name) {
    Batch batch;
    SeenIds::erase(batch, name);
    write(batch, Purpose::owed);
}

void Ledger::remember_name(const std::string& name, std::uint64_t print) {
    Batch batch;
    SeenIds::put(batch, name, print, stamp());
    write(batch, Purpose::owed);
}

void Ledger::drop_if_over(MessageId id) {
    const auto found = messages_.find(id);
    if (found == messages_.end() || found->second.ending != Ending::done || found->second.flying) return;
    messages_.erase(found);
}

}  // namespace brasslift::dispatch
