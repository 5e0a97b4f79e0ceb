// What a pool gives to its successor, and how that goes on.
#include "state/archive.hpp"
#include "upstream/flight.hpp"

namespace brasslift::upstream {

PoolState Pool::save(state::Luggage& luggage, std::size_t most) const {
    PoolState state;
    state.waits = waits_;
    state.rest_ms = account_.reuse.rest_ms();
    for (const auto& [id, host] : hosts_)
        state.hosts.push_back({host->state, host->left_at, host->wait_until});
    for (const auto* const flight : flights_) {
        // One that has been reported only reads the rest of its answer.
        if (flight->stage == Flight::Stage::reported) continue;
        FlightState f;
        f.host = flight->call.host;
        f.decided = flight->call.decided;
        const bool unwritten = flight->stage < Flight::Stage::writing;
        for (std::size_t i = 0; i < flight->call.messages.size(); ++i) {
            const auto& p = flight->call.messages[i];
            f.messages.push_back({p.id, p.name, p.key, unwritten ? *p.body : std::string(), p.attempt, p.due,
                                  p.expires, p.start_by, p.trace, flight->landed[i]});
        }
        f.stage = static_cast<std::uint8_t>(flight->stage);
        f.rest = flight->rest;
        f.parser = state::pack(flight->parser);
        f.expires = flight->expires;
        f.start_by = flight->start_by;
        f.dial_until = flight->dial_until;
        f.begun = flight->begun;
        f.address = flight->address;
        f.surplus = flight->surplus;
        f.calls_before = flight->calls_before;
        if (flight->socket) f.fd = luggage.add(flight->socket.fd());
        state.flights.push_back(std::move(f));
    }
    for (const auto& [id, host] : hosts_)
        for (const auto& idle : host->idle.all())
            if (idle.pool.empty() && luggage.given().size() < most)
                state.idle.push_back(
                    {id, idle.answered_at, idle.expires_at, idle.calls, luggage.add(idle.socket.fd())});
    return state;
}

void Pool::adopt(const PoolState& state, state::Luggage& luggage) {
    waits_ = state.waits;
    account_.reuse = http::ReuseRule(state.rest_ms);
    for (const auto& note : state.hosts) {
        auto host = std::make_shared<Host>(scheduler_, account_);
        host->state = note.state;
        host->idle.belong_to(note.state.id);
        host->left_at = note.left_at;
        host->wait_until = note.wait_until;
        hosts_[note.state.id] = host;
    }
    for (const auto& idle : state.idle) {
        const auto found = hosts_.find(idle.host);
        if (found == hosts_.end()) continue;
        runtime::Socket socket(scheduler_, luggage.take(idle.fd), found->second->waker);
        if (!socket) continue;
        found->second->idle.add(
            {std::move(socket), ++last_connection_, idle.calls, idle.answered_at, idle.expires_at, ""});
    }
    for (const auto& [id, host] : hosts_) scheduler_.spawn(run(host));
    for (const auto& f : state.flights) {
        dispatch::Call call{f.host, f.decided, {}, nullptr};
        for (const auto& p : f.messages)
            call.messages.push_back({p.id, p.name, p.key, std::make_shared<const std::string>(p.body),
                                     p.attempt, p.due, p.expires, p.start_by, p.trace});
        auto flight = std::make_shared<Flight>(scheduler_, std::move(call));
        for (std::size_t i = 0; i < f.messages.size(); ++i) flight->landed[i] = f.messages[i].landed;
        flight->stage = static_cast<Flight::Stage>(f.stage);
        flight->rest = f.rest;
        flight->expires = f.expires;
        flight->start_by = f.start_by;
        flight->dial_until = f.dial_until;
        flight->begun = f.begun;
        flight->address = f.address;
        flight->surplus = f.surplus;
        flight->calls_before = f.calls_before;
        if (f.fd >= 0) flight->connection = ++last_connection_;
        if (flight->stage == Flight::Stage::writing) flight->ended.progress = Progress::partly_written;
        if (f.fd >= 0) flight->socket = runtime::Socket(scheduler_, luggage.take(f.fd), flight->waker);
        const auto found = hosts_.find(f.host);
        const bool whole = state::unpack(flight->parser, f.parser);
        scheduler_.spawn(go_on(found == hosts_.end() ? nullptr : found->second, std::move(flight), whole));
    }
}

runtime::Task<void> Pool::go_on(HostPtr host, std::shared_ptr<Flight> flight, bool whole) {
    // What cannot go on: as if its connection had broken where it stood.
    const bool lost = !host || !whole || (flight->stage != Flight::Stage::begun && !flight->socket);
    if (!lost) co_return co_await see_through(*host, *flight);
    flight->ended.cause = Cause::broken;
    if (flight->stage == Flight::Stage::reading) flight->ended.progress = Progress::fully_written;
    close(*flight, ClosedBy::call_failed);
    land(*flight);
}

}  // namespace brasslift::upstream
