// The interface of brasslift: settings in, events in, actions out. All decisions are in src/choice.cpp.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace brasslift {

using Time = double;  // milliseconds on the caller's clock; only differences matter
using MessageId = std::uint64_t;
using DestinationId = std::uint32_t;  // by its number, as clients and lists say it

struct EndpointId {
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const EndpointId&) const = default;
};

// ---- settings -------------------------------------------------------------------------------------------

enum class Repeat { pure, token, side_effect };  // harmless; within a group and a window; never
enum class Weights { off, rough, nominal };      // what Listing::weight tells of the shared limit
enum class Fade { line, halves };                // how worth falls after the aim
enum class ListingState { ready, draining, gone };
enum class Outage { none, endpoint, destination };  // what did not answer when it was last sent to

struct ClassSettings {
    double deadline_ms = 0;
    double aim_ms = 0;
    double worth = 0;
    double late_share = 0;       // share of the worth left at the deadline
    double window_ms = 0;        // token: repeats are dropped for so long after the first that may have run
    bool group_is_zone = false;  // token: repeats are dropped by the endpoints of one zone, not by all
    bool in_order = false;
    Repeat repeat = Repeat::side_effect;
};

struct KindSettings {
    bool routes_apart = false;
    int batch = 1;  // messages in one call at most
};

struct Settings {
    int slots = 0;
    int max_held = 0;
    int max_attempts = 0;
    int senders = 1;
    double tick_ms = 0;
    double conn_idle_ms = 0;
    double max_pause_ms = 0;
    bool may_advise_pause = false;
    bool list_by_ask = false;
    double must_ask_ms = 0;  // 0: no such limit
    double start_capacity = 1;
    double ramp_ms = 0;
    double tip_multiple = 0;  // 0: destinations do not fall over
    double fall_ms = 0;
    double turn_gap_ms = 0;  // a key rests for so long after an attempt that may still run
    // In classes that keep order: a message that ends by Refuse or Fail keeps its key's turn until Settled.
    bool ends_settle_later = false;
    double over_share_worth = 1;
    double refused_price = 0;  // for calls refused above a limit, by message
    Weights weights = Weights::off;
    Fade fade = Fade::line;
    int report_left = -1;   // place of 'share of the limit left' in a report; -1 if none
    int report_limit = -1;  // place of 'limit in calls a second'; -1 if none
    std::vector<KindSettings> kinds;
    std::vector<double> zone_toll;
    std::vector<ClassSettings> classes;
    std::vector<double> tenant_rates;  // messages a second within a tenant's share, all senders together
};

// ---- events ---------------------------------------------------------------------------------------------

struct Listing {
    EndpointId endpoint;
    std::uint16_t zone = 0;
    DestinationId destination = 0;
    std::uint8_t kind = 0;
    ListingState state = ListingState::ready;
    double weight = 0;
    // Of an endpoint that is told of anew, how it stood before: see Standing.
    Outage outage = Outage::none;
    Time failed_at = -std::numeric_limits<Time>::infinity();
    Time wait_until = -std::numeric_limits<Time>::infinity();  // a told wait's end
};

struct ListUpdate {
    bool failed = false;  // a call for the list failed; no entries
    bool whole = false;   // what is not named is gone
    std::span<const Listing> entries;
};

struct Arrival {
    MessageId id = 0;
    std::uint16_t message_class = 0;
    std::uint16_t tenant = 0;
    std::uint64_t key = 0;  // 0: none
    Time due = 0;
    DestinationId destination = 0;
    std::uint32_t bytes = 0;  // that it takes in a call that it shares; see most_call_bytes
};

// Bytes that messages which share a call take in it at most. One beyond that goes alone.
constexpr std::size_t most_call_bytes = 64 * 1024;

// spoilt: it ran, or may have, and an answer came that cannot be read; says nothing of the endpoint's health.
enum class Result { ok, error, full, timeout, connect_failed, reset, cancelled, moot, spoilt };

using Report = std::vector<double>;

struct Outcome {
    MessageId id = 0;
    EndpointId endpoint;
    int attempt = 0;
    Result result = Result::ok;
    bool unsent = false;     // it did not leave this process: it does not count as an attempt
    bool over = false;       // the message has ended
    bool unsettled = false;  // over, but it keeps its key's turn until Settled
    double elapsed_ms = 0;
    double wait_ms = 0;  // the wait that was told, 0 if none
    Report report;
};

// A message that an earlier life of this sender took on, with what became of its attempts.
struct Restored {
    Arrival message;
    int attempts = 0;           // made so far; they count
    bool may_have_run = false;  // one of them may have run, or was out when the process ended
    Time first_risky = 0;       // when the first such attempt was sent
    std::uint16_t zone = 0;     // and in which zone
    bool cut = false;           // its latest attempt was out when the process ended
};

// A message that an earlier life of this sender ended: it keeps its key's turn until Settled.
struct Unsettled {
    MessageId id = 0;
    std::uint64_t key = 0;
};

// An ended message keeps its key's turn no longer: its client was told, and no attempt of it is out.
struct Settled {
    MessageId id = 0;
    bool rests = false;  // its last attempt may still run: the key rests first
};

// The sender's process ends then: an attempt still out at that time may have run.
struct Stopping {
    Time at = 0;
};

struct Withdrawn {
    MessageId id = 0;
};
struct TimerFired {
    std::uint32_t timer = 0;
};

struct PeerNote {
    std::uint16_t from = 0;
    std::string body;
};

using Event = std::variant<ListUpdate, Arrival, Restored, Unsettled, Settled, Outcome, Withdrawn, Stopping,
                           TimerFired, PeerNote>;

// ---- actions --------------------------------------------------------------------------------------------

struct Attempt {
    MessageId id = 0;
    EndpointId endpoint;
    Time expires = 0;
    Time start_by = 0;  // its first byte goes by then or not at all
    int number = 0;     // of the message's attempts, from 0; its outcome says the same
};
struct Refuse {
    MessageId id = 0;
    double pause_ms = 0;
};
struct Fail {
    MessageId id = 0;
};
struct SetTimer {
    Time at = 0;
    std::uint32_t timer = 0;
};
struct Subscribe {};
struct Close {  // the idle connections to an endpoint
    EndpointId endpoint;
};
struct Log {
    std::string text;
};

using Action = std::variant<Attempt, Refuse, Fail, SetTimer, Subscribe, Close, Log>;

// How an endpoint stands at the moment.
struct Standing {
    bool rests = false;            // its destination has no message
    bool avoided = true;           // not in use by the list, or judged to be out
    double window = 0;             // the calls at a time that may be out
    Outage outage = Outage::none;  // what has not answered well since it last failed
    Time failed_at = -std::numeric_limits<Time>::infinity();
    Time wait_until = -std::numeric_limits<Time>::infinity();  // a told wait's end
};

// ---- the sender -----------------------------------------------------------------------------------------

class Sender {
public:
    // Throws std::invalid_argument, naming the setting, where settings cannot be worked with.
    Sender(const Settings& settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    // Tells what has happened and appends what is to be done. Events of one moment carry the same time.
    void handle(Time now, const Event& event, std::vector<Action>& actions);

    // For whoever watches; they change nothing. Until when a message that has just failed sleeps before it
    // may be sent again: a time in the past where it does not. How an endpoint stands; as by default where it
    // is not known.
    Time sleeps_until(MessageId id) const;
    Standing standing(EndpointId id) const;

    // All that it knows, for a process that takes its place, and back into one with the same settings that
    // has been told nothing yet. False: the bytes are not that, and this sender is of no use any more.
    std::string save() const;
    bool load(const std::string& bytes);

private:
    class Choice;
    std::unique_ptr<Choice> choice_;
};

}  // namespace brasslift
