// The downstream side: clients' connections, an actor each, and the ready page.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <variant>

#include "config/config.hpp"
#include "dispatch/types.hpp"
#include "http/parser.hpp"
#include "lifecycle/lifecycle.hpp"
#include "runtime/mailbox.hpp"
#include "runtime/socket.hpp"
#include "state/luggage.hpp"

namespace brasslift::downstream {

// A stream as its request asks for it, or the status of its local reply.
using Read = std::variant<dispatch::Submission, int>;
// `traced`: with the trace that its client began.
Read read_stream(http::Message& request, const config::Config& config, Time now, bool traced = false);

// Why a client's connection came to its end.
enum class ClosedBy : std::uint8_t {
    client,        // it ended or broke, or its answer could not be written
    request,       // the request or its answer said so
    idle,          // it rested for too long, or clients are being sent away
    late_request,  // its request did not come whole in time
    faulty,        // what it sent is no request
    no_memory,     // too many requests were being read
    eviction,      // its descriptor was needed
    no_watch       // the system would not tell of it
};
constexpr std::size_t closed_by_count = 8;
std::string_view name_of(ClosedBy by);

// How a client's connection ended, for a history of them.
struct ConnectionEnd {
    std::uint64_t number = 0;  // of the connection, from 1 in each process
    ClosedBy by = ClosedBy::client;
    std::uint64_t answered = 0;        // requests that got their answer on it
    std::size_t unanswered_bytes = 0;  // that were read behind the last request that was answered
};

// What a server gives to its successor. Descriptors are places in the luggage.
struct ClientNote {
    int fd = -1;
    Time since = 0, heard = 0;
    bool served = false;
    std::string unread, parser;
};
struct ServerState {
    int listener = -1;
    std::vector<ClientNote> clients;
};

class Server {
public:
    struct Limits {
        std::size_t connections = 512;
        std::size_t request_bytes = 4 << 20;  // of all requests that are being read
        http::Limits request = {};            // of one
        double request_ms = 2000;             // within which it is whole
    };
    using Submit = std::function<void(dispatch::Submission)>;
    Server(runtime::Scheduler& scheduler, const config::Config& config, Limits limits,
           const lifecycle::Lifecycle& lifecycle);
    void limit(Limits limits) { limits_ = limits; }

    bool listen(runtime::Address address);
    void submit_to(Submit submit) { submit_ = std::move(submit); }
    // Told of each message whose 202 could not be written.
    void untold_to(std::function<void(MessageId)> untold) { untold_ = std::move(untold); }
    // Told of each request of a class that was turned away here, for want of room.
    void rejections_to(std::function<void(std::size_t)> count) { count_rejection_ = std::move(count); }
    // Told of the end of each connection.
    void closed_to(std::function<void(const ConnectionEnd&)> closed) { closed_to_ = std::move(closed); }
    void trace(bool on) { traced_ = on; }
    runtime::Task<void> run();
    // Closes connections as they fall idle for as long as the lifecycle says that clients are sent away.
    void drain();
    void stop_listening();
    // A request that is not whole by then is answered with 408.
    void read_until(Time last) { read_until_ = last; }
    // Nothing more is read or accepted until it goes on; what has been read whole is answered.
    void pause();
    void go_on();
    bool quiet() const { return answering() == 0; }
    std::size_t answering() const;  // requests that have been read and wait for their answer
    // For a successor, while it pauses. Clients beyond `most` descriptors stay here, the spare ones first.
    ServerState save(state::Luggage& luggage, std::size_t most) const;
    // Of a predecessor, in place of listen(). False: there is no listener in it.
    bool adopt(const ServerState& state, state::Luggage& luggage);
    void close_idle();
    std::size_t open() const { return open_; }
    // Bytes of memory that requests take which have not been handed over.
    std::size_t request_memory() const;
    // No connection is there and none will come.
    bool over() const { return !listener_ && open_ == 0 && rejecting_ == 0; }
    // Times that accept failed for the system's trouble.
    std::uint64_t accepts_failed() const { return accepts_failed_; }
    // Connections that were to be closed while they waited for an answer; none was.
    std::uint64_t unanswered() const { return unanswered_; }
    // Connections that ended with bytes that were read and belonged to no request that was answered.
    std::uint64_t ended_with_unanswered() const { return ended_with_unanswered_; }
    // Connections that have ended, by why.
    const std::array<std::uint64_t, closed_by_count>& closed() const { return closed_; }

private:
    class Connection;
    runtime::Task<void> serve(std::shared_ptr<Connection> connection);
    runtime::Task<bool> answer(std::shared_ptr<Connection> connection, bool& close);
    std::string page(const http::Message& request, bool close) const;
    std::string reply(int status, bool close) const;
    std::string reply(const dispatch::Answer& answer, bool close) const;
    runtime::Task<bool> read_request(Connection& c);
    runtime::Task<bool> write_all(Connection& c, std::string text);
    runtime::Task<void> close_gracefully(Connection& c);
    runtime::Task<void> discard_rest(Connection& c);
    static bool has_more(const Connection& c);
    bool ends_after(const Connection& c, bool keeps_alive) const;
    void take(runtime::Descriptor fd);
    void keep(std::shared_ptr<Connection> connection);
    // Of connections, the first to go first.
    enum class Rank : std::uint8_t { answered, unfinished, spare, kept, silent, stays };
    Rank rank_of(const Connection& c) const;
    bool make_room();
    void evict(Connection& c);
    static void dismiss(Connection& c);
    runtime::Task<void> reject_connection(std::shared_ptr<Connection> connection);
    void drop_spare();
    bool hold(Connection& c, std::size_t bytes);
    bool shed_unfinished(const Connection& asking);
    void release_request(Connection& c);
    void note_end(const Connection& c);
    runtime::Task<void> close_drained();
    void note_rejection(std::string_view target) const;

    runtime::Scheduler& scheduler_;
    const config::Config& config_;
    Limits limits_;
    const lifecycle::Lifecycle& lifecycle_;
    runtime::Waker waker_;
    runtime::Socket listener_;
    runtime::Time last_accepts_until_ = runtime::never;  // never: it listens on
    runtime::Time read_until_ = runtime::never;
    std::list<std::shared_ptr<Connection>> connections_;
    Submit submit_;
    std::function<void(MessageId)> untold_;
    std::function<void(std::size_t)> count_rejection_;
    std::function<void(const ConnectionEnd&)> closed_to_;
    std::array<std::uint64_t, closed_by_count> closed_{};
    std::uint64_t accepts_failed_ = 0, unanswered_ = 0, ended_with_unanswered_ = 0, last_number_ = 0;
    std::size_t open_ = 0, held_ = 0, rejecting_ = 0;
    std::array<char, 16384> scratch_;  // what a read brings, until it is kept; nobody waits in between
    bool traced_ = false, closing_drained_ = false, paused_ = false;
};

}  // namespace brasslift::downstream
