#include "upstream/idle_connections.hpp"

#include <algorithm>

namespace brasslift::upstream {
namespace {

// A host that closes right after its answer takes a moment to do so, and what is written meanwhile is lost.
constexpr double settle_ms = 30;

}  // namespace

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
    close_unusable(now);
    const auto of_pool = [&](const Connection& c) { return c.pool == pool; };
    // The latest used is the least likely to be closed as idle.
    const auto settled = std::find_if(connections_.rbegin(), connections_.rend(), [&](const Connection& c) {
        return of_pool(c) && c.answered_at <= now - settle_ms;
    });
    const auto any = settled == connections_.rend()
                         ? std::find_if(connections_.rbegin(), connections_.rend(), of_pool)
                         : settled;
    if (any == connections_.rend()) return std::nullopt;
    return remove(std::prev(any.base()));
}

void IdleConnections::close_unusable(Time now) {
    for (std::size_t i = connections_.size(); i-- > 0;) {
        const auto place = connections_.begin() + static_cast<std::ptrdiff_t>(i);
        if (place->expires_at <= now)
            close(place, ClosedBy::expired, now);
        else if (place->socket.readable())
            close(place, place->socket.news_of_end() ? ClosedBy::peer : ClosedBy::unsolicited, now);
    }
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
