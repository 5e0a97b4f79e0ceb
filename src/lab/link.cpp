#include "lab/link.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace brasslift::lab {
namespace {

constexpr std::size_t most_waiting = 4 << 20;
constexpr double dial_ms = 1000;

}  // namespace

// A port that is free while a dispatcher is down may be another rig's a moment later, whose clients would
// then be answered by this one's rules. All of 127.0.0.0/8 is loopback: each process has an address by its
// id.
std::uint32_t own_host() {
    static const std::uint32_t host =
        htonl(0x7f000000U | 0x400000U | (static_cast<std::uint32_t>(::getpid()) & 0x3fffffU));
    return host;
}

runtime::Address local(std::uint16_t port) { return {own_host(), htons(port)}; }
std::string local_text(std::uint16_t port) { return runtime::to_text(local(port)); }

runtime::Socket listen_anywhere(runtime::Scheduler& scheduler, runtime::Waker& waker, std::uint16_t& port) {
    auto listener = runtime::listen_on(scheduler, {own_host(), 0}, waker);
    if (!listener) throw std::runtime_error("no port to listen on");
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(listener->fd(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return std::move(*listener);
}

std::uint16_t free_port(std::uint32_t host) {
    // Below those that the system gives to connections, and apart from those of other rigs beside this one.
    static unsigned next = static_cast<unsigned>(::getpid()) * 67U;
    for (int tries = 0; tries < 2000; ++tries) {
        const auto port = static_cast<std::uint16_t>(12000 + next++ % 20000);
        const runtime::Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = host;
        at.sin_port = htons(port);
        if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return port;
    }
    throw std::runtime_error("no port is free");
}

struct Link::Pair {
    Pair(runtime::Scheduler& scheduler, runtime::Descriptor fd)
        : waker(scheduler), near(scheduler, std::move(fd), waker) {}
    runtime::Waker waker;
    runtime::Socket near, far;
    struct Piece {
        runtime::Time due = 0;
        std::string bytes;
    };
    struct Half {
        std::deque<Piece> pieces;
        std::size_t waiting = 0;
        bool ended = false, lost = false;  // lost: bytes of it were swallowed
    };
    std::array<Half, 2> halves;
    bool gone = false;
    runtime::Socket& from(Way way) { return way == there ? near : far; }
    runtime::Socket& to(Way way) { return way == there ? far : near; }
};

Link::Link(runtime::Scheduler& scheduler, runtime::Address target, std::uint64_t seed)
    : scheduler_(scheduler), target_(target), random_(seed), waker_(scheduler) {
    listener_ = listen_anywhere(scheduler_, waker_, port_);
    scheduler_.spawn(listen());
}

void Link::set(Way way, const Weather& weather) {
    weather_[way] = weather;
    for (const auto& pair : pairs_) {
        // What was lost on the way cannot be made good: such a connection ends with the trouble.
        if (!weather.swallowed && pair->halves[way].lost) pair->gone = true;
        pair->waker.notify();
    }
}

void Link::cut(bool is_cut) {
    cut_ = is_cut;
    if (is_cut) reset();
}

void Link::reset() {
    for (const auto& pair : pairs_) {
        pair->gone = true;
        pair->waker.notify();
    }
}

runtime::Task<void> Link::listen() {
    return accept_each(scheduler_, listener_, waker_, [this](runtime::Descriptor fd) {
        if (cut_) return;
        auto pair = std::make_shared<Pair>(scheduler_, std::move(fd));
        pairs_.push_back(pair);
        scheduler_.spawn(carry(std::move(pair)));
    });
}

runtime::Task<void> accept_each(runtime::Scheduler& scheduler, runtime::Socket& listener,
                                runtime::Waker& waker, std::function<void(runtime::Descriptor)> take) {
    for (;;) {
        runtime::Descriptor fd;
        const auto accepted = runtime::accept_from(listener, fd);
        if (accepted == runtime::Accepted::one)
            take(std::move(fd));
        else
            co_await waker.wait(accepted == runtime::Accepted::none ? runtime::never : scheduler.now() + 20);
    }
}

// Reads what there is; whether that was anything.
bool Link::take(Pair& pair, Way way) {
    auto& half = pair.halves[way];
    if (half.ended || half.waiting > most_waiting) return false;
    char part[16384];
    const auto got = pair.from(way).read(part, sizeof part);
    if (got.io == runtime::Io::blocked) return false;
    if (got.io != runtime::Io::done) {
        half.ended = true;
        return true;
    }
    bytes_ += got.count;
    const auto& weather = weather_[way];
    if (weather.swallowed) {
        half.lost = true;
        return true;
    }
    const double jitter = weather.jitter_ms * static_cast<double>(random_() % 1000) / 1000;
    const auto due = scheduler_.now() + weather.delay_ms + jitter;
    half.pieces.push_back(
        {half.pieces.empty() ? due : std::max(due, half.pieces.back().due), {part, got.count}});
    half.waiting += got.count;
    return true;
}

bool Link::pass(Pair& pair, Way way, runtime::Time& due) {
    auto& half = pair.halves[way];
    if (weather_[way].halted || half.pieces.empty()) return false;
    auto& piece = half.pieces.front();
    if (piece.due > scheduler_.now()) {
        due = std::min(due, piece.due);
        return false;
    }
    const auto put = pair.to(way).write(piece.bytes);
    if (put.io == runtime::Io::blocked) return false;
    if (put.io != runtime::Io::done) return pair.gone = true;
    piece.bytes.erase(0, put.count);
    half.waiting -= put.count;
    if (piece.bytes.empty()) half.pieces.pop_front();
    return true;
}

runtime::Task<void> Link::carry(std::shared_ptr<Pair> pair) {
    auto& p = *pair;
    auto far = runtime::connect_to(scheduler_, target_, p.waker);
    if (far) {
        p.far = std::move(*far);
        const auto came = co_await runtime::come_up(scheduler_, p.far, p.waker, scheduler_.now() + dial_ms);
        p.gone = p.gone || came != runtime::Io::done;
    }
    while (far && !p.gone) {
        bool moved = false;
        runtime::Time due = runtime::never;
        for (const Way way : {there, back}) moved = take(p, way) || moved;
        for (const Way way : {there, back}) moved = pass(p, way, due) || moved;
        // An end is passed on once what came before it has been; a swallowed one is not passed on either.
        for (const Way way : {there, back})
            if (p.halves[way].ended && p.halves[way].pieces.empty() && !weather_[way].swallowed)
                p.gone = true;
        if (!moved && !p.gone) co_await p.waker.wait(due);
    }
    pairs_.remove(pair);
    p.near.close();
    p.far.close();
}

}  // namespace brasslift::lab
