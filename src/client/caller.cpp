#include "client/caller.hpp"

#include <algorithm>

#include "http/parser.hpp"

namespace brasslift::client {
namespace {

constexpr int least_refusal = 300;  // the status from which on an answer says that a request was not taken

}  // namespace

bool Caller::may_carry() const {
    return reuse_ == Reuse::at_once || rule_.may_carry(answered_at_, scheduler_.now());
}

// Whether there is a connection for the next request.
bool Caller::connect(runtime::Address to) {
    // A kept connection that has news while nothing is out has ended, or was answered more than once.
    if (socket_ && socket_.readable()) {
        if (!socket_.news_of_end()) rule_.heed_extra_bytes(scheduler_.now() - answered_at_);
        socket_.close();
    }
    if (kept()) return true;
    auto fresh = runtime::connect_to(scheduler_, to, waker_);
    if (fresh) socket_ = std::move(*fresh);
    // One that has not rested is better than none.
    return connected();
}

runtime::Task<std::optional<http::Message>> Caller::call(runtime::Address to, std::string request,
                                                         std::function<runtime::Time()> until) {
    if (!connect(to)) co_return std::nullopt;
    const auto state = co_await runtime::come_up(scheduler_, socket_, waker_, until());
    std::string_view rest = request;
    http::Parser parser(http::Parser::Side::response, limits_);
    bool surplus = false, cut = false;
    char part[4096];
    while (state == runtime::Io::done && !parser.complete() && scheduler_.now() < until()) {
        if (!rest.empty()) {
            const auto put = socket_.write(rest);
            // The peer may have said why, and closed, before it had read all.
            cut = cut || put.io == runtime::Io::failed;
            if (cut) rest = {};
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
        surplus = parser.feed({part, got.count}) < got.count;
        if (parser.fault() != http::Fault::none) break;
    }
    answered_at_ = runtime::steady_now();
    const bool whole = rest.empty() && !cut;
    if (!parser.complete() || !whole || surplus || !parser.message().keeps_alive()) socket_.close();
    if (!parser.complete()) co_return std::nullopt;
    // A peer may refuse what it has not read; it cannot have taken it.
    if (!whole && parser.message().status < least_refusal) co_return std::nullopt;
    co_return parser.take();
}

}  // namespace brasslift::client
