// What passes between the core and its fronts. No protocol is known here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "brasslift/sender.hpp"
#include "plan/lists.hpp"
#include "plan/plan.hpp"
#include "runtime/socket.hpp"

namespace brasslift::dispatch {

using runtime::never;

// What becomes of a stream: taken on, or a local reply. `full`: no room, or no journal; `refused`: by the
// module, or by a route or limit of the operators'; `unlisted`: its destination is in no list so far, and
// discovery has not spoken yet; `nowhere`: it has; `conflict`: another message was handed in under that id.
enum class Reply { taken, refused, full, unlisted, nowhere, conflict };

// The answer to a stream, with the time after which to come again where it may.
struct Answer {
    Reply reply = Reply::full;
    double pause_ms = 0;
    MessageId id = 0;  // that it was taken on under
};

// The client of a stream, as long as it may still be answered.
class Client {
public:
    virtual ~Client() = default;
    virtual bool present() const = 0;
    virtual void answer(const Answer& answer) = 0;
};

// What one hop tells the next of the trace that a message belongs to; opaque to the core.
struct Trace {
    std::string parent, state;
};

struct Submission {
    std::string name, key;  // the client's id and idempotency key, passed on unchanged
    std::string order_key;  // whose messages keep their order, in classes that do; empty: none
    std::uint16_t message_class = 0, tenant = 0;
    DestinationId destination = 0;
    Time due = 0;
    std::shared_ptr<const std::string> body;
    bool again = false;  // the client says that it was refused before
    Time came = 0;
    Trace trace;  // the client's
    std::weak_ptr<Client> client;
};

// The client of a message that was answered could not be told so.
struct Untold {
    MessageId id = 0;
};

struct CallMessage {
    MessageId id = 0;
    std::string name, key;
    std::shared_ptr<const std::string> body;
    int attempt = 0;
    Time due = 0, expires = 0, start_by = 0;
    Trace trace;  // of this attempt, for the host; empty: none is passed on
};

// Messages that travel together to one upstream host.
struct Call {
    EndpointId host;
    Time decided = 0;
    std::vector<CallMessage> messages;
    std::shared_ptr<const plan::PoolRule> pool;  // whose connection settings hold; none: the dispatcher's own
};

// Bytes that a message takes in a call that it shares: its texts, and at most so many round them.
constexpr std::size_t most_round_message = 16;
inline std::uint32_t shared_bytes(const std::string& name, const std::string& key, const std::string& body) {
    return static_cast<std::uint32_t>(name.size() + key.size() + body.size() + most_round_message);
}

// How far an attempt came when it ended.
enum class Progress : std::uint8_t { not_connected, connected, partly_written, fully_written, answered };

// The connection that an attempt's call went over.
struct ConnectionUse {
    std::uint64_t number = 0;        // of this process's connections to endpoints; 0: there was none
    std::uint32_t calls_before = 0;  // that it had carried
    double idle_before_ms = 0;       // since the answer to the latest of them
};

struct Verdict {
    MessageId id = 0;
    EndpointId host;
    int attempt = 0;
    Result result = Result::ok;
    bool over = false;  // the destination says that nothing more is owed
    // Its message's time is up, but the call that it shares is still out: a CallEnded follows.
    bool still_out = false;
    bool unsent = false;  // nothing of it left this process: it does not count as an attempt
    double elapsed_ms = 0, wait_ms = 0;
    Report report;
    // For whoever watches: where it was sent, how far it came, the answer's status (0: none) and how many
    // messages shared the call.
    runtime::Address address;
    Progress progress = Progress::not_connected;
    int status = 0;
    std::size_t together = 1;
    ConnectionUse connection;
};

// The call of an attempt whose verdict said that it was still out is out no longer.
struct CallEnded {
    MessageId id = 0;
};

struct Listed {
    bool whole = false;
    bool from_config = false;  // as last known, not heard from discovery
    std::vector<Listing> lines;
    std::vector<EndpointId> forgotten;  // hosts that have long been gone; their ids never come again
};

enum class Ending : std::uint8_t { none, done, failed, deferred };
struct Notice {
    MessageId id = 0;
    std::string name;
    Ending ending = Ending::none;
    std::uint32_t again_ms = 0;
    std::uint64_t order_key = 0;  // keeps its turn until the notice is answered; 0: none
};
struct Told {
    std::vector<MessageId> ids;
};

// The process ends at that time.
struct Stop {
    Time at = 0;
};

// The operators' plan from now on, and what has changed in the named lists; both or either.
struct Planned {
    std::shared_ptr<const plan::Plan> plan;  // none: the one that is there
    std::uint64_t version = 0;               // that the members agreed on; 0: this dispatcher's own
    std::vector<plan::ListChange> lists = {};
    std::map<std::string, double> parts = {};  // of shared limits that are this dispatcher's
};

// More of what was written is durable, or will never be.
struct Synced {};

using Letter = std::variant<Submission, Untold, Verdict, CallEnded, Listed, Told, Stop, Planned, Synced>;

// The ports that a front fills.
class Upstream {
public:
    virtual ~Upstream() = default;
    virtual void call(Call call) = 0;
    virtual void close_idle(EndpointId host) = 0;
};
class Outbox {
public:
    virtual ~Outbox() = default;
    virtual void tell(Notice notice) = 0;
};

}  // namespace brasslift::dispatch
