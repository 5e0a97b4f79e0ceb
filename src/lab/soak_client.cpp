#include "lab/soak_client.hpp"

#include <poll.h>

#include "http/parser.hpp"

namespace brasslift::lab {
namespace {

constexpr double patience_ms = 2000;  // generous, since the rig shares the machine
constexpr double reset_ms = 1000;  // within which a reset follows the end of a connection with unread bytes
constexpr double look_ms = 5;      // between two looks for it
constexpr http::Limits answer_limits{16 << 10, 64 << 10};

}  // namespace

void SoakClient::look() {
    if (socket_ && socket_.news_of_end()) socket_.close();
}

runtime::Task<bool> SoakClient::connect() {
    auto fresh = runtime::connect_to(scheduler_, to_, waker_);
    if (!fresh) co_return false;
    socket_ = std::move(*fresh);
    const auto up = co_await runtime::come_up(scheduler_, socket_, waker_, scheduler_.now() + patience_ms);
    if (up != runtime::Io::done) socket_.close();
    co_return connected();
}

runtime::Task<bool> SoakClient::write(std::string_view bytes) {
    const runtime::Time until = scheduler_.now() + patience_ms;
    while (!bytes.empty()) {
        const auto put = socket_.write(bytes);
        bytes.remove_prefix(put.count);
        if (put.io == runtime::Io::failed || scheduler_.now() >= until) co_return false;
        if (put.io == runtime::Io::blocked) co_await waker_.wait(until);
    }
    co_return true;
}

runtime::Task<HandInResult> SoakClient::hand_in(HandIn request) {
    if (!connected()) {
        const bool came = co_await connect();
        if (!came) co_return HandInResult{};
    }
    const auto first = request.pause_ms > 0 ? request.request.size() / 2 : request.request.size();
    const std::string_view whole = request.request;
    bool written = co_await write(whole.substr(0, first));
    if (written && request.pause_ms > 0) {
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + request.pause_ms);
        // One that was ended over its half may have its answer: it is read below, and the rest goes nowhere.
        written = !socket_.news_of_end();
        if (written) written = co_await write(whole.substr(first));
    }
    if (written) request.written();
    auto reading = read_answer();
    auto result = co_await reading;
    if (!written) result = {};  // whatever it was told: it never handed the request in
    if (result.end != HandInEnd::answered) close();
    co_return result;
}

runtime::Task<HandInResult> SoakClient::read_answer() {
    const runtime::Time until = scheduler_.now() + patience_ms;
    http::Parser parser(http::Parser::Side::response, answer_limits);
    char part[4096];
    while (!parser.complete() && scheduler_.now() < until) {
        const auto got = socket_.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await waker_.wait(until);
            continue;
        }
        if (got.io == runtime::Io::failed) co_return HandInResult{HandInEnd::unread, 0};
        if (got.io == runtime::Io::ended) {
            const bool reset = co_await reset_follows();
            co_return HandInResult{reset ? HandInEnd::unread : HandInEnd::dropped, 0};
        }
        parser.feed({part, got.count});
    }
    if (!parser.complete()) co_return HandInResult{HandInEnd::silent, 0};
    if (!parser.message().keeps_alive()) close();
    co_return HandInResult{HandInEnd::answered, parser.message().status};
}

runtime::Task<bool> SoakClient::reset_follows() {
    const runtime::Time until = scheduler_.now() + reset_ms;
    for (;;) {
        pollfd state{socket_.fd(), 0, 0};
        if (::poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0) co_return true;
        if (scheduler_.now() >= until) co_return false;
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + look_ms);
    }
}

runtime::Task<bool> SoakClient::rest(double most_ms) {
    if (!connected()) {
        const bool came = co_await connect();
        if (!came) co_return false;
    }
    const runtime::Time until = scheduler_.now() + most_ms;
    while (!socket_.news_of_end() && scheduler_.now() < until) co_await waker_.wait(until);
    co_return socket_.news_of_end();
}

}  // namespace brasslift::lab
