// Non-blocking TCP sockets on the loop. Failures are values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/scheduler.hpp"

namespace brasslift::runtime {

struct Address {
    std::uint32_t host = 0;  // network order
    std::uint16_t port = 0;  // network order
    auto operator<=>(const Address&) const = default;
};

// "127.0.0.1:8081"; nothing where it cannot be read.
std::optional<Address> parse_address(std::string_view text);
std::string to_text(const Address& address);

enum class Io { done, blocked, ended, failed };

struct Transfer {
    Io io = Io::failed;
    std::size_t count = 0;
};

class Socket {
public:
    Socket() = default;
    Socket(Scheduler& scheduler, Descriptor fd, Waker& waker);
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { close(); }

    explicit operator bool() const { return static_cast<bool>(fd_) && watch_ != 0; }
    void rebind(Waker& waker) { scheduler_->rebind(watch_, waker); }

    Transfer read(char* into, std::size_t size);
    Transfer write(std::string_view bytes);
    Io connected();               // done, blocked (still on its way) or failed
    bool news_of_end() const;     // the peer has ended or broken the connection and left nothing to read
    bool peer_has_ended() const;  // its sending or the connection, whatever is left to read
    bool readable() const;        // bytes, an end or a failure wait to be read
    void end_sending();
    // What is written from now on and the peer's system has not taken after so long (ms, 1 at least) is given
    // up, and the connection with it; also once this process is gone. A system that does not know how goes on
    // trying.
    void limit_undelivered(double ms);
    void close();
    // Closes it with a reset: what the peer's system has not taken yet is never delivered, and neither is
    // what waits here to be read.
    void abort();
    int fd() const { return fd_.get(); }

private:
    Io state_after(int error);
    Scheduler* scheduler_ = nullptr;
    Descriptor fd_;
    std::uint64_t watch_ = 0;
};

// Of which of them bytes, an end or a failure wait to be read; one look for all.
std::vector<bool> which_are_readable(const std::vector<const Socket*>& sockets);

// Nothing where no descriptor is left or the address cannot be had.
std::optional<Socket> listen_on(Scheduler& scheduler, Address address, Waker& waker);
// How far a connect came at once. Trouble of this system (no descriptor, no memory, no local port) says
// nothing of the other end and may be over in a moment; no_descriptor is this process's own limit.
enum class Dialled { begun, refused, local_trouble, no_descriptor };
std::optional<Socket> connect_to(Scheduler& scheduler, Address address, Waker& waker, Dialled* how = nullptr);

// Waits for a connection on its way; `blocked` where it has not come up by then.
Task<Io> come_up(Scheduler& scheduler, Socket& socket, Waker& waker, Time until);

// no_room: this process has no descriptor left. trouble: the system's, or many connections that ended before
// they were taken; some may wait, and no event will say so: to be tried again in a moment.
enum class Accepted { one, none, no_room, trouble };
Accepted accept_from(const Socket& listener, Descriptor& into);

}  // namespace brasslift::runtime
