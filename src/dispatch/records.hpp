// What the ledger keeps, as records of the store: a message as it was handed in, how far it has come, the
// notice that is owed, and the ids that clients used of late.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/types.hpp"
#include "store/keyspace.hpp"

namespace brasslift::dispatch {

// How far a message has come.
struct Standing {
    int attempts = 0;
    bool flying = false, may_have_run = false;
    double sent_wall = 0, risky_wall = 0;  // of the latest attempt; of the first that may have run
    std::uint16_t sent_zone = 0, risky_zone = 0;
};

struct Owed : Standing {
    MessageId id = 0;
    std::string name, key;
    std::uint64_t order_key = 0;  // whose messages keep their order; 0: none
    std::uint16_t message_class = 0, tenant = 0;
    DestinationId destination = 0;
    double due_wall = 0;  // deadlines outlive the process, so they are kept by the wall clock
    std::shared_ptr<const std::string> body;
    bool cut = false;  // its latest attempt was out when an earlier life ended
    Ending ending = Ending::none;
    std::uint32_t again_ms = 0;
    std::string mark;  // an observer's, kept with the message; empty: none
};

// Where a message may have gone that nothing is known of: no zone's number.
constexpr std::uint16_t unknown_zone = 0xffff;

struct ById {
    using Key = MessageId;
    static std::string key(Key id) { return store::key_of(id); }
    static std::optional<Key> key(std::string_view bytes) { return store::number_of(bytes); }
};

// What does not change as long as it is owed.
struct MessageCodec : ById {
    using Value = Owed;
    static constexpr std::uint8_t id = 1;
    static std::string value(const Owed& message);
    static std::optional<Owed> value(std::string_view bytes);
};
// How far it has come; absent: nothing was ever sent.
struct ProgressCodec : ById {
    using Value = Standing;
    static constexpr std::uint8_t id = 2;
    static std::string value(const Standing& progress);
    static std::optional<Standing> value(std::string_view bytes);
};
// Of one that has ended: what its client is still to be told.
struct NoticeCodec : ById {
    using Value = Notice;
    static constexpr std::uint8_t id = 3;
    static std::string value(const Notice& notice);
    static std::optional<Notice> value(std::string_view bytes);
};
// An id that a message was taken on under, with the print that tells the same request from another one.
struct SeenCodec {
    using Key = std::string;
    using Value = std::uint64_t;
    static constexpr std::uint8_t id = 4;
    static std::string key(const Key& name) { return name; }
    static std::optional<Key> key(std::string_view bytes) { return std::string(bytes); }
    static std::string value(const Value& print) { return store::ValueWriter().number(print).take(); }
    static std::optional<Value> value(std::string_view bytes);
};
// An entry of discovery's list that holds no longer, by its name; under the name 0: more departed than are
// kept. The next process, which begins with the list of its config and may not hear discovery for long, sends
// nothing there. Versions before wrote endpoints that leave, by a name of their uids alone.
struct LeavingCodec : ById {
    using Value = ListingState;
    static constexpr std::uint8_t id = 6;
    static std::string value(ListingState state);
    static std::optional<ListingState> value(std::string_view bytes);
};

// Under the key "journal": the journal of the version before is in the store, whole.
constexpr std::uint8_t meta_keyspace = 5;
constexpr const char* carried_key = "journal";

using Messages = store::Keyspace<MessageCodec>;
using Progresses = store::Keyspace<ProgressCodec>;
using Notices = store::Keyspace<NoticeCodec>;
using SeenIds = store::Keyspace<SeenCodec>;
using Leaving = store::Keyspace<LeavingCodec>;

// Ids are remembered past a message's end, for as long as a message may live: one that is handed in under
// such an id again is no new message, and may not run a second time.
constexpr std::size_t most_remembered = 4096;
constexpr double remembered_ms = 30000;

// The ledger's keyspaces and how much of them is kept.
std::vector<store::KeyspaceRule> ledger_keyspaces();

// Whether an attempt that ended so never ran.
constexpr bool surely_not_run(Result result) {
    return result == Result::full || result == Result::connect_failed || result == Result::moot;
}

// An attempt that ended, or may have, as one that may have run.
void note_risk(Standing& progress);

}  // namespace brasslift::dispatch
