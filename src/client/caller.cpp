#include "client/caller.hpp"

#include <algorithm>

#include "http/parser.hpp"

namespace brasslift::client {

runtime::Task<std::optional<http::Message>> Caller::call(runtime::Address to, std::string request,
                                                         std::function<runtime::Time()> until) {
    // A kept connection that has news while nothing is out has ended.
    if (socket_ && socket_.readable()) socket_.close();
    if (!socket_) {
        auto fresh = runtime::connect_to(scheduler_, to, waker_);
        if (!fresh) co_return std::nullopt;
        socket_ = std::move(*fresh);
    }
    const auto state = co_await runtime::come_up(scheduler_, socket_, waker_, until());
    std::string_view rest = request;
    http::Parser parser(http::Parser::Side::response, limits_);
    char part[4096];
    while (state == runtime::Io::done && !parser.complete() && scheduler_.now() < until()) {
        if (!rest.empty()) {
            const auto put = socket_.write(rest);
            // The peer may have said why, and closed, before it had read all.
            if (put.io == runtime::Io::failed) rest = {};
            rest.remove_prefix(std::min(put.count, rest.size()));
            if (put.io == runtime::Io::done) continue;
        }
        const auto got = socket_.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await waker_.wait(until());
            continue;
        }
        if (got.io != runtime::Io::done) {
            parser.end();
            break;
        }
        parser.feed({part, got.count});
        if (parser.fault() != http::Fault::none) break;
    }
    if (!parser.complete() || !rest.empty() || !parser.message().keeps_alive()) socket_.close();
    if (!parser.complete()) co_return std::nullopt;
    co_return parser.take();
}

}  // namespace brasslift::client
