// The ledger of messages taken on: in memory, and in the journal before whatever a record permits.
#pragma once

#include <map>
#include <set>
#include <string>

#include "dispatch/types.hpp"
#include "journal/log.hpp"

namespace brasslift::dispatch {

struct Owed {
    MessageId id = 0;
    std::string name, key;
    std::uint16_t message_class = 0, tenant = 0, destination = 0;
    double due_wall = 0;  // deadlines outlive the process, so they are kept by the wall clock
    std::shared_ptr<const std::string> body;
    int attempts = 0;
    bool flying = false, may_have_run = false;
    bool cut = false;                      // its latest attempt was out when an earlier life ended
    double sent_wall = 0, risky_wall = 0;  // of the latest attempt; of the first that may have run
    std::uint16_t sent_zone = 0, risky_zone = 0;
    Ending ending = Ending::none;
    std::uint32_t again_ms = 0;
    std::size_t bytes = 0;  // that it takes in the journal
    std::string mark;       // an observer's, kept with the message; empty: none
};

inline plan::Subject subject_of(const Owed& m) { return {m.message_class, m.tenant, m.destination}; }

class Ledger {
public:
    explicit Ledger(journal::Log& log) : log_(log) {}

    bool recover();
    // Reads one record into a set of messages; used by recovery and by the inspection of a journal.
    static void replay(std::string_view record, std::map<MessageId, Owed>& into);

    // Nothing where the journal has no room for it, or took no record.
    Owed* take(Owed message);
    bool attempt(Owed& message, double wall, std::uint16_t zone);
    void outcome(Owed& message, Result result);
    void end(Owed& message, Ending ending, std::uint32_t again_ms);
    void told(MessageId id);

    Owed* find(MessageId id);
    // Whether a message that a client handed in under that id is still owed its end.
    bool owes(const std::string& name) const { return names_.count(name) != 0; }
    std::size_t held() const { return held_; }  // not ended
    std::map<MessageId, Owed>& all() { return messages_; }
    MessageId next_id() const { return last_id_ + 1; }
    MessageId reserve_id() { return ++last_id_; }
    std::size_t live_bytes() const { return live_; }

private:
    bool write(const std::string& record);
    void write_surely(std::string record);
    bool flush_late();
    void drop_if_over(MessageId id);
    void compact();

    journal::Log& log_;
    std::map<MessageId, Owed> messages_;
    std::set<std::string> names_;
    std::vector<std::string> late_;  // records that could not be written yet
    std::size_t held_ = 0, live_ = 0;
    MessageId last_id_ = 0;
};

}  // namespace brasslift::dispatch
