#include "admin/server.hpp"

#include <fcntl.h>

#include <algorithm>

#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::admin {
namespace {

// Some connect and never end their call; whoever does wait leaves after 1 s.
constexpr double call_ms = 3000, write_ms = 1000, linger_ms = 300;
constexpr std::size_t most_callers = 24, kept_aside = 8;
constexpr http::Limits limits{4096, 4096}, more_limits{4096, 8 << 20};
constexpr double more_ms = 12000;  // a publish waits for others
constexpr double pause_ms = 20;

}  // namespace

bool is_more(const http::Message& request) {
    return request.target.starts_with("/members") || request.target.starts_with("/rules") ||
           request.target.starts_with("/lists");
}

Reply answer(const http::Message& request, const Calls& calls) {
    struct Path {
        std::string_view name, method;
        const std::function<bool()>& act;
    };
    static const std::function<bool()> none;
    const Path paths[] = {{"/ready", "GET", calls.ready},
                          {"/metrics", "GET", none},
                          {"/drain", "PUT", calls.drain},
                          {"/undrain", "PUT", calls.undrain}};
    const auto target = std::string_view(request.target);
    const auto name = target.substr(0, target.find('?'));
    const auto* const path =
        std::find_if(std::begin(paths), std::end(paths), [&](const Path& p) { return p.name == name; });
    if (path == std::end(paths)) return {404, "no such call\n", ""};
    if (request.method != path->method) return {405, "", std::string(path->method)};
    if (!path->act) return {200, calls.figures(), ""};
    const bool yes = path->act();
    const auto note = path->name == "/ready" && calls.note ? calls.note() : "";
    return {yes ? 200 : 503, (yes ? "yes\n" : "no\n") + note, ""};
}

struct Server::Caller {
    Caller(runtime::Scheduler& scheduler, runtime::Descriptor fd, bool more)
        : waker(scheduler),
          socket(scheduler, std::move(fd), waker),
          parser(http::Parser::Side::request, more ? more_limits : limits),
          until(scheduler.now() + call_ms) {}
    runtime::Waker waker;
    runtime::Socket socket;
    http::Parser parser;
    runtime::Time until;
    bool whole = false, evicted = false;
};

Server::Server(runtime::Scheduler& scheduler, Calls calls)
    : scheduler_(scheduler), calls_(std::move(calls)), waker_(scheduler) {}

bool Server::listen(runtime::Address address) {
    auto listener = runtime::listen_on(scheduler_, address, waker_);
    if (!listener) return false;
    listener_ = std::move(*listener);
    keep_aside();
    return true;
}

bool Server::adopt(runtime::Descriptor listener) {
    listener_ = runtime::Socket(scheduler_, std::move(listener), waker_);
    if (listener_) keep_aside();
    return static_cast<bool>(listener_);
}

runtime::Descriptor Server::release() {
    return listener_ ? runtime::Descriptor(::fcntl(listener_.fd(), F_DUPFD_CLOEXEC, 0))
                     : runtime::Descriptor();
}

void Server::keep_aside() {
    while (aside_.size() < kept_aside) {
        runtime::Descriptor fd(::fcntl(listener_.fd(), F_DUPFD_CLOEXEC, 0));
        if (!fd) return;
        aside_.push_back(std::move(fd));
    }
}

runtime::Task<void> Server::run() {
    for (;;) {
        runtime::Descriptor fd;
        switch (runtime::accept_from(listener_, fd)) {
            case runtime::Accepted::one: take(std::move(fd)); break;
            case runtime::Accepted::none: co_await waker_.wait(); break;
            case runtime::Accepted::trouble:
                co_await runtime::sleep_until(scheduler_, scheduler_.now() + pause_ms);
                break;
            case runtime::Accepted::no_room:
                if (!aside_.empty())
                    aside_.pop_back();
                else if (!callers_.empty())
                    evict_oldest();
                else
                    co_await runtime::sleep_until(scheduler_, scheduler_.now() + pause_ms);
                break;
        }
    }
}

void Server::take(runtime::Descriptor fd) {
    if (callers_.size() >= most_callers) evict_oldest();
    auto caller = std::make_shared<Caller>(scheduler_, std::move(fd), static_cast<bool>(calls_.more));
    if (!caller->socket) return;
    callers_.push_back(caller);
    scheduler_.spawn(serve(std::move(caller)));
}

// One whose call is not whole, the longest waiting first; else whoever came first.
void Server::evict_oldest() {
    const auto hung = std::find_if(callers_.begin(), callers_.end(),
                                   [](const auto& c) { return !c->whole && !c->evicted; });
    const auto caller = hung == callers_.end() ? callers_.front() : *hung;
    caller->evicted = true;
    caller->socket.close();
    callers_.remove(caller);
    caller->waker.notify();
}

runtime::Task<void> Server::serve(std::shared_ptr<Caller> caller) {
    auto& c = *caller;
    const bool called = co_await read_call(c);
    // A value of its own, not a temporary of the awaiting expression: GCC 12 destroys such a one twice.
    Reply reply;
    reply.status = 0;
    if (called && calls_.more && is_more(c.parser.message())) {
        c.until = scheduler_.now() + more_ms;
        reply = co_await calls_.more(c.parser.message());
    } else if (called)
        reply = answer(c.parser.message(), calls_);
    else if (c.parser.fault() != http::Fault::none)
        reply.status = http::status_of(c.parser.fault());
    else if (scheduler_.now() >= c.until)
        reply.status = 408;
    if (!c.evicted && reply.status != 0) co_await write(c, reply);
    if (!c.evicted) callers_.remove(caller);
    c.socket.close();
    keep_aside();
}

// Until a call is whole. False: it will not be.
runtime::Task<bool> Server::read_call(Caller& c) {
    char part[2048];
    while (!c.evicted) {
        const auto got = c.socket.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            if (scheduler_.now() >= c.until) co_return false;
            co_await c.waker.wait(c.until);
            continue;
        }
        if (got.io != runtime::Io::done) co_return false;
        c.parser.feed({part, got.count});
        if (c.parser.fault() != http::Fault::none) co_return false;
        c.whole = c.parser.complete();
        if (c.whole) co_return true;
    }
    co_return false;
}

runtime::Task<void> Server::write(Caller& c, const Reply& reply) {
    c.whole = true;
    http::HeaderList headers{{"Connection", "close"}, {"Content-Type", reply.type}};
    if (!reply.allow.empty()) headers.emplace_back("Allow", reply.allow);
    const auto text = http::write_response(reply.status, headers, reply.body);
    std::string_view rest = text;
    runtime::Time until = scheduler_.now() + write_ms;
    while (!rest.empty() && !c.evicted) {
        const auto put = c.socket.write(rest);
        if (put.io == runtime::Io::done) {
            rest.remove_prefix(put.count);
            continue;
        }
        if (put.io != runtime::Io::blocked || scheduler_.now() >= until) co_return;
        co_await c.waker.wait(until);
    }
    if (c.evicted) co_return;
    // A close with bytes unread would take the answer with it.
    c.socket.end_sending();
    char part[2048];
    until = scheduler_.now() + linger_ms;
    while (!c.evicted && scheduler_.now() < until) {
        const auto got = c.socket.read(part, sizeof part);
        if (got.io == runtime::Io::blocked)
            co_await c.waker.wait(until);
        else if (got.io != runtime::Io::done)
            co_return;
    }
}

}  // namespace brasslift::admin
