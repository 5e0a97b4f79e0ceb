// A proxy on loopback between a dispatcher and one other party, as a network that misbehaves on request.
// There and back are apart: `there` is from whoever connects. Errors: a link that finds no target closes its
// connection, as a network without that target would.
#pragma once

#include <netinet/in.h>

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

#include "runtime/socket.hpp"

namespace brasslift::lab {

enum Way : std::size_t { there = 0, back = 1 };

struct Weather {
    double delay_ms = 0, jitter_ms = 0;
    bool halted = false;     // bytes wait and come later
    bool swallowed = false;  // bytes are lost; the connection hangs until the link is whole again
};

class Link {
public:
    Link(runtime::Scheduler& scheduler, runtime::Address target, std::uint64_t seed);
    // Where to connect to; in the host's order.
    std::uint16_t port() const { return port_; }
    void set(Way way, const Weather& weather);
    const Weather& weather(Way way) const { return weather_[way]; }
    // New connections are refused, and those that are there are reset.
    void cut(bool is_cut);
    void reset();  // those that are there
    void move_to(runtime::Address target) { target_ = target; }
    std::uint64_t bytes() const { return bytes_; }

private:
    struct Pair;
    runtime::Task<void> listen();
    runtime::Task<void> carry(std::shared_ptr<Pair> pair);
    bool take(Pair& pair, Way way);
    bool pass(Pair& pair, Way way, runtime::Time& due);

    runtime::Scheduler& scheduler_;
    runtime::Address target_;
    std::mt19937_64 random_;
    runtime::Waker waker_;
    runtime::Socket listener_;
    std::uint16_t port_ = 0;
    std::array<Weather, 2> weather_;
    std::list<std::shared_ptr<Pair>> pairs_;
    bool cut_ = false;
    std::uint64_t bytes_ = 0;
};

// A listener on loopback at a port that the system chooses; throws where there is none.
runtime::Socket listen_anywhere(runtime::Scheduler& scheduler, runtime::Waker& waker, std::uint16_t& port);
// Every connection that comes, for as long as the listener is there.
runtime::Task<void> accept_each(runtime::Scheduler& scheduler, runtime::Socket& listener,
                                runtime::Waker& waker, std::function<void(runtime::Descriptor)> take);
runtime::Address local(std::uint16_t port);
std::string local_text(std::uint16_t port);
// Of loopback, this process's alone among all rigs; in the network's order.
std::uint32_t own_host();
// One that nobody listens on now.
std::uint16_t free_port(std::uint32_t host = htonl(INADDR_LOOPBACK));

}  // namespace brasslift::lab
