// A call under way, of the pool's own.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "upstream/pool.hpp"

namespace brasslift::upstream {

inline constexpr http::Limits answer_limits{16 * 1024, 64 * 1024};

// One call under way: what has become of it so far, and of each of its messages.
struct Pool::Flight {
    Flight(runtime::Scheduler& scheduler, dispatch::Call c)
        : call(std::move(c)),
          landed(call.messages.size(), false),
          waker(scheduler),
          parser(http::Parser::Side::response, answer_limits) {}
    dispatch::Call call;
    std::vector<bool> landed;
    runtime::Waker waker;
    runtime::Socket socket;
    std::uint64_t connection = 0;    // its number; 0: none yet
    std::uint32_t calls_before = 0;  // that its connection had carried
    double idle_before_ms = 0;       // since the answer to the latest of them
    http::Parser parser;
    Ended ended;
    Time expires = 0, start_by = 0;
    runtime::Address address;
    enum class Stage : std::uint8_t { begun, connecting, writing, reading, reported };
    Stage stage = Stage::begun;
    std::string rest;  // of the request, still to be written
    Time dial_until = 0;
    const std::string& pool() const {
        static const std::string own;
        return call.pool ? call.pool->name : own;
    }
    bool capped() const { return call.pool && call.pool->connections_per_host; }
    bool bulk() const { return call.messages.size() > 1; }
    bool outcome_known() const { return parser.complete() || (!bulk() && parser.message().status == 200); }
    bool surplus = false;         // more came than belongs to the answer
    Time begun = runtime::never;  // since when its answer has been coming
    // Bytes of the answer; what follows it shows that the connection may serve no other call.
    void feed(std::string_view bytes, Time now) {
        surplus = parser.feed(bytes) < bytes.size() || surplus;
        if (!parser.started())
            begun = runtime::never;  // an interim answer was all
        else
            begun = std::min(begun, now);
    }
    bool unreadable() const { return parser.fault() != http::Fault::none; }
    // Whether its connection can carry another call.
    bool reusable() const {
        return socket && parser.complete() && !surplus && parser.message().keeps_alive() &&
               !socket.readable();
    }
    // Why its connection, whose call has ended, is not kept.
    ClosedBy end_of_connection() const {
        if (surplus) return ClosedBy::surplus;
        if (!parser.complete() || !parser.message().keeps_alive()) return ClosedBy::answer;
        if (socket.news_of_end()) return ClosedBy::peer;
        return socket.readable() ? ClosedBy::unsolicited : ClosedBy::not_kept;
    }
};

// A call is under way for as long as this is there, also where its coroutine is dropped.
struct Pool::Listed {
    std::set<Flight*>& all;
    Flight* flight;
    ~Listed() { all.erase(flight); }
};

}  // namespace brasslift::upstream
