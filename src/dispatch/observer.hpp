// The port to whoever watches messages' lives. It is told on the loop's thread, at the time `now` (of the
// steady clock, in milliseconds); it may neither throw nor wait, and nothing that it answers decides
// anything.
#pragma once

#include <string>
#include <string_view>

#include "dispatch/ledger.hpp"

namespace brasslift::dispatch {

// Who would not have a stream, or why it came to nothing: its client had left before its answer.
enum class Refusal : std::uint8_t { module, plan, held, journal, unlisted, nowhere, conflict, gone, lease };

// A stream as its client handed it in.
struct Seen {
    std::string_view name;
    std::uint16_t message_class = 0, tenant = 0;
    DestinationId destination = 0;
    std::size_t bytes = 0;
    const Trace& trace;
    Time came = 0;
    bool again = false;  // the client says that it was refused before
    // Tell the same message from another one, by its key (0: it has none) and by all that it holds.
    std::size_t by_key = 0, by_print = 0;
};

class Observer {
public:
    virtual ~Observer() = default;

    // `rule`: the route or limit that refused it, where one did.
    virtual void refused(Time now, const Seen& seen, Refusal by, std::string_view rule, double pause_ms) = 0;
    // About to be taken on. What it answers goes into the journal with the message.
    virtual std::string begins(Time now, MessageId id, const Seen& seen) = 0;
    // It has its record, and its client is answered, or will be once the record is durable.
    virtual void taken(Time now, const Owed& message) = 0;
    // It was not taken on after all, or its client could not be told.
    virtual void abandoned(Time now, MessageId id, Refusal why) = 0;
    // Of an earlier life, with the mark of its begin.
    virtual void restored(Time now, const Owed& message) = 0;
    // An attempt that has its record; what is answered goes with it to the host.
    virtual Trace sends(Time now, const Owed& message, const plan::PoolRule* pool) = 0;
    // The attempt waits until a pool's cap has room.
    virtual void parked(Time now, MessageId id) = 0;
    virtual void landed(Time now, const Owed& message, const Verdict& verdict) = 0;
    // Until when the module leaves a message alone after an attempt; `told`: as its host said.
    virtual void sleeps(Time now, MessageId id, Time until, bool told) = 0;
    virtual void ended(Time now, const Owed& message, Ending ending, double again_ms) = 0;
};

}  // namespace brasslift::dispatch
