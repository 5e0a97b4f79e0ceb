// The ledger of messages taken on: in memory, and in the store before whatever a record permits.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "dispatch/departed.hpp"
#include "dispatch/records.hpp"
#include "store/store.hpp"

namespace brasslift::dispatch {

inline plan::Subject subject_of(const Owed& m) { return {m.message_class, m.tenant, m.destination}; }

class Ledger {
public:
    // `wall`: milliseconds of the Unix epoch.
    Ledger(store::Store& store, std::function<double()> wall);

    // Reads what the store holds, which is open; `found` is what its start said. What may have been changed
    // by damage counts as one that may have run, and is written so before anything else.
    // `adopted`: the calls of the life before are still out, in this process's hands.
    bool recover(const store::Report& found, bool adopted = false);
    // Carries a journal of a version before over, whole, once; before recover(). False: it cannot, and is
    // left.
    bool carry_over(store::Files& files);

    // Nothing where the store has no room for it, or wrote nothing. `print`: tells the same request again.
    Owed* take(Owed message, std::uint64_t print);
    // Its attempt of that number, from 0, is about to go. False: there is no record of it, and it may not.
    bool attempt(Owed& message, int number, double wall, std::uint16_t zone);
    void outcome(Owed& message, Result result);
    // The attempt of that number did not leave this process after all, and counts no more. One that is out
    // under another number stays out.
    void unsent(Owed& message, int number);
    void end(Owed& message, Ending ending, std::uint32_t again_ms);
    // Whether the latest record of that message could not be written yet; tries again to write all such
    // records.
    bool unwritten(MessageId id);
    void told(MessageId id);
    // The message may be handed in anew under its id: it is as if it had never come.
    void forget_name(const std::string& name);
    // From now on its id has that print.
    void remember_name(const std::string& name, std::uint64_t print);

    Owed* find(MessageId id);
    // Whether a message that a client handed in under that id is still owed its end.
    bool owes(const std::string& name) const { return names_.count(name) != 0; }
    std::size_t held() const { return held_; }  // not ended
    bool settled() const {
        return late_.empty() && late_departures_.empty();
    }  // the store has all that has happened
    std::map<MessageId, Owed>& all() { return messages_; }
    MessageId next_id() const { return last_id_ + 1; }
    MessageId reserve_id() { return ++last_id_; }
    // The ids of earlier lives, oldest first, with the time that they were taken on.
    struct SeenId {
        std::string name;
        std::uint64_t print = 0;
        double wall = 0;
    };
    std::vector<SeenId> seen() const;
    // Entries of discovery's list that hold no longer, and what changes in them. What the store does not take
    // at once is written before anything else is.
    void note_departures(const DepartureChange& change);
    DepartedEntries departed() const;
    // Tries to write what the store has not taken yet. Whether it has all.
    bool write_late() { return flush_late(); }
    double wall_now() const { return wall_(); }
    // The version behind everything written so far.
    store::Version written() const { return store_.next(); }

private:
    bool write(const store::Batch& batch, store::Purpose purpose);
    void write_surely(MessageId id, store::Batch batch);
    bool flush_late();
    store::Batch batch_of(const DepartureChange& change) const;
    void drop_if_over(MessageId id);
    store::Stamp stamp() const { return static_cast<store::Stamp>(wall_()); }
    store::Batch state_of(const Owed& message) const;
    void suspect(Owed& message, double since);

    store::Store& store_;
    std::function<double()> wall_;
    std::map<MessageId, Owed> messages_;
    std::set<std::string> names_;
    std::map<MessageId, store::Batch> late_;  // what could not be written yet, whole states
    DepartureChange late_departures_;         // that could not be written yet
    std::set<MessageId> cut_;                 // an attempt was out when the last process ended
    std::size_t held_ = 0;
    MessageId last_id_ = 0;
};

// What a store says is owed, told or not; for listings. Changes nothing.
std::map<MessageId, Owed> owed_in(const store::Store& store);

}  // namespace brasslift::dispatch
