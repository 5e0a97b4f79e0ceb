// What a server gives to its successor, and how that goes on: clients notice nothing.
#include <algorithm>

#include "downstream/connection.hpp"
#include "state/archive.hpp"

namespace brasslift::downstream {

void Server::pause() { paused_ = true; }

void Server::go_on() {
    paused_ = false;
    waker_.notify();
    for (const auto& c : connections_) c->waker.notify();
}

std::size_t Server::answering() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto& c) { return c->busy; }));
}

ServerState Server::save(state::Luggage& luggage, std::size_t most) const {
    ServerState state;
    state.listener = luggage.add(listener_.fd());
    std::vector<const Connection*> clients;
    for (const auto& c : connections_)
        if (!c->busy && !c->closing && !c->evicted && c->socket) clients.push_back(c.get());
    // Where not all fit, those go first that have sent something of a request, then the latest used.
    std::stable_sort(clients.begin(), clients.end(), [](const Connection* a, const Connection* b) {
        return std::pair(!a->parser.started(), -a->since) < std::pair(!b->parser.started(), -b->since);
    });
    for (const auto* const c : clients) {
        if (luggage.given().size() >= most) break;
        state.clients.push_back(
            {luggage.add(c->socket.fd()), c->since, c->heard, c->served, c->unread, state::pack(c->parser)});
    }
    return state;
}

bool Server::adopt(const ServerState& state, state::Luggage& luggage) {
    runtime::Socket listener(scheduler_, luggage.take(state.listener), waker_);
    if (!listener) return false;
    listener_ = std::move(listener);
    for (const auto& client : state.clients) {
        auto c = std::make_shared<Connection>(scheduler_, luggage.take(client.fd), limits_.request);
        if (!c->socket || !state::unpack(c->parser, client.parser)) continue;
        c->since = client.since;
        c->heard = client.heard;
        c->served = client.served;
        c->unread = client.unread;
        keep(std::move(c));
    }
    return true;
}

}  // namespace brasslift::downstream
