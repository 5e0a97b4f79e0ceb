#include "upstream/pool.hpp"

#include <algorithm>
#include <cmath>

#include "http/writer.hpp"
#include "policy/send_rules.hpp"
#include "runtime/log.hpp"
#include "upstream/flight.hpp"

namespace brasslift::upstream {
namespace {

// A request that crosses the host's own close ends as a reset, which a payment does not survive: idle
// connections go long before the host's limit.
constexpr double idle_share = 0.8;
// An answer that has begun ends within so long or is spoilt; for the rest of one whose first line has told
// all there is less: the host counts the call as out until its answer is written or its connection ends.
constexpr double answer_ms = 1000, rest_ms = 250;

}  // namespace

// Until when the call's bytes may arrive, whatever becomes of this process: while it is waited for, and a
// repeat while its partner drops repeats.
Time Pool::arrives_by(const Flight& flight) {
    return std::min(flight.expires, flight.start_by + policy::held_up_ms);
}

std::string Pool::request_of(const Flight& flight) const {
    if (flight.bulk()) {
        std::string body;
        for (const auto& message : flight.call.messages)
            http::add_frame(body, message.name, message.key, *message.body);
        return http::write_request("POST", "/inbox/bulk", {{"Host", "endpoint"}}, body);
    }
    const auto& message = flight.call.messages.front();
    http::HeaderList headers{{"Host", "endpoint"}, {"Req-Id", message.name}};
    if (!message.key.empty()) headers.emplace_back("Idempotency-Key", message.key);
    const auto left = static_cast<long long>(std::ceil(std::max(1.0, message.expires - scheduler_.now())));
    headers.emplace_back("Req-Deadline", std::to_string(left) + 'm');
    // A bulk call's frames have no place for them.
    if (!message.trace.parent.empty()) headers.emplace_back("traceparent", message.trace.parent);
    if (!message.trace.state.empty()) headers.emplace_back("tracestate", message.trace.state);
    return http::write_request("POST", "/inbox", headers, *message.body);
}

void Pool::relist(const HostState& state) {
    auto& host = hosts_[state.id];
    if (!host) {
        host = std::make_shared<Host>(scheduler_, account_);
        host->state.id = state.id;
        host->idle.belong_to(state.id);
        scheduler_.spawn(run(host));
    }
    host->mailbox.put(state);
}

void Pool::forget(EndpointId id) {
    const auto found = hosts_.find(id);
    if (found == hosts_.end()) return;
    const auto wait = waits_.find(found->second->state.destination);
    if (wait != waits_.end() && wait->second <= scheduler_.now()) waits_.erase(wait);
    found->second->mailbox.put(CloseIdle{true});
    hosts_.erase(found);
}

Time Pool::wait_until(EndpointId id) const {
    const auto found = hosts_.find(id);
    if (found == hosts_.end()) return 0;
    const auto& host = *found->second;
    if (host.state.apart) return host.wait_until;
    const auto wait = waits_.find(host.state.destination);
    return wait == waits_.end() ? 0 : wait->second;
}

void Pool::call(dispatch::Call call) {
    if (const auto found = hosts_.find(call.host); found != hosts_.end())
        return found->second->mailbox.put(std::move(call));
    Flight flight(scheduler_, std::move(call));
    flight.ended.cause = Cause::not_allowed;
    land(flight);
}

void Pool::close_idle(EndpointId id) {
    if (const auto found = hosts_.find(id); found != hosts_.end())
        found->second->mailbox.put(CloseIdle{false});
}

runtime::Task<void> Pool::run(HostPtr own) {
    auto& host = *own;
    for (;;) {
        while (auto command = host.mailbox.take()) {
            if (auto* const call = std::get_if<dispatch::Call>(&*command)) {
                scheduler_.spawn(carry(own, std::move(*call)));
            } else if (const auto* const close = std::get_if<CloseIdle>(&*command)) {
                host.idle.close_all(ClosedBy::endpoint_left, scheduler_.now());
                if (close->for_good) co_return;
            } else {
                const auto& state = std::get<HostState>(*command);
                if (state.address != host.state.address || !state.ready)
                    host.idle.close_all(ClosedBy::endpoint_left, scheduler_.now());
                if (!state.ready && host.left_at == runtime::never) host.left_at = scheduler_.now();
                if (state.ready) host.left_at = runtime::never;
                host.state = state;
                heed(host, state.wait_until);
            }
        }
        host.idle.close_unusable(scheduler_.now());
        co_await host.waker.wait(host.idle.next_expiry() + 1);
    }
}

double Pool::lifetime(const plan::PoolRule* pool) const {
    const double own = idle_share * settings_.conn_idle_ms;
    return pool != nullptr && pool->idle_ms ? std::min(own, *pool->idle_ms) : own;
}

// Gives up the connection that has been idle for longest, whosever it is.
void Pool::shed_idle() {
    Host* oldest = nullptr;
    for (auto& [id, host] : hosts_)
        if (!host->idle.empty() &&
            (oldest == nullptr || host->idle.oldest_answer() < oldest->idle.oldest_answer()))
            oldest = host.get();
    if (oldest != nullptr) oldest->idle.close_oldest(ClosedBy::shed, scheduler_.now());
}

bool Pool::take_idle(Host& host, Flight& flight) {
    auto connection = host.idle.take(flight.pool(), scheduler_.now());
    if (!connection) {
        if (flight.capped()) host.idle.make_place(flight.pool(), scheduler_.now());
        return false;
    }
    ++account_.figures.reused;
    flight.socket = std::move(connection->socket);
    flight.socket.rebind(flight.waker);
    flight.connection = connection->number;
    flight.calls_before = connection->calls;
    flight.idle_before_ms = scheduler_.now() - connection->answered_at;
    return true;
}

bool Pool::give_back(Host& host, Flight& flight) {
    if (!host.state.ready || account_.idle >= settings_.most_idle) return false;
    if (flight.address != host.state.address) return false;  // another host's by now
    const auto& pool = flight.call.pool;
    if (pool && pool->idle_total && account_.idle_in(pool->name) >= *pool->idle_total) return false;
    const Time now = runtime::steady_now();
    const double idle_ms = lifetime(pool.get());
    if (idle_ms <= account_.reuse.rest_ms()) return false;
    flight.socket.rebind(host.waker);
    host.idle.add({std::move(flight.socket), flight.connection, flight.calls_before + 1, now, now + idle_ms,
                   flight.pool()});
    host.waker.notify();
    return true;
}

void Pool::close(Flight& flight, ClosedBy by) {
    if (!flight.socket) return;
    // What was written and has not arrived must not arrive once the call has been given up.
    if (by == ClosedBy::call_failed)
        flight.socket.abort();
    else
        flight.socket.close();
    account_.count_end({flight.connection, flight.call.host, by, flight.calls_before + 1, 0});
}

Time& Pool::wait_of(Host& host) {
    return host.state.apart ? host.wait_until : waits_[host.state.destination];
}

void Pool::heed(Host& host, Time until) {
    if (until <= scheduler_.now()) return;
    auto& wait = wait_of(host);
    wait = std::max(wait, until);
}

runtime::Task<void> Pool::carry(HostPtr own, dispatch::Call call) {
    // A call is out under its first message's name: one that ends while it is out
    // (docs/design/rare-faults.md) takes the answers of those behind it along. So whoever has the most time
    // left goes first.
    std::stable_sort(call.messages.begin(), call.messages.end(),
                     [](const auto& a, const auto& b) { return a.due > b.due; });
    Flight flight(scheduler_, std::move(call));
    flight.start_by = runtime::never;
    flight.address = own->state.address;
    for (const auto& message : flight.call.messages) {
        flight.expires = std::max(flight.expires, message.expires);
        if (message.start_by > 0) flight.start_by = std::min(flight.start_by, message.start_by);
    }
    co_await see_through(*own, flight);
}

runtime::Task<void> Pool::see_through(Host& host, Flight& flight) {
    flights_.insert(&flight);
    const Listed listed{flights_, &flight};
    co_await exchange(host, flight);
    flight.stage = Flight::Stage::reported;
    const bool answered = flight.ended.progress == Progress::answered;
    // To give a call up is to close its connection: before the module may send the message again.
    if (!answered || flight.ended.cause != Cause::none) close(flight, ClosedBy::call_failed);
    if (answered)
        heed(host, scheduler_.now() + fate_of(flight.ended, flight.parser.message().headers).wait_ms);
    land(flight);
    // Where connections are capped, the next call counts on this one's place as soon as it has landed.
    if (flight.socket && !flight.parser.complete() && !flight.capped()) co_await read_answer(flight);
    const bool kept = flight.reusable() && give_back(host, flight);
    if (!kept) close(flight, flight.end_of_connection());
}

// False: there is no connection that the call may go over.
runtime::Task<bool> Pool::connect(Host& host, Flight& flight) {
    auto& ended = flight.ended;
    if (flight.stage == Flight::Stage::begun) {
        flight.address = host.state.address;
        if (take_idle(host, flight)) co_return true;
        auto dialled = runtime::Dialled::begun;
        auto socket = runtime::connect_to(scheduler_, flight.address, flight.waker, &dialled);
        // This side's trouble: the host is not judged by it.
        ended.cause = dialled == runtime::Dialled::refused ? Cause::broken : Cause::not_allowed;
        if (dialled == runtime::Dialled::no_descriptor) shed_idle();
        if (!socket) co_return false;
        flight.socket = std::move(*socket);
        flight.connection = ++last_connection_;
        ++account_.figures.opened;
        // Past start_by its first byte may not go: a message whose time ends then is told so at once.
        const double dial_ms = flight.call.pool
                                   ? std::min(settings_.dial_timeout_ms,
                                              flight.call.pool->dial_timeout_ms.value_or(runtime::never))
                                   : settings_.dial_timeout_ms;
        flight.dial_until = std::min({scheduler_.now() + dial_ms, flight.expires, flight.start_by});
        flight.stage = Flight::Stage::connecting;
    }
    ended.cause = Cause::broken;
    const auto state = co_await runtime::come_up(scheduler_, flight.socket, flight.waker, flight.dial_until);
    if (state == runtime::Io::blocked) ended.cause = Cause::timed_out;
    co_return state == runtime::Io::done;
}

// From where the call stands: one that a predecessor began goes on.
runtime::Task<void> Pool::exchange(Host& host, Flight& flight) {
    auto& ended = flight.ended;
    if (flight.stage < Flight::Stage::writing) {
        const bool connected = co_await connect(host, flight);
        if (!connected) co_return;
        ended.progress = Progress::connected;
        // The call may have waited for its connection while the list, a told wait or its window moved on.
        const auto barrier = policy::before_first_byte(
            {host.state.gone, flight.address != host.state.address, host.left_at, settings_.drain_grace_ms,
             wait_of(host), flight.start_by, flight.expires, runtime::steady_now()});
        ++withheld_[static_cast<std::size_t>(barrier)];
        ended.cause = Cause::not_allowed;
        if (barrier != policy::Barrier::none) co_return;
        flight.rest = request_of(flight);
        flight.socket.limit_undelivered(arrives_by(flight) - runtime::steady_now());
        flight.stage = Flight::Stage::writing;
        ended.cause = Cause::none;
    }
    if (flight.stage == Flight::Stage::writing) {
        const bool written = co_await write_rest(flight);
        if (!written) co_return;
        flight.stage = Flight::Stage::reading;
    }
    ended.progress = Progress::fully_written;
    ended.cause = Cause::none;
    char part[4096];
    while (!flight.outcome_known()) {
        const auto got = flight.socket.read(part, sizeof part);
        if (got.io == runtime::Io::done) {
            flight.feed({part, got.count}, scheduler_.now());
            if (!flight.unreadable() || flight.outcome_known()) continue;
            ended.cause = Cause::spoilt;
            break;
        }
        if (got.io == runtime::Io::blocked) {
            land_due(flight);
            if (scheduler_.now() >= flight.begun + answer_ms) {
                ended.cause = Cause::spoilt;
                break;
            }
            if (scheduler_.now() >= flight.expires) {
                ended.cause = Cause::timed_out;
                co_return;
            }
            co_await flight.waker.wait(std::min(next_due(flight), flight.begun + answer_ms));
            continue;
        }
        flight.parser.end();
        if (flight.outcome_known()) break;
        // Cut short, it has told nothing that can be relied on: a line that says 503 may be noise.
        ended.cause = Cause::broken;
        co_return;
    }
    ended.progress = Progress::answered;
    ended.status = flight.parser.message().status;
}

runtime::Task<bool> Pool::write_rest(Flight& flight) {
    while (!flight.rest.empty()) {
        // What comes on a used connection before the call is whole answers another one; this one has not run.
        if (flight.calls_before > 0 && flight.socket.readable()) {
            if (!flight.socket.news_of_end()) account_.heed_extra_bytes(flight.idle_before_ms);
            flight.ended.cause = Cause::broken;
            co_return false;
        }
        const auto put = flight.socket.write(flight.rest);
        if (put.io == runtime::Io::done) {
            flight.rest.erase(0, put.count);
            flight.ended.progress = flight.rest.empty() ? Progress::fully_written : Progress::partly_written;
            continue;
        }
        flight.ended.cause = put.io == runtime::Io::blocked && scheduler_.now() >= flight.expires
                                 ? Cause::timed_out
                                 : Cause::broken;
        if (put.io != runtime::Io::blocked || scheduler_.now() >= flight.expires) co_return false;
        land_due(flight);
        co_await flight.waker.wait(next_due(flight));
    }
    flight.ended.cause = Cause::none;
    written_ += flight.call.messages.size();
    co_return true;
}

// Reads what is left of an answer that is already reported, so that its connection can serve again.
runtime::Task<void> Pool::read_answer(Flight& flight) {
    char part[4096];
    const Time until = scheduler_.now() + rest_ms;
    while (!flight.parser.complete() && !flight.unreadable() && scheduler_.now() < until) {
        const auto got = flight.socket.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await flight.waker.wait(until);
            continue;
        }
        if (got.io != runtime::Io::done) co_return;
        flight.feed({part, got.count}, scheduler_.now());
    }
}

// A message whose time is up while its call is still out: its end cannot wait for the others'.
void Pool::land_due(Flight& flight) {
    for (std::size_t i = 0; i < flight.landed.size(); ++i) {
        const auto& message = flight.call.messages[i];
        if (flight.landed[i] || scheduler_.now() < message.due) continue;
        flight.landed[i] = true;
        auto verdict = verdict_of(flight, i, {Result::timeout, false, 0});
        verdict.still_out = true;
        report_(std::move(verdict));
    }
}

Time Pool::next_due(const Flight& flight) const {
    Time next = flight.expires;
    for (std::size_t i = 0; i < flight.landed.size(); ++i)
        if (!flight.landed[i]) next = std::min(next, flight.call.messages[i].due);
    return next;
}

void Pool::land(Flight& flight) {
    std::vector<std::string> names;
    for (const auto& message : flight.call.messages) names.push_back(message.name);
    const auto& answer = flight.parser.message();
    auto fates = flight.bulk() ? fates_of(flight.ended, answer, names)
                               : std::vector<Fate>{fate_of(flight.ended, answer.headers)};
    for (std::size_t i = 0; i < fates.size(); ++i) {
        if (flight.landed[i]) {
            call_ended_(flight.call.messages[i].id);
            continue;
        }
        flight.landed[i] = true;
        report_(verdict_of(flight, i, fates[i]));
    }
}

dispatch::Verdict Pool::verdict_of(const Flight& flight, std::size_t place, const Fate& fate) const {
    const auto& message = flight.call.messages[place];
    dispatch::Verdict verdict;
    verdict.id = message.id;
    verdict.host = flight.call.host;
    verdict.attempt = message.attempt;
    verdict.result = fate.result;
    verdict.over = fate.over;
    verdict.unsent = fate.result == Result::moot && flight.ended.progress < Progress::partly_written;
    verdict.elapsed_ms = scheduler_.now() - flight.call.decided;
    verdict.wait_ms = fate.wait_ms;
    // A spoilt answer is believed in nothing.
    if (flight.ended.progress == Progress::answered && flight.ended.cause == Cause::none)
        verdict.report = report_of(flight.parser.message().headers, settings_.report_fields);
    verdict.address = flight.address;
    verdict.progress = flight.ended.progress;
    verdict.status = flight.ended.status;
    verdict.together = flight.call.messages.size();
    verdict.connection = {flight.connection, flight.calls_before, flight.idle_before_ms};
    return verdict;
}

}  // namespace brasslift::upstream
