// The connections to one endpoint that carry no call, by the time of their latest answer, oldest first.
// Threads: the loop's alone. Units: milliseconds of the steady clock. Errors: a connection that has ended, or
// on which anything came, is closed and serves no other call.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "http/reuse.hpp"
#include "upstream/connection.hpp"

namespace brasslift::upstream {

// What all endpoints' connections come to.
struct ConnectionAccount {
    std::size_t idle = 0;
    std::map<std::string, std::size_t> idle_of_pool;  // of the operators' pools
    ConnectionFigures figures;
    http::ReuseRule reuse;
    std::function<void(const ConnectionEnd&)> closed = [](const ConnectionEnd&) {};

    std::size_t idle_in(const std::string& pool) const;
    void count_end(const ConnectionEnd& end);
    // More came than the answers to its calls, so long after the latest one.
    void heed_extra_bytes(double late_ms);
};

class IdleConnections {
public:
    explicit IdleConnections(ConnectionAccount& account) : account_(account) {}
    ~IdleConnections();
    IdleConnections(const IdleConnections&) = delete;
    IdleConnections& operator=(const IdleConnections&) = delete;

    // Whose connections these are, for the account.
    void belong_to(EndpointId host) { host_ = host; }
    void add(Connection connection);
    // The latest used that has rested and may carry a call of that pool of the operators' (empty: none).
    std::optional<Connection> take(const std::string& pool, Time now);
    // Closes the oldest of that pool, where there is one.
    void make_place(const std::string& pool, Time now);
    // Closes what has expired, has ended or has bytes that no call asked for.
    void close_unusable(Time now);
    void close_all(ClosedBy by, Time now);
    void close_oldest(ClosedBy by, Time now);

    bool empty() const { return connections_.empty(); }
    Time oldest_answer() const { return connections_.front().answered_at; }
    Time next_expiry() const;
    const std::deque<Connection>& all() const { return connections_; }

private:
    using Place = std::deque<Connection>::iterator;
    Connection remove(Place place);
    void close(Place place, ClosedBy by, Time now);
    void close_readable(Place place, Time now);

    ConnectionAccount& account_;
    EndpointId host_;
    std::deque<Connection> connections_;
};

}  // namespace brasslift::upstream
