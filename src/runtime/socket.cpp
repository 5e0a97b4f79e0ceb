#include "runtime/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace brasslift::runtime {
namespace {

constexpr int backlog = 511;
constexpr double most_undelivered_ms = 24 * 3600 * 1000.0;
constexpr int accept_tries = 16;  // in a row that bring nothing

sockaddr_in native(Address address) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = address.host;
    to.sin_port = address.port;
    return to;
}

// Of this system, and over in a moment: the connection itself is as it was.
bool passes(int error) { return error == ENOBUFS || error == ENOMEM; }

// Of this system or process, whoever is at the other end.
bool local_trouble(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
        case EAGAIN:
        case EPERM:
        case EACCES: return true;
        default: return false;
    }
}

// What accept may bring that ends one connection before it was taken; the next one is not touched by it.
bool of_one_connection(int error) {
    switch (error) {
        case ECONNABORTED:
        case EINTR:
        case EPROTO:
        case ENOPROTOOPT:
        case ENETDOWN:
        case ENETUNREACH:
        case ENONET:
        case EHOSTDOWN:
        case EHOSTUNREACH:
        case EOPNOTSUPP:
        case ETIMEDOUT:
        case EPERM: return true;
        default: return false;
    }
}

Descriptor make_socket() {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd) {
        const int on = 1;
        ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    return fd;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    in_addr host{};
    if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &host) != 1) return std::nullopt;
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
    return Address{host.s_addr, htons(port)};
}

std::string to_text(const Address& address) {
    char text[INET_ADDRSTRLEN] = "";
    const in_addr host{address.host};
    ::inet_ntop(AF_INET, &host, text, sizeof text);
    return std::string(text) + ':' + std::to_string(ntohs(address.port));
}

Socket::Socket(Scheduler& scheduler, Descriptor fd, Waker& waker)
    : scheduler_(&scheduler), fd_(std::move(fd)), watch_(scheduler.watch(fd_.get(), waker)) {}

Socket::Socket(Socket&& other) noexcept
    : scheduler_(other.scheduler_), fd_(std::move(other.fd_)), watch_(std::exchange(other.watch_, 0)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this != &other) {
        close();
        scheduler_ = other.scheduler_;
        fd_ = std::move(other.fd_);
        watch_ = std::exchange(other.watch_, 0);
    }
    return *this;
}

void Socket::close() {
    if (watch_ != 0) scheduler_->unwatch(watch_);
    watch_ = 0;
    fd_.reset();
}

void Socket::limit_undelivered(double ms) {
    const auto limit = static_cast<unsigned>(std::clamp(ms, 1.0, most_undelivered_ms));
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

void Socket::abort() {
    const linger at_once{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

Transfer Socket::read(char* into, std::size_t size) {
    for (;;) {
        const auto got = ::recv(fd_.get(), into, size, 0);
        if (got > 0) return {Io::done, static_cast<std::size_t>(got)};
        if (got == 0) return {Io::ended, 0};
        if (errno == EINTR) continue;
        return {state_after(errno), 0};
    }
}

// Of a call that failed. One that fails in passing is tried again in a moment: no event will say so.
Io Socket::state_after(int error) {
    if (error == EAGAIN) return Io::blocked;
    if (!passes(error)) return Io::failed;
    scheduler_->nudge(watch_);
    return Io::blocked;
}

Transfer Socket::write(std::string_view bytes) {
    for (;;) {
        const auto put = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (put >= 0) return {Io::done, static_cast<std::size_t>(put)};
        if (errno == EINTR) continue;
        return {state_after(errno), 0};
    }
}

Io Socket::connected() {
    pollfd state{fd_.get(), POLLOUT, 0};
    const int ready = ::poll(&state, 1, 0);
    if (ready < 0) scheduler_->nudge(watch_);
    if (ready <= 0) return Io::blocked;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return Io::failed;
    return (state.revents & POLLOUT) != 0 && (state.revents & POLLERR) == 0 ? Io::done : Io::failed;
}

bool Socket::news_of_end() const {
    char byte;
    const auto got = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR && !passes(errno));
}

bool Socket::peer_has_ended() const {
    pollfd state{fd_.get(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Socket::readable() const {
    char byte;
    const auto got = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EINTR && !passes(errno));
}

void Socket::end_sending() { ::shutdown(fd_.get(), SHUT_WR); }

std::vector<bool> which_are_readable(const std::vector<const Socket*>& sockets) {
    std::vector<pollfd> states;
    for (const auto* const socket : sockets) states.push_back({socket->fd(), POLLIN, 0});
    std::vector<bool> readable(sockets.size(), false);
    if (states.empty()) return readable;
    int ready = 0;
    do {
        ready = ::poll(states.data(), states.size(), 0);
    } while (ready < 0 && errno == EINTR);
    // Where the look failed for the system's trouble, nothing is known of any.
    for (std::size_t i = 0; ready > 0 && i < states.size(); ++i) readable[i] = states[i].revents != 0;
    return readable;
}

std::optional<Socket> listen_on(Scheduler& scheduler, Address address, Waker& waker) {
    auto fd = make_socket();
    if (!fd) return std::nullopt;
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = native(address);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return std::nullopt;
    if (::listen(fd.get(), backlog) != 0) return std::nullopt;
    Socket socket(scheduler, std::move(fd), waker);
    if (!socket) return std::nullopt;
    return socket;
}

std::optional<Socket> connect_to(Scheduler& scheduler, Address address, Waker& waker, Dialled* how) {
    Dialled unheard;
    auto& dialled = how == nullptr ? unheard : *how;
    dialled = Dialled::begun;
    auto fd = make_socket();
    if (!fd) {
        dialled = errno == EMFILE ? Dialled::no_descriptor : Dialled::local_trouble;
        return std::nullopt;
    }
    const auto to = native(address);
    // Interrupted, it goes on by itself.
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS &&
        errno != EINTR) {
        dialled = local_trouble(errno) ? Dialled::local_trouble : Dialled::refused;
        return std::nullopt;
    }
    dialled = Dialled::local_trouble;
    Socket socket(scheduler, std::move(fd), waker);
    if (!socket) return std::nullopt;
    dialled = Dialled::begun;
    return socket;
}

Task<Io> come_up(Scheduler& scheduler, Socket& socket, Waker& waker, Time until) {
    auto state = socket.connected();
    while (state == Io::blocked && scheduler.now() < until) {
        co_await waker.wait(until);
        state = socket.connected();
    }
    co_return state;
}

Accepted accept_from(const Socket& listener, Descriptor& into) {
    for (int tries = 0; tries < accept_tries; ++tries) {
        const int fd = ::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            into = Descriptor(fd);
            return Accepted::one;
        }
        if (errno == EAGAIN) return Accepted::none;
        if (errno == EMFILE) return Accepted::no_room;
        if (!of_one_connection(errno)) return Accepted::trouble;
    }
    return Accepted::trouble;
}

}  // namespace brasslift::runtime
