#include "downstream/server.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "downstream/connection.hpp"
#include "http/target.hpp"
#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::downstream {
namespace {

// No peer holds a connection for nothing. Whoever connects is owed an answer or a close within 3 s; clients
// leave 400 ms after their request, so one that takes longer than its limit is nobody's. Counted from the
// connect for the first request, from its first byte for a later one; a connection that stays silent has
// silent_ms.
constexpr double silent_ms = 2700, write_ms = 2000, linger_ms = 300;
constexpr double kept_ms = 15000;  // of a kept connection, whose client has forgotten it by then
constexpr double crowded_share = 0.5;
// One connection's bytes take no longer in one turn of the loop, but for one read.
constexpr double read_turn_ms = 2;
constexpr int accepts_in_a_row = 64;
// Beyond the table's places: so many connections at once that are turned away get their request read to its
// end first, for so long each, so that the close takes nothing with it.
constexpr std::size_t most_rejecting = 16;
constexpr double reject_ms = 300;
constexpr double accept_pause_ms = 20;
constexpr double last_accepts_ms = 1500;  // for what waits in the queue once no more is listened for
constexpr double crowd_pause_ms = 500;
constexpr std::size_t most_name = 128, most_linger = 256 * 1024;
constexpr double most_deadline_ms = 24 * 3600 * 1000.0;
constexpr double drain_step_ms = 50;

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= most_name &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

// "480m" or "480000u": milliseconds; below zero where it cannot be read.
double read_span(const std::string& text) {
    if (text.size() < 2) return -1;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size() - 1, value);
    if (error != std::errc{} || end != text.data() + text.size() - 1 || !std::isfinite(value) || value < 0)
        return -1;
    if (text.back() == 'm') return std::min(value, most_deadline_ms);
    return text.back() == 'u' ? std::min(value / 1000, most_deadline_ms) : -1;
}

// Nothing where there is none, or one beyond all numbers: it is no other's.
std::optional<DestinationId> read_destination(const std::string& text) {
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = rest.find_first_of(",;");
        const auto part = http::trimmed(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        if (!part.starts_with("dest=")) continue;
        DestinationId value = 0;
        const auto digits = part.substr(5);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        return error == std::errc{} && end == digits.data() + digits.size() ? std::optional(value)
                                                                            : std::nullopt;
    }
    return std::nullopt;
}

// As it came; two parents are none, and several lines of state are one.
dispatch::Trace trace_of(const http::Headers& headers) {
    dispatch::Trace trace;
    if (headers.count("traceparent") != 1) return trace;
    trace.parent = *headers.find("traceparent");
    trace.state = headers.joined("tracestate");
    return trace;
}

// The class that a path names, -1 where it names none.
int class_of(std::string_view path, const std::vector<std::string>& classes) {
    path = http::path_of(path);
    if (path.empty() || path.front() != '/') return -1;
    path.remove_prefix(1);
    return config::place_of(classes, path.substr(0, path.find('/')));
}

std::string seconds(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::max(0.0, ms) / 1000);
    return text;
}

}  // namespace

std::string_view name_of(ClosedBy by) {
    switch (by) {
        case ClosedBy::client: return "client";
        case ClosedBy::request: return "request";
        case ClosedBy::idle: return "idle";
        case ClosedBy::late_request: return "late_request";
        case ClosedBy::faulty: return "faulty";
        case ClosedBy::no_memory: return "no_memory";
        case ClosedBy::eviction: return "eviction";
        case ClosedBy::no_watch: return "no_watch";
    }
    return "";
}

Read read_stream(http::Message& request, const config::Config& config, Time now, bool traced) {
    if (request.target.empty() || request.target.front() != '/') return 400;
    const int message_class = class_of(request.target, config.classes);
    if (message_class < 0) return 404;
    if (request.method != "POST") return 405;
    const auto& h = request.headers;
    for (const char* const once :
         {"Req-Id", "Req-Owner", "Req-Deadline", "X-Addressing", "Idempotency-Key", "Content-Length"})
        if (h.count(once) > 1) return 400;
    const auto *const id = h.find("Req-Id"), *const owner = h.find("Req-Owner"),
                      *const deadline = h.find("Req-Deadline"), *const addressing = h.find("X-Addressing"),
                      *const key = h.find("Idempotency-Key");
    if (id == nullptr || !is_name(*id) || deadline == nullptr || addressing == nullptr) return 400;
    const int tenant = owner == nullptr ? -1 : config::place_of(config.tenants, *owner);
    if (!config.tenants.empty() && tenant < 0) return 400;
    const double span = read_span(*deadline);
    const auto destination = read_destination(*addressing);
    if (span < 0 || !destination || (key != nullptr && !is_name(*key))) return 400;
    const auto place = static_cast<std::size_t>(message_class);
    if (config.settings.classes[place].repeat == Repeat::token && key == nullptr) return 400;
    const auto order_key = http::parameter_of(request.target, "key");
    if (order_key.fault != http::Parameter::Fault::none) return 400;
    dispatch::Submission s;
    s.name = *id;
    s.order_key = order_key.value.value_or("");
    if (key != nullptr) s.key = *key;
    s.message_class = static_cast<std::uint16_t>(message_class);
    s.tenant = static_cast<std::uint16_t>(std::max(0, tenant));
    s.destination = *destination;
    s.due = now + span;
    s.again = h.count("Req-Retry") > 0;
    s.came = now;
    if (traced) s.trace = trace_of(h);
    s.body = std::make_shared<const std::string>(std::move(request.body));
    return s;
}

Server::Server(runtime::Scheduler& scheduler, const config::Config& config, Limits limits,
               const lifecycle::Lifecycle& lifecycle)
    : scheduler_(scheduler), config_(config), limits_(limits), lifecycle_(lifecycle), waker_(scheduler) {}

bool Server::listen(runtime::Address address) {
    auto listener = runtime::listen_on(scheduler_, address, waker_);
    if (listener) listener_ = std::move(*listener);
    return listener.has_value();
}

// Whoever has connected by now is served: a close would reset those that wait in the queue. The listener's
// actor closes it once the queue is empty.
void Server::stop_listening() {
    last_accepts_until_ = scheduler_.now() + last_accepts_ms;
    waker_.notify();
}

runtime::Task<void> Server::run() {
    int accepted = 0;
    while (listener_) {
        if (scheduler_.now() >= last_accepts_until_) listener_.close();
        if (!listener_) break;
        if (paused_) {
            co_await waker_.wait();
            continue;
        }
        runtime::Descriptor fd;
        switch (runtime::accept_from(listener_, fd)) {
            case runtime::Accepted::one:
                take(std::move(fd));
                if (++accepted % accepts_in_a_row == 0)  // a storm of them must not hold the others up
                    co_await waker_.wait(scheduler_.now());
                break;
            case runtime::Accepted::none:
                if (last_accepts_until_ < runtime::never)
                    listener_.close();
                else
                    co_await waker_.wait();
                break;
            case runtime::Accepted::no_room:
                // Out of descriptors: another client makes room, else the queue waits a moment.
                runtime::log("downstream", "no descriptor is left for a connection");
                if (!make_room())
                    co_await runtime::sleep_until(scheduler_, scheduler_.now() + accept_pause_ms);
                break;
            case runtime::Accepted::trouble:
                ++accepts_failed_;
                co_await runtime::sleep_until(scheduler_, scheduler_.now() + accept_pause_ms);
                break;
        }
    }
}

void Server::take(runtime::Descriptor fd) {
    auto connection = std::make_shared<Connection>(scheduler_, std::move(fd), limits_.request);
    if (!connection->socket) {
        ++closed_[static_cast<std::size_t>(ClosedBy::no_watch)];
        return;
    }
    if (open_ >= limits_.connections && !make_room()) {
        // Every other one has a request that is being answered.
        if (rejecting_ < most_rejecting) return scheduler_.spawn(reject_connection(std::move(connection)));
        connection->socket.write(reply({dispatch::Reply::full, crowd_pause_ms, 0}, true));
        connection->socket.end_sending();
        return;
    }
    if (static_cast<double>(open_) > crowded_share * static_cast<double>(limits_.connections)) drop_spare();
    connection->since = scheduler_.now();
    keep(std::move(connection));
}

// A local reply once the request has come, then a close over nothing unread: that would take the reply with
// it.
runtime::Task<void> Server::reject_connection(std::shared_ptr<Connection> connection) {
    auto& c = *connection;
    ++rejecting_;
    const Time until = scheduler_.now() + reject_ms;
    while (!c.parser.complete() && c.parser.fault() == http::Fault::none && scheduler_.now() < until) {
        const auto got = c.socket.read(scratch_.data(), scratch_.size());
        if (got.io == runtime::Io::done)
            c.parser.feed({scratch_.data(), got.count});
        else if (got.io == runtime::Io::blocked)
            co_await c.waker.wait(until);
        else
            break;
    }
    note_rejection(c.parser.message().target);
    const bool written = co_await write_all(c, reply({dispatch::Reply::full, crowd_pause_ms, 0}, true));
    c.close_mode = CloseMode::after_refusal;
    if (written) co_await close_gracefully(c);
    --rejecting_;
}

void Server::keep(std::shared_ptr<Connection> connection) {
    ++open_;
    connection->number = ++last_number_;
    connections_.push_back(connection);
    scheduler_.spawn(serve(std::move(connection)));
}

void Server::drain() {
    if (closing_drained_) return;
    closing_drained_ = true;
    scheduler_.spawn(close_drained());
}

runtime::Task<void> Server::close_drained() {
    while (lifecycle_.draining()) {
        const double drained = lifecycle_.drained_ms(scheduler_.now());
        for (const auto& c : connections_)
            if (!c->evicted && !c->closing &&
                lifecycle::closes_in_drain(
                    {c->busy, c->parser.started(), c->served, scheduler_.now() - c->since}, drained))
                c->parser.started() ? evict(*c) : dismiss(*c);
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + drain_step_ms);
    }
    closing_drained_ = false;
}

void Server::note_rejection(std::string_view target) const {
    if (const int place = class_of(target, config_.classes); place >= 0)
        count_rejection_(static_cast<std::size_t>(place));
}

void Server::close_idle() {
    for (const auto& c : connections_)
        if (!c->busy && !c->evicted && !c->parser.started()) dismiss(*c);
}

// What a stream is answered without the core.
std::string Server::page(const http::Message& request, bool close) const {
    const bool method = request.method == "GET" || request.method == "HEAD";
    return reply(!method ? 405 : lifecycle_.ready() ? 200 : 503, close);
}

std::string Server::reply(int status, bool close) const {
    http::HeaderList headers;
    if (close) headers.emplace_back("Connection", "close");
    return http::write_response(status, headers, "");
}

std::string Server::reply(const dispatch::Answer& answer, bool close) const {
    using dispatch::Reply;
    http::HeaderList headers;
    if (close) headers.emplace_back("Connection", "close");
    int status = 503;
    switch (answer.reply) {
        case Reply::taken: status = 202; break;
        case Reply::refused: status = 429; break;
        case Reply::full:
        case Reply::unlisted: break;
        case Reply::nowhere: status = 404; break;
        case Reply::conflict: status = 409; break;
    }
    if (status == 429 || status == 503) headers.emplace_back("Retry-After", seconds(answer.pause_ms));
    return http::write_response(status, headers, "");
}

runtime::Task<void> Server::serve(std::shared_ptr<Connection> connection) {
    auto& c = *connection;
    bool close = false;
    while (!close) {
        const bool whole = co_await read_request(c);
        if (!whole) break;
        c.busy = true;
        const bool written = co_await answer(connection, close);
        if (!written) {
            close = false;
            break;
        }
        c.busy = false;
        c.served = true;
        ++c.answered;
        c.since = scheduler_.now();
        // Requests that wait one behind the other leave the others their turns.
        if (!c.unread.empty()) co_await c.waker.wait(scheduler_.now());
    }
    c.closing = true;
    if (close) {
        c.closed_by = ClosedBy::request;
        c.close_mode = CloseMode::after_answer;
    }
    if (!c.evicted && c.parser.fault() != http::Fault::none) c.closed_by = ClosedBy::faulty;
    if (!c.evicted && c.parser.fault() != http::Fault::none) {
        c.close_mode = CloseMode::after_refusal;
        co_await write_all(c, reply(http::status_of(c.parser.fault()), true));
    }
    if (!c.evicted) release_request(c);
    co_await close_gracefully(c);
    c.socket.close();
    note_end(c);
    if (!c.evicted) --open_;
    connections_.remove(connection);
}

void Server::note_end(const Connection& c) {
    ++closed_[static_cast<std::size_t>(c.closed_by)];
    const ConnectionEnd end{c.number, c.closed_by, c.answered, c.unanswered_bytes};
    if (end.unanswered_bytes > 0) {
        ++ended_with_unanswered_;
        runtime::log("downstream",
                     "connection %llu ended (%s) with %zu bytes that were read and not answered",
                     static_cast<unsigned long long>(end.number), std::string(name_of(end.by)).c_str(),
                     end.unanswered_bytes);
    }
    if (closed_to_) closed_to_(end);
}

// Whether a request has come, or a part of one, behind the present one.
bool Server::has_more(const Connection& c) {
    return !c.unread.empty() || (c.socket.readable() && !c.socket.news_of_end());
}

// A connection that is to end does so behind the last request that has been read or waits to be read: each is
// owed its answer.
bool Server::ends_after(const Connection& c, bool keeps_alive) const {
    if (!keeps_alive) return true;
    return (c.leaving || lifecycle_.sends_away()) && !has_more(c);
}

// Answers the request that has come; `close` says whether the connection ends with that.
runtime::Task<bool> Server::answer(std::shared_ptr<Connection> connection, bool& close) {
    auto& c = *connection;
    auto request = c.parser.take();
    const bool keeps_alive = request.keeps_alive();
    if (request.target == "/up") {
        close = ends_after(c, keeps_alive);
        co_return co_await write_all(c, page(request, close));
    }
    auto read = read_stream(request, config_, scheduler_.now(), traced_);
    if (const int* const status = std::get_if<int>(&read)) {
        close = true;  // nothing that comes behind a faulty request is looked at
        co_return co_await write_all(c, reply(*status, close));
    }
    auto& submission = std::get<dispatch::Submission>(read);
    submission.client = connection;
    submit_(std::move(submission));
    // The answer is the next tick's; the core gives one to every stream.
    auto answer = c.mailbox.take();
    while (!answer) {
        co_await c.waker.wait();
        answer = c.mailbox.take();
    }
    const bool faulty =
        answer->reply == dispatch::Reply::nowhere || answer->reply == dispatch::Reply::conflict;
    close = faulty || ends_after(c, keeps_alive);
    const bool written = co_await write_all(c, reply(*answer, close));
    if (!written && answer->id != 0) untold_(answer->id);
    co_return written;
}

// Until a request is whole. False: the connection is over, or its request has a fault.
runtime::Task<bool> Server::read_request(Connection& c) {
    bool invited = false;
    // Some connect ahead of their first request: a silent one stays as long as may be.
    Time until = c.since + (c.parser.started() ? limits_.request_ms : c.served ? kept_ms : silent_ms);
    const auto feed = [&](std::string_view bytes) {
        const bool before = c.parser.started();
        const auto used = c.parser.feed(bytes);
        if (!before && c.parser.started()) {
            c.since = c.served ? scheduler_.now() : c.since;
            until = c.since + limits_.request_ms;
        }
        return bytes.substr(used);
    };
    while (paused_ && !c.evicted) co_await c.waker.wait();
    if (!c.unread.empty()) c.unread = std::string(feed(std::exchange(c.unread, {})));
    for (;;) {
        if (c.parser.complete()) {
            hold(c, c.unread.capacity());
            co_return true;
        }
        if (c.parser.fault() != http::Fault::none) co_return false;
        const bool fits = hold(c, c.parser.memory() + c.unread.capacity()) || shed_unfinished(c);
        if (!fits) {
            note_rejection(c.parser.message().target);
            c.closed_by = ClosedBy::no_memory;
            c.close_mode = CloseMode::after_refusal;
            co_await write_all(c, reply({dispatch::Reply::full, crowd_pause_ms, 0}, true));
            co_return false;
        }
        if (c.parser.head_done() && !invited &&
            c.parser.message().headers.has_token("expect", "100-continue")) {
            invited = true;
            c.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (paused_ && !c.evicted) {
            co_await c.waker.wait();
            continue;
        }
        // A request of many small parts comes faster than it is read: whoever else waits has its turn too.
        if (scheduler_.turn_ms() > read_turn_ms) co_await runtime::next_turn(scheduler_);
        if (c.evicted) co_return false;
        const auto got = c.socket.read(scratch_.data(), scratch_.size());
        if (got.io == runtime::Io::done) {
            c.heard = scheduler_.now();
            c.unread = feed({scratch_.data(), got.count});
            continue;
        }
        if (got.io != runtime::Io::blocked) co_return false;
        if (c.leaving && !c.parser.started()) {
            c.closed_by = ClosedBy::idle;
            co_return false;
        }
        const Time last = std::min(until, read_until_);
        if (scheduler_.now() >= last && !c.parser.started()) {
            c.closed_by = ClosedBy::idle;
            co_return false;
        }
        if (scheduler_.now() >= last) {
            c.closed_by = ClosedBy::late_request;
            c.close_mode = CloseMode::after_refusal;
            co_await write_all(c, reply(408, true));
            co_return false;
        }
        co_await c.waker.wait(last);
    }
}

runtime::Task<bool> Server::write_all(Connection& c, std::string text) {
    std::string_view rest = text;
    const Time until = scheduler_.now() + write_ms;
    while (!rest.empty()) {
        const auto put = c.socket.write(rest);
        if (put.io == runtime::Io::done) {
            rest.remove_prefix(put.count);
            continue;
        }
        if (put.io != runtime::Io::blocked || scheduler_.now() >= until) co_return false;
        co_await c.waker.wait(until);
    }
    co_return true;
}

// Lets the client take the last answer before the close.
runtime::Task<void> Server::close_gracefully(Connection& c) {
    if (c.evicted || c.close_mode == CloseMode::immediate) co_return;
    c.lingering = true;
    c.since = scheduler_.now();
    c.socket.end_sending();
    if (c.close_mode == CloseMode::after_refusal) co_return co_await discard_rest(c);
    const Time until = scheduler_.now() + linger_ms;
    while (!c.evicted && scheduler_.now() < until && !c.socket.news_of_end()) co_await c.waker.wait(until);
}

// A close with bytes unread would reset the connection and take the refusal with it.
runtime::Task<void> Server::discard_rest(Connection& c) {
    std::size_t read = 0;
    const Time until = scheduler_.now() + linger_ms;
    while (!c.evicted && scheduler_.now() < until && read < most_linger) {
        const auto got = c.socket.read(scratch_.data(), scratch_.size());
        if (got.io == runtime::Io::done) {
            read += got.count;
        } else if (got.io == runtime::Io::blocked) {
            co_await c.waker.wait(until);
        } else {
            co_return;
        }
    }
}

}  // namespace brasslift::downstream
