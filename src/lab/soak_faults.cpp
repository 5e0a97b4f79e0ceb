// The faults of a soak: each kind, and how often it comes beside the others.
#include <signal.h>

#include <algorithm>
#include <cerrno>

#include "lab/soak_one.hpp"

namespace brasslift::lab {
namespace {

constexpr double gone_ms = 3000;  // from a drain to the endpoint's end in the list

}  // namespace

const std::vector<Soak::Kind>& Soak::kinds() {
    static const std::vector<Kind> all = {{"endpoint", 8, &Soak::trouble_an_endpoint},
                                          {"kill", 3, &Soak::kill_one},
                                          {"term", 3, &Soak::term_one},
                                          {"stop", 3, &Soak::stop_one},
                                          {"reload", 2, &Soak::reload_one},
                                          {"drain", 2, &Soak::drain_one},
                                          {"discovery", 2, &Soak::silence_discovery},
                                          {"late_notices", 2, &Soak::delay_notices},
                                          {"doubles", 3, &Soak::double_answers},
                                          {"double_notices", 2, &Soak::double_notices},
                                          {"disk", 3, &Soak::fail_a_disk},
                                          {"connections", 3, &Soak::fail_connections},
                                          {"streams", 3, &Soak::fail_streams},
                                          {"clock", 2, &Soak::step_a_clock},
                                          {"hold", 2, &Soak::hold_one}};
    return all;
}

void Soak::trouble_an_endpoint() {
    auto& endpoint = endpoints_[random_() % endpoints_.size()];
    const auto trouble = static_cast<Trouble>(1 + random_() % (troubles - 1));
    const double ms = between(200, 4000);
    account_.note(endpoint.uid() + ' ' + name_of(trouble) + " for " + std::to_string(static_cast<int>(ms)),
                  now());
    endpoint.trouble(trouble, runtime::steady_now() + ms);
}

// All endpoints of a destination answer twice, and the clients' messages go there for as long.
void Soak::double_answers() {
    const int destination = 1 + static_cast<int>(random_() % static_cast<unsigned>(plan_.destinations));
    const double ms = between(500, 2000);
    const double until = runtime::steady_now() + ms;
    account_.note("destination " + std::to_string(destination) + " answers twice for " +
                      std::to_string(static_cast<int>(ms)),
                  now());
    for (auto& endpoint : endpoints_)
        if (endpoint.destination() == destination) endpoint.trouble(Trouble::doubles, until);
    busy_destination_ = destination;
    busy_until_ = until;
}

void Soak::kill_one() {
    if (auto& one = any(); !one.restarting) scheduler_.spawn(kill_and_start(one));
}

void Soak::term_one() {
    if (auto& one = any(); !one.restarting && one.ready) scheduler_.spawn(term_and_start(one));
}

void Soak::stop_one() {
    if (auto& one = any(); !one.restarting && !one.stopped) scheduler_.spawn(stop_for(one, between(20, 140)));
}

// New configurations in a row, each with the other agent of discovery.
void Soak::reload_one() {
    auto& one = any();
    if (one.restarting || !one.ready) return;
    const int times = 1 + static_cast<int>(random_() % 3);
    for (int i = 0; i < times; ++i) {
        one.agent = 1 - one.agent;
        write_config(one);
        one.process.signal(SIGHUP);
    }
    account_.note(one.name + " reads its configuration again", now());
}

// One endpoint leaves, another one comes in its place.
void Soak::drain_one() {
    const int leaves = static_cast<int>(random_() % endpoints_.size());
    const bool is_ready = std::none_of(entries_.begin(), entries_.end(), [&](const Entry& e) {
        return e.endpoint == leaves && e.state != "Ready";
    });
    if (!is_ready) return;
    const int destination = endpoints_[static_cast<std::size_t>(leaves)].destination();
    const int comes = static_cast<int>(endpoints_.size());
    endpoints_.emplace_back(scheduler_, account_, begun_, "s-" + std::to_string(comes), destination,
                            random_());
    list(comes, "Ready");
    list(leaves, "Terminating");
    scheduler_.spawn(after(gone_ms, [this, leaves] { list(leaves, "Gone"); }));
}

void Soak::silence_discovery() {
    auto& one = any();
    const double ms = between(300, 4000);
    one.silent_until = runtime::steady_now() + ms;
    account_.note("discovery of " + one.name + " is silent for " + std::to_string(static_cast<int>(ms)),
                  now());
}

void Soak::delay_notices() {
    auto& one = any();
    const double ms = between(1000, 5000);
    one.notices_late_until = runtime::steady_now() + ms;
    account_.note("notices of " + one.name + " are answered late for " + std::to_string(static_cast<int>(ms)),
                  now());
}

void Soak::double_notices() {
    auto& one = any();
    const double ms = between(1000, 5000);
    one.notices_doubled_until = runtime::steady_now() + ms;
    account_.note(
        "notices of " + one.name + " are answered twice for " + std::to_string(static_cast<int>(ms)), now());
}

void Soak::fail_a_disk() {
    auto& one = any();
    auto& board = *one.board.board;
    board.disk.error = random_() % 2 == 0 ? ENOSPC : EIO;
    board.half_write_per_mille = random_() % 2 == 0 ? 300 : 0;
    board.disk.per_mille = random_() % 2 == 0 ? 1000 : 400;
    account_.note("the disk of " + one.name + " fails", now());
    scheduler_.spawn(after(between(100, 2000), [&board] { board.disk.per_mille = 0; }));
}

void Soak::fail_connections() {
    static const int accepts[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, ENETDOWN, EHOSTUNREACH};
    static const int connects[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNABORTED, EINTR, EAGAIN};
    static const int sockets[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
    auto& one = any();
    auto& board = *one.board.board;
    board.accept.error = accepts[random_() % std::size(accepts)];
    board.connect.error = connects[random_() % std::size(connects)];
    board.socket.error = sockets[random_() % std::size(sockets)];
    FaultShare* const shares[] = {&board.accept, &board.connect, &board.socket};
    auto& share = *shares[random_() % std::size(shares)];
    share.per_mille = random_() % 2 == 0 ? 1000 : 300;
    account_.note("connections of " + one.name + " fail", now());
    scheduler_.spawn(after(between(50, 500), [&share] { share.per_mille = 0; }));
}

void Soak::fail_streams() {
    static const int errors[] = {EINTR, ENOBUFS, ENOMEM};
    auto& one = any();
    auto& board = *one.board.board;
    board.stream.error = errors[random_() % std::size(errors)];
    board.stream.per_mille = 200;
    board.short_per_mille = 300;
    account_.note("reads and writes of " + one.name + " are short, or fail in passing", now());
    scheduler_.spawn(
        after(between(200, 1500), [&board] { board.stream.per_mille = board.short_per_mille = 0; }));
}

void Soak::step_a_clock() {
    auto& one = any();
    static const double spans[] = {3000, 60000, 3600000};
    const double span = spans[random_() % std::size(spans)];
    const auto step = static_cast<std::int64_t>(random_() % 2 == 0 ? span : -span);
    one.board.board->wall_step_ms = step;
    account_.note("the wall clock of " + one.name + " is off by " + std::to_string(step), now());
}

void Soak::hold_one() {
    auto& board = *any().board.board;
    board.hold_ms = 150;
    board.hold_per_mille = 30;
    scheduler_.spawn(after(between(300, 1500), [&board] { board.hold_per_mille = 0; }));
}

void Soak::heal() {
    for (auto& endpoint : endpoints_) endpoint.trouble(Trouble::none, 0);
    for (auto& one : all_) {
        auto& board = *one->board.board;
        for (auto* const share : {&board.disk, &board.accept, &board.socket, &board.connect, &board.stream})
            share->per_mille = 0;
        board.short_per_mille = board.hold_per_mille = 0;
        one->silent_until = one->notices_late_until = one->notices_doubled_until = 0;
    }
    account_.note("all is healed", now());
}

}  // namespace brasslift::lab
