#include "lab/peers.hpp"

#include <arpa/inet.h>

#include <stdexcept>

#include "client/caller.hpp"
#include "http/writer.hpp"
#include "lab/peer_connection.hpp"

namespace brasslift::lab {

struct Party::Connection : PeerConnection {
    using PeerConnection::PeerConnection;
};

Party::Party(runtime::Scheduler& scheduler, Handle handle)
    : scheduler_(scheduler), handle_(std::move(handle)), waker_(scheduler) {
    listener_ = listen_anywhere(scheduler_, waker_, port_);
    scheduler_.spawn(listen());
}

Party::Party(runtime::Scheduler& scheduler, runtime::Address at, Handle handle)
    : scheduler_(scheduler), handle_(std::move(handle)), waker_(scheduler), port_(ntohs(at.port)) {
    auto listener = runtime::listen_on(scheduler_, at, waker_);
    if (!listener) throw std::runtime_error("cannot listen on " + runtime::to_text(at));
    listener_ = std::move(*listener);
    scheduler_.spawn(listen());
}

runtime::Task<void> Party::listen() {
    return accept_each(scheduler_, listener_, waker_, [this](runtime::Descriptor fd) {
        scheduler_.spawn(serve(std::make_shared<Connection>(scheduler_, std::move(fd))));
    });
}

runtime::Task<void> Party::write_again(std::shared_ptr<Connection> connection, std::string answer,
                                       double after_ms) {
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + after_ms);
    connection->socket.write(answer);
}

runtime::Task<void> Party::serve(std::shared_ptr<Connection> connection) {
    auto& c = *connection;
    char part[16384];
    for (;;) {
        const auto got = c.socket.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await c.waker.wait();
            continue;
        }
        if (got.io != runtime::Io::done) co_return;
        for (std::string_view rest(part, got.count); !rest.empty();) {
            rest.remove_prefix(c.parser.feed(rest));
            if (c.parser.fault() != http::Fault::none) co_return;
            if (!c.parser.complete()) break;
            const auto request = c.parser.take();
            auto reply = handle_(request);
            if (reply.status < 0) continue;
            if (reply.after_ms > 0)
                co_await runtime::sleep_until(scheduler_, scheduler_.now() + reply.after_ms);
            const auto text = reply.status == 0
                                  ? std::string()
                                  : http::write_response(reply.status, reply.headers, reply.body);
            const bool written = reply.status > 0 && c.socket.write(text).count == text.size();
            if (reply.told) reply.told(written);
            if (!written) co_return;
            if (reply.again_after_ms > 0)
                scheduler_.spawn(write_again(connection, text, reply.again_after_ms));
        }
    }
}

runtime::Task<http::Message> ask_once(runtime::Scheduler& scheduler, runtime::Address to, std::string request,
                                      double patience_ms) {
    client::Caller caller(scheduler, {16 << 10, 1 << 20});
    const runtime::Time until = scheduler.now() + patience_ms;
    auto answer = co_await caller.call(to, std::move(request), [until] { return until; });
    http::Message none;
    if (!answer) co_return none;
    co_return std::move(*answer);
}

std::vector<std::string> ids_of(const http::Message& request) {
    std::vector<std::string> ids;
    if (request.target != "/inbox/bulk") {
        if (const auto* const id = request.headers.find("Req-Id"); id != nullptr) ids.push_back(*id);
        return ids;
    }
    for (std::string_view frames = request.body; !frames.empty();) {
        const auto line = frames.substr(0, frames.find("\r\n"));
        const auto space = line.rfind(' ');
        if (space == std::string_view::npos) break;
        ids.emplace_back(line.substr(0, line.find(' ')));
        const auto size = std::strtoul(std::string(line.substr(space + 1)).c_str(), nullptr, 10);
        frames.remove_prefix(std::min(frames.size(), line.size() + 4 + size));
    }
    return ids;
}

}  // namespace brasslift::lab
