#include "downstream/server.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::downstream {
namespace {

// No peer holds a connection for nothing: clients leave after 400 ms, so a request this slow is nobody's.
constexpr double request_ms = 3000, write_ms = 5000, linger_ms = 300;
constexpr double unused_ms = 500;  // a connection that has sent nothing for so long goes before a kept one
constexpr double accept_pause_ms = 20;
constexpr std::size_t most_name = 128, most_linger = 256 * 1024;
constexpr double most_deadline_ms = 24 * 3600 * 1000.0;

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

int read_destination(const std::string& text) {
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = rest.find_first_of(",;");
        const auto part = http::trimmed(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        if (!part.starts_with("dest=")) continue;
        int value = -1;
        const auto digits = part.substr(5);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        return error == std::errc{} && end == digits.data() + digits.size() && value <= 65535 ? value : -1;
    }
    return -1;
}

std::string seconds(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::max(0.0, ms) / 1000);
    return text;
}

}  // namespace

Read read_stream(http::Message& request, const config::Config& config, Time now) {
    std::string_view path = request.target;
    path = path.substr(0, path.find('?'));
    if (path.empty() || path.front() != '/') return 400;
    path.remove_prefix(1);
    const int message_class = config::place_of(config.classes, path.substr(0, path.find('/')));
    if (message_class < 0) return 404;
    if (request.method != "POST") return 405;
    const auto& h = request.headers;
    const auto *const id = h.find("Req-Id"), *const owner = h.find("Req-Owner"),
                      *const deadline = h.find("Req-Deadline"), *const addressing = h.find("X-Addressing"),
                      *const key = h.find("Idempotency-Key");
    if (id == nullptr || !is_name(*id) || deadline == nullptr || addressing == nullptr) return 400;
    const int tenant = owner == nullptr ? -1 : config::place_of(config.tenants, *owner);
    if (!config.tenants.empty() && tenant < 0) return 400;
    const double span = read_span(*deadline);
    const int destination = read_destination(*addressing);
    if (span < 0 || destination < 0 || (key != nullptr && !is_name(*key))) return 400;
    const auto place = static_cast<std::size_t>(message_class);
    if (config.settings.classes[place].repeat == Repeat::token && key == nullptr) return 400;
    dispatch::Submission s;
    s.name = *id;
    if (key != nullptr) s.key = *key;
    s.message_class = static_cast<std::uint16_t>(message_class);
    s.tenant = static_cast<std::uint16_t>(std::max(0, tenant));
    s.destination = static_cast<std::uint16_t>(destination);
    s.due = now + span;
    s.body = std::make_shared<const std::string>(std::move(request.body));
    return s;
}

class Server::Connection : public dispatch::Client {
public:
    Connection(runtime::Scheduler& scheduler, runtime::Descriptor fd)
        : waker(scheduler),
          mailbox(waker),
          socket(scheduler, std::move(fd), waker),
          parser(http::Parser::Side::request) {}
    // Whoever has ended its sending before it was answered may hand the message in elsewhere at once.
    bool present() const override { return socket && !socket.news_of_end(); }
    void answer(const dispatch::Answer& answer) override { mailbox.put(answer); }

    runtime::Waker waker;
    runtime::Mailbox<dispatch::Answer> mailbox;
    runtime::Socket socket;
    http::Parser parser;
    std::string unread;  // bytes behind the present request
    Time idle_since = 0;
    bool busy = false, served = false, evicted = false;
};

Server::Server(runtime::Scheduler& scheduler, const config::Config& config, std::size_t most_connections)
    : scheduler_(scheduler), config_(config), most_(most_connections), waker_(scheduler) {}

bool Server::listen(runtime::Address address) {
    auto listener = runtime::listen_on(scheduler_, address, waker_);
    if (listener) listener_ = std::move(*listener);
    return listener.has_value();
}

void Server::stop_listening() {
    listener_.close();
    waker_.notify();
}

runtime::Task<void> Server::run() {
    while (listener_) {
        runtime::Descriptor fd;
        switch (runtime::accept_from(listener_, fd)) {
            case runtime::Accepted::one: take(std::move(fd)); break;
            case runtime::Accepted::none: co_await waker_.wait(); break;
            case runtime::Accepted::no_room:
                // Out of descriptors: an idle client makes room, else the queue waits a moment.
                runtime::log("downstream", "no descriptor is left for a connection");
                if (!evict_idle())
                    co_await runtime::sleep_until(scheduler_, scheduler_.now() + accept_pause_ms);
                else
                    co_await runtime::sleep_until(scheduler_, scheduler_.now() + 1);
                break;
        }
    }
}

void Server::take(runtime::Descriptor fd) {
    if (connections_.size() >= most_) evict_idle();
    auto connection = std::make_shared<Connection>(scheduler_, std::move(fd));
    if (!connection->socket) return;
    if (connections_.size() >= most_ + 16) {
        connection->socket.write(
            http::write_response(503, {{"Retry-After", "0.5"}, {"Connection", "close"}}, ""));
        return;
    }
    connection->idle_since = scheduler_.now();
    connections_.push_back(connection);
    scheduler_.spawn(serve(std::move(connection)));
}

bool Server::evict_idle() {
    Connection* oldest = nullptr;
    const auto rank = [this](const Connection& c) {
        return std::pair(c.served || scheduler_.now() - c.idle_since < unused_ms, c.idle_since);
    };
    for (const auto& c : connections_)
        if (!c->busy && !c->evicted && !c->parser.started() &&
            (oldest == nullptr || rank(*c) < rank(*oldest)))
            oldest = c.get();
    if (oldest == nullptr) return false;
    oldest->evicted = true;
    oldest->waker.notify();
    return true;
}

void Server::close_idle() {
    for (const auto& c : connections_) {
        c->evicted = true;
        c->waker.notify();
    }
}

// What a stream is answered without the core.
std::string Server::page(const http::Message& request, bool close) const {
    const bool method = request.method == "GET" || request.method == "HEAD";
    return reply(!method ? 405 : ready_ && !winding_down_ ? 200 : 503, close);
}

std::string Server::reply(int status, bool close) const {
    http::HeaderList headers;
    if (close) headers.emplace_back("Connection", "close");
    return http::write_response(status, headers, "");
}

std::string Server::reply(const dispatch::Answer& answer, bool close) const {
    http::HeaderList headers;
    if (close) headers.emplace_back("Connection", "close");
    if (!answer.taken) headers.emplace_back("Retry-After", seconds(answer.pause_ms));
    return http::write_response(answer.taken ? 202 : answer.full ? 503 : 429, headers, "");
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
        c.idle_since = scheduler_.now();
    }
    const auto fault = c.parser.fault();
    if (fault != http::Fault::none) {
        close = co_await write_all(c, reply(http::status_of(fault), true));
    }
    if (close) co_await linger(c);
    c.socket.close();
    connections_.remove(connection);
}

// Answers the request that has come; `close` says whether the connection ends with that.
runtime::Task<bool> Server::answer(std::shared_ptr<Connection> connection, bool& close) {
    auto& c = *connection;
    auto request = c.parser.take();
    close = !request.keeps_alive() || winding_down_;
    if (request.target == "/up") co_return co_await write_all(c, page(request, close));
    auto read = read_stream(request, config_, scheduler_.now());
    if (const int* const status = std::get_if<int>(&read))
        co_return co_await write_all(c, reply(*status, close));
    auto& submission = std::get<dispatch::Submission>(read);
    submission.client = connection;
    submit_(std::move(submission));
    // The answer is the next tick's; the core gives one to every stream.
    auto answer = c.mailbox.take();
    while (!answer) {
        co_await c.waker.wait();
        answer = c.mailbox.take();
    }
    close = close || winding_down_;
    const bool written = co_await write_all(c, reply(*answer, close));
    if (!written && answer->id != 0) untold_(answer->id);
    co_return written;
}

// Until a request is whole. False: the connection is over, or its request has a fault.
runtime::Task<bool> Server::read_request(Connection& c) {
    char part[16384];
    bool invited = false;
    Time until = runtime::never;
    for (;;) {
        if (!c.unread.empty()) {
            const auto used = c.parser.feed(c.unread);
            c.unread.erase(0, used);
        }
        if (c.parser.complete()) co_return true;
        if (c.parser.fault() != http::Fault::none) co_return false;
        if (c.parser.started() && until == runtime::never) until = scheduler_.now() + request_ms;
        if (c.parser.head_done() && !invited &&
            c.parser.message().headers.has_token("expect", "100-continue")) {
            invited = true;
            c.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        const auto got = c.socket.read(part, sizeof part);
        if (got.io == runtime::Io::done) {
            c.unread.append(part, got.count);
            continue;
        }
        if (got.io != runtime::Io::blocked) co_return false;
        if (c.evicted && !c.parser.started()) co_return false;
        if (scheduler_.now() >= until) {
            co_await write_all(c, reply(408, true));
            co_return false;
        }
        co_await c.waker.wait(until);
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

// A close with bytes unread would reset the connection and take the answer with it.
runtime::Task<void> Server::linger(Connection& c) {
    c.socket.end_sending();
    char part[4096];
    std::size_t read = 0;
    const Time until = scheduler_.now() + linger_ms;
    while (scheduler_.now() < until && read < most_linger) {
        const auto got = c.socket.read(part, sizeof part);
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
