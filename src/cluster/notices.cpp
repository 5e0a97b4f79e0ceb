#include "cluster/notices.hpp"

#include <algorithm>

#include "config/json.hpp"
#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::cluster {
namespace {

constexpr std::size_t most_lines = 100;
constexpr double answer_ms = 1000, first_pause_ms = 50, longest_pause_ms = 1000;

std::string line_of(const dispatch::Notice& notice) {
    std::string line = "{\"id\":" + config::quoted(notice.name);
    if (notice.ending == dispatch::Ending::deferred) {
        line += ",\"status\":\"deferred\"";
        if (notice.again_ms > 0) line += ",\"again_ms\":" + std::to_string(notice.again_ms);
    } else {
        line += ",\"status\":\"undeliverable\"";
    }
    return line + "}\n";
}

std::string request_with(const std::string& body) {
    return http::write_request("POST", "/v1/outcomes",
                               {{"Host", "discovery"}, {"Content-Type", "application/x-ndjson"}}, body);
}

}  // namespace

runtime::Task<void> Notices::run() {
    double pause = first_pause_ms;
    std::size_t most = most_lines;
    for (;;) {
        for (auto& notice : mailbox_.take_all()) waiting_.push_back(std::move(notice));
        if (std::exchange(moved_, false)) {
            socket_.close();
            pause = first_pause_ms;
        }
        if (waiting_.empty()) {
            co_await waker_.wait();
            continue;
        }
        const auto count = std::min(waiting_.size(), most);
        std::string body;
        for (std::size_t i = 0; i < count; ++i) body += line_of(waiting_[i]);
        const int status = co_await post(body);
        if (status == 400 &&
            count > 1) {  // one of them cannot be read: singly, so that it holds no others up
            most = 1;
            continue;
        }
        if (status == 204 || status == 400) {
            if (status == 400) runtime::log("notices", "a notice was not understood: %s", body.c_str());
            dispatch::Told told;
            for (std::size_t i = 0; i < count; ++i) told.ids.push_back(waiting_[i].id);
            waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(count));
            report_(std::move(told));
            pause = first_pause_ms;
            if (waiting_.empty()) most = most_lines;
            continue;
        }
        socket_.close();
        const Time until = scheduler_.now() + pause;
        while (!moved_ && scheduler_.now() < until) co_await waker_.wait(until);
        pause = std::min(2 * pause, longest_pause_ms);
    }
}

void Notices::move_to(runtime::Address discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    moved_ = true;
    waker_.notify();
}

runtime::Task<int> Notices::post(const std::string& body) {
    runtime::Waker waker(scheduler_);
    const Time until = scheduler_.now() + answer_ms;
    // A kept connection that has news while nothing is out has ended.
    if (socket_ && socket_.readable()) socket_.close();
    if (!socket_) {
        auto fresh = runtime::connect_to(scheduler_, discovery_, waker);
        if (!fresh) co_return 0;
        socket_ = std::move(*fresh);
    }
    socket_.rebind(waker);
    const auto state = co_await runtime::come_up(scheduler_, socket_, waker, until);
    const auto text = request_with(body);
    std::string_view rest = text;
    http::Parser parser(http::Parser::Side::response);
    char part[4096];
    while (state == runtime::Io::done && !parser.complete() && scheduler_.now() < until) {
        if (!rest.empty()) {
            const auto put = socket_.write(rest);
            if (put.io == runtime::Io::failed) break;
            rest.remove_prefix(put.count);
            if (put.io == runtime::Io::done) continue;
        }
        const auto got = socket_.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await waker.wait(until);
            continue;
        }
        if (got.io != runtime::Io::done) break;
        parser.feed({part, got.count});
        if (parser.fault() != http::Fault::none) break;
    }
    const bool whole = parser.complete();
    const int status = whole ? parser.message().status : 0;
    // The waker ends with this call; the next one binds the connection to its own.
    if (whole && parser.message().keeps_alive())
        socket_.rebind(waker_);
    else
        socket_.close();
    co_return status;
}

}  // namespace brasslift::cluster
