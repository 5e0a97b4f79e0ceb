#include "upstream/idle_connections.hpp"

#include <algorithm>
#include <vector>

#include "runtime/log.hpp"

namespace brasslift::upstream {
std::string_view name_of(ClosedBy by) {
    switch (by) {
        case ClosedBy::call_failed: return "call_failed";
        case ClosedBy::answer: return "answer";
        case ClosedBy::surplus: return "surplus";
        case ClosedBy::unsolicited: return "unsolicited";
        case ClosedBy::peer: return "peer";
        case ClosedBy::expired: return "expired";
        case ClosedBy::not_kept: return "not_kept";
        case ClosedBy::shed: return "shed";
        case ClosedBy::capped: return "capped";
        case ClosedBy::endpoint_left: return "endpoint_left";
    }
    return "";
}

std::size_t ConnectionAccount::idle_in(const std::string& pool) const {
    const auto count = idle_of_pool.find(pool);
    return count == idle_of_pool.end() ? 0 : count->second;
}

void ConnectionAccount::count_end(const ConnectionEnd& end) {
    ++figures.closed[static_cast<std::size_t>(end.by)];
    closed(end);
}

void ConnectionAccount::heed_extra_bytes(double late_ms) {
    if (!reuse.heed_extra_bytes(late_ms)) return;
    runtime::log("upstream",
                 "bytes came %.0f ms behind an answer, while no call was out: connections rest for %.0f ms "
                 "from now on",
                 late_ms, reuse.rest_ms());
}

IdleConnections::~IdleConnections() {
    while (!connections_.empty()) remove(connections_.begin());
}

void IdleConnections::add(Connection connection) {
    ++account_.idle;
    if (!connection.pool.empty()) ++account_.idle_of_pool[connection.pool];
    connections_.push_back(std::move(connection));
}

Connection IdleConnections::remove(Place place) {
    --account_.idle;
    auto& of_pool = account_.idle_of_pool;
    if (const auto count = of_pool.find(place->pool); count != of_pool.end() && --count->second == 0)
        of_pool.erase(count);
    auto connection = std::move(*place);
    connections_.erase(place);
    return connection;
}

void IdleConnections::close(Place place, ClosedBy by, Time now) {
    const auto connection = remove(place);
    account_.count_end(
        {connection.number, host_, by, connection.calls, std::max(0.0, now - connection.answered_at)});
}

std::optional<Connection> IdleConnections::take(const std::string& pool, Time now) {
    // The latest used is the least likely to be closed as idle.
    for (std::size_t i = connections_.size(); i-- > 0;) {
        const auto place = connections_.begin() + static_cast<std::ptrdiff_t>(i);
        if (place->pool != pool || !account_.reuse.may_carry(place->answered_at, now)) continue;
        if (place->expires_at <= now)
            close(place, ClosedBy::expired, now);
        else if (place->socket.readable())
            close_readable(place, now);
        else
            return remove(place);
    }
    return std::nullopt;
}

void IdleConnections::make_place(const std::string& pool, Time now) {
    const auto oldest = std::find_if(connections_.begin(), connections_.end(),
                                     [&](const Connection& c) { return c.pool == pool; });
    if (oldest != connections_.end()) close(oldest, ClosedBy::capped, now);
}

void IdleConnections::close_unusable(Time now) {
    std::vector<const runtime::Socket*> sockets;
    for (const auto& connection : connections_) sockets.push_back(&connection.socket);
    const auto readable = runtime::which_are_readable(sockets);
    for (std::size_t i = connections_.size(); i-- > 0;) {
        const auto place = connections_.begin() + static_cast<std::ptrdiff_t>(i);
        if (readable[i])
            close_readable(place, now);
        else if (place->expires_at <= now)
            close(place, ClosedBy::expired, now);
    }
}

// Its endpoint has ended it, or has sent what no call asked for.
void IdleConnections::close_readable(Place place, Time now) {
    if (place->socket.news_of_end()) return close(place, ClosedBy::peer, now);
    account_.heed_extra_bytes(now - place->answered_at);
    close(place, ClosedBy::unsolicited, now);
}

void IdleConnections::close_all(ClosedBy by, Time now) {
    while (!connections_.empty()) close_oldest(by, now);
}

void IdleConnections::close_oldest(ClosedBy by, Time now) { close(connections_.begin(), by, now); }

Time IdleConnections::next_expiry() const {
    Time next = runtime::never;
    for (const auto& connection : connections_) next = std::min(next, connection.expires_at);
    return next;
}

}  // namespace brasslift::upstream
