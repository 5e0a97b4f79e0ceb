// The upstream hosts: an actor and a pool of connections for each. One call at a time on a connection.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

#include "dispatch/types.hpp"
#include "http/parser.hpp"
#include "policy/send_rules.hpp"
#include "runtime/mailbox.hpp"
#include "runtime/socket.hpp"
#include "state/luggage.hpp"
#include "upstream/idle_connections.hpp"
#include "upstream/outcome.hpp"

namespace brasslift::upstream {

struct HostState {
    EndpointId id;
    runtime::Address address;
    DestinationId destination = 0;
    bool apart = false;  // waits bind this host alone, not its whole destination
    bool ready = false;
    bool gone = false;    // nothing reaches it any more: its address may be another host's by now
    Time wait_until = 0;  // a told wait that was heard before it slept
};

struct PoolSettings {
    double dial_timeout_ms = 1500;
    double conn_idle_ms = 10000;
    double drain_grace_ms = 2000;
    std::size_t most_idle = 200;
    std::vector<std::string> report_fields;
};

// What a pool gives to its successor. Descriptors are places in the luggage.
struct CallMessageState {
    MessageId id = 0;
    std::string name, key, body;  // the body only where the call is still to be written
    int attempt = 0;
    Time due = 0, expires = 0, start_by = 0;
    dispatch::Trace trace;
    bool landed = false;
};
struct FlightState {
    EndpointId host;
    Time decided = 0;
    std::vector<CallMessageState> messages;
    std::uint8_t stage = 0;
    std::string rest, parser;  // what is still to be written; where its answer stands
    Time expires = 0, start_by = 0, dial_until = 0, begun = 0;
    runtime::Address address;
    bool surplus = false;
    std::uint32_t calls_before = 0;  // that its connection had carried
    int fd = -1;
};
struct HostNote {
    HostState state;
    Time left_at = 0, wait_until = 0;
};
struct IdleState {
    EndpointId host;
    Time answered_at = 0, expires_at = 0;
    std::uint32_t calls = 0;
    int fd = -1;
};
struct PoolState {
    std::vector<HostNote> hosts;
    std::map<DestinationId, Time> waits;
    std::vector<FlightState> flights;
    std::vector<IdleState> idle;
    double rest_ms = 0;  // of connections behind an answer
};

class Pool : public dispatch::Upstream {
public:
    using Report = std::function<void(dispatch::Verdict)>;
    Pool(runtime::Scheduler& scheduler, PoolSettings settings) : scheduler_(scheduler), settings_(settings) {}

    void report_to(Report report) { report_ = std::move(report); }
    // Told of each attempt whose verdict said that it was still out, once its call has ended.
    void call_ended_to(std::function<void(MessageId)> call_ended) { call_ended_ = std::move(call_ended); }
    void relist(const HostState& state);
    // A host that has long been gone, or sleeps from now on; calls that are out still end.
    void forget(EndpointId host);
    Time wait_until(EndpointId host) const;  // the end of the told wait that binds it; 0: none
    void call(dispatch::Call call) override;
    void close_idle(EndpointId host) override;
    std::size_t idle() const { return account_.idle; }
    const ConnectionFigures& connections() const { return account_.figures; }
    // Told of each connection's end.
    void closed_to(std::function<void(const ConnectionEnd&)> closed) { account_.closed = std::move(closed); }
    std::size_t known() const { return hosts_.size(); }
    std::uint64_t written() const {
        return written_;
    }  // messages, each time that the last byte of its call left
    // Calls by what kept them from their first byte, where anything did.
    using Withheld = std::array<std::uint64_t, policy::barriers>;
    const Withheld& withheld() const { return withheld_; }
    void keep_at_most(std::size_t idle) { settings_.most_idle = idle; }

    // For a successor, between two turns of the loop: nothing waits in a mailbox. `most`: descriptors.
    PoolState save(state::Luggage& luggage, std::size_t most) const;
    // Of a predecessor, before anything else is known: its calls go on.
    void adopt(const PoolState& state, state::Luggage& luggage);

private:
    struct CloseIdle {
        bool for_good = false;  // the host is forgotten, and its actor ends
    };
    using HostCommand = std::variant<dispatch::Call, CloseIdle, HostState>;
    struct Host {
        Host(runtime::Scheduler& scheduler, ConnectionAccount& account)
            : waker(scheduler), mailbox(waker), idle(account) {}
        runtime::Waker waker;
        runtime::Mailbox<HostCommand> mailbox;
        HostState state;
        Time left_at = runtime::never;  // since when the list says that it drains or is gone
        Time wait_until = 0;            // of a host that is a route of its own
        IdleConnections idle;
    };
    struct Flight;
    struct Listed;
    using HostPtr = std::shared_ptr<Host>;  // its actor and each of its calls hold it

    std::string request_of(const Flight& flight) const;
    static Time arrives_by(const Flight& flight);
    runtime::Task<void> run(HostPtr host);
    runtime::Task<void> carry(HostPtr host, dispatch::Call call);
    runtime::Task<void> go_on(HostPtr host, std::shared_ptr<Flight> flight, bool whole);
    runtime::Task<void> see_through(Host& host, Flight& flight);
    runtime::Task<bool> connect(Host& host, Flight& flight);
    runtime::Task<void> exchange(Host& host, Flight& flight);
    runtime::Task<bool> write_rest(Flight& flight);
    runtime::Task<void> read_answer(Flight& flight);
    Time& wait_of(Host& host);
    void heed(Host& host, Time until);
    bool take_idle(Host& host, Flight& flight);
    // Whether the connection was kept for another call.
    bool give_back(Host& host, Flight& flight);
    void close(Flight& flight, ClosedBy by);
    void shed_idle();
    double lifetime(const plan::PoolRule* pool) const;
    Time next_due(const Flight& flight) const;
    void land_due(Flight& flight);
    void land(Flight& flight);
    dispatch::Verdict verdict_of(const Flight& flight, std::size_t place, const Fate& fate) const;

    runtime::Scheduler& scheduler_;
    PoolSettings settings_;
    Report report_;
    std::function<void(MessageId)> call_ended_ = [](MessageId) {};
    ConnectionAccount account_;  // outlives the hosts
    std::uint64_t last_connection_ = 0;
    std::map<EndpointId, HostPtr> hosts_;
    std::set<Flight*> flights_;            // under way
    std::map<DestinationId, Time> waits_;  // of destinations whose hosts share one limit
    std::uint64_t written_ = 0;
    Withheld withheld_{};
};

}  // namespace brasslift::upstream
