// Who makes room where descriptors or memory run out.
#include <algorithm>

#include "downstream/connection.hpp"
#include "runtime/log.hpp"

namespace brasslift::downstream {
namespace {

constexpr double spare_ms = 2100;      // a kept connection without a request may close after 2 s
constexpr double unfinished_ms = 400;  // a request of which nothing has come for so long does not get on
constexpr int most_probes = 8;         // connections that are looked at to find one that may go

}  // namespace

// Who goes first: one that has had its last answer; one with a request that does not get on; kept but spare;
// kept, the longest idle first, for a client whose request crosses the close sends it again; only then one
// that has not sent anything yet, the longest silent first, for its first request would fail. Nobody whose
// request is being answered.
Server::Rank Server::rank_of(const Connection& c) const {
    if (c.evicted) return Rank::stays;
    if (c.lingering) return Rank::answered;
    if (c.busy) return Rank::stays;
    const double age = scheduler_.now() - c.since;
    if (c.parser.started())
        return scheduler_.now() - c.heard >= unfinished_ms ? Rank::unfinished : Rank::stays;
    if (!c.served) return Rank::silent;
    return age >= spare_ms ? Rank::spare : Rank::kept;
}

bool Server::make_room() {
    for (int probes = 0; probes < most_probes; ++probes) {
        Connection* first = nullptr;
        const auto order = [this](const Connection& c) { return std::pair(rank_of(c), c.since); };
        for (const auto& c : connections_)
            if (rank_of(*c) < Rank::stays && (first == nullptr || order(*c) < order(*first))) first = c.get();
        if (first == nullptr) return false;
        const bool lingers = first->lingering;  // nothing of it is read any more
        if (!lingers && first->socket.readable() && !first->socket.news_of_end()) {
            first->since = first->heard = scheduler_.now();  // its request is just coming
            continue;
        }
        evict(*first);
        return true;
    }
    return false;
}

// At once, not when its actor runs: the descriptor is needed now.
void Server::evict(Connection& c) {
    // Whoever waits for an answer is never shut out; rank_of and drains say so before.
    if (c.busy && !c.lingering) {
        ++unanswered_;
        return runtime::log("rules", "a connection that waits for its answer was to be closed: it stays");
    }
    if (c.parser.started() && !c.lingering) {
        c.socket.write(reply(408, true));
        c.socket.end_sending();
    }
    c.evicted = true;
    if (!c.lingering) c.closed_by = ClosedBy::eviction;
    c.socket.close();
    if (!c.lingering) release_request(c);
    --open_;
    c.waker.notify();
}

// Closed by its own actor, which looks once more: a request that has come by then is answered. What comes
// behind that look is left unread, so that its client sees a reset and sends it elsewhere.
void Server::dismiss(Connection& c) {
    c.leaving = true;
    c.waker.notify();
}

void Server::drop_spare() {
    for (const auto& c : connections_)
        if (rank_of(*c) == Rank::spare) dismiss(*c);
}

// Of a connection of which no request will be read any more.
void Server::release_request(Connection& c) {
    c.unanswered_bytes = c.close_mode == CloseMode::after_refusal ? 0 : c.unread.size();
    // Swapped away: an empty string that is assigned leaves the buffer that was there.
    http::Parser fresh(http::Parser::Side::request, limits_.request);
    std::swap(c.parser, fresh);
    std::string().swap(c.unread);
    hold(c, 0);
}

std::size_t Server::request_memory() const {
    std::size_t bytes = 0;
    for (const auto& c : connections_) bytes += c->parser.memory() + c->unread.capacity();
    return bytes;
}

// Counts what a request holds of the memory that all requests that are being read share.
bool Server::hold(Connection& c, std::size_t bytes) {
    held_ += bytes;
    held_ -= std::exchange(c.held, bytes);
    return held_ <= limits_.request_bytes;
}

// Where there is no memory for a request that gets on, those go that do not. Whether there is room now.
bool Server::shed_unfinished(const Connection& asking) {
    while (held_ > limits_.request_bytes) {
        Connection* first = nullptr;
        for (const auto& c : connections_)
            if (c.get() != &asking && c->held > 0 && rank_of(*c) == Rank::unfinished &&
                (first == nullptr || c->heard < first->heard))
                first = c.get();
        if (first == nullptr) return false;
        note_rejection(first->parser.message().target);
        evict(*first);
    }
    return true;
}

}  // namespace brasslift::downstream
