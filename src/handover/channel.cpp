#include "handover/channel.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>

#include "store/format.hpp"

namespace brasslift::handover {
namespace {

constexpr std::uint32_t magic = 0x42524c48;
constexpr std::uint64_t most_bytes = 256 << 20;
constexpr std::uint32_t most_descriptors = 65536;
constexpr std::size_t at_once = 200;  // the system takes 253 beside one byte

struct Head {
    std::uint32_t magic = 0;
    std::uint32_t kind = 0;
    std::uint32_t descriptors = 0;
    std::uint64_t bytes = 0;
};

bool wait_for(int fd, short events, runtime::Time until) {
    for (;;) {
        const double left = until - runtime::steady_now();
        if (left <= 0) return false;
        pollfd state{fd, events, 0};
        const int got = ::poll(&state, 1, static_cast<int>(std::ceil(left)));
        if (got > 0) return true;
        if (got < 0 && errno != EINTR) return false;
    }
}

bool put(int fd, const char* bytes, std::size_t size, const int* descriptors, std::size_t count,
         runtime::Time until) {
    alignas(cmsghdr) char control[CMSG_SPACE(at_once * sizeof(int))] = {};
    while (size > 0) {
        iovec part{const_cast<char*>(bytes), size};
        msghdr message{};
        message.msg_iov = &part;
        message.msg_iovlen = 1;
        if (count > 0) {
            message.msg_control = control;
            message.msg_controllen = CMSG_SPACE(count * sizeof(int));
            auto* const head = CMSG_FIRSTHDR(&message);
            head->cmsg_level = SOL_SOCKET;
            head->cmsg_type = SCM_RIGHTS;
            head->cmsg_len = CMSG_LEN(count * sizeof(int));
            std::memcpy(CMSG_DATA(head), descriptors, count * sizeof(int));
        }
        const auto sent = ::sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes += sent;
            size -= static_cast<std::size_t>(sent);
            count = 0;
        } else if (errno == EAGAIN) {
            if (!wait_for(fd, POLLOUT, until)) return false;
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
}

// Exactly so many bytes; descriptors that came with them go into the luggage.
bool get(int fd, char* bytes, std::size_t size, state::Luggage* luggage, runtime::Time until) {
    alignas(cmsghdr) char control[CMSG_SPACE(at_once * sizeof(int))];
    while (size > 0) {
        iovec part{bytes, size};
        msghdr message{};
        message.msg_iov = &part;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        const auto got = ::recvmsg(fd, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
        if (got > 0) {
            for (auto* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
                if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
                const auto count = (head->cmsg_len - CMSG_LEN(0)) / sizeof(int);
                for (std::size_t i = 0; i < count; ++i) {
                    int received = -1;
                    std::memcpy(&received, CMSG_DATA(head) + i * sizeof(int), sizeof received);
                    runtime::Descriptor own(received);
                    if (luggage != nullptr) luggage->received(std::move(own));
                }
            }
            if ((message.msg_flags & MSG_CTRUNC) != 0) return false;
            bytes += got;
            size -= static_cast<std::size_t>(got);
        } else if (got < 0 && errno == EAGAIN) {
            if (!wait_for(fd, POLLIN, until)) return false;
        } else if (got == 0 || errno != EINTR) {
            return false;
        }
    }
    return true;
}

// A path may be longer than an address holds: the folder is reached through its descriptor then.
bool address_of(const std::string& path, sockaddr_un& address, socklen_t& size, runtime::Descriptor& folder) {
    std::string name = path;
    if (name.size() >= sizeof address.sun_path) {
        const auto slash = path.rfind('/');
        folder = runtime::Descriptor(::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
        if (!folder) return false;
        name = "/proc/self/fd/" + std::to_string(folder.get()) + path.substr(slash);
        if (name.size() >= sizeof address.sun_path) return false;
    }
    address = {};
    address.sun_family = AF_UNIX;
    std::memcpy(address.sun_path, name.c_str(), name.size() + 1);
    size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + name.size() + 1);
    return true;
}

runtime::Descriptor make_socket() {
    return runtime::Descriptor(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace

std::string socket_path(const std::string& state_folder) {
    std::error_code error;
    const auto whole = std::filesystem::weakly_canonical(state_folder, error).string();
    const auto folder = std::filesystem::temp_directory_path(error).string();
    if (error) return "";
    char name[64];
    std::snprintf(name, sizeof name, "brasslift-%016llx.sock",
                  static_cast<unsigned long long>(store::hash_of(whole)));
    return (folder.empty() || folder.back() != '/' ? folder + '/' : folder) + name;
}

runtime::Descriptor listen_at(const std::string& path) {
    if (path.empty()) return {};
    auto fd = make_socket();
    sockaddr_un address;
    socklen_t size = 0;
    runtime::Descriptor folder;
    // Under a name of its own first, so that there is always one of the two.
    const auto fresh = path + '.' + std::to_string(::getpid());
    if (!fd || !address_of(fresh, address, size, folder)) return {};
    ::unlink(fresh.c_str());
    const auto mask = ::umask(077);
    const int bound = ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), size);
    ::umask(mask);
    if (bound != 0) return {};
    if (::listen(fd.get(), 4) != 0 || ::rename(fresh.c_str(), path.c_str()) != 0) {
        ::unlink(fresh.c_str());
        return {};
    }
    return fd;
}

runtime::Descriptor call_at(const std::string& path) {
    struct stat about {};
    if (path.empty() || ::stat(path.c_str(), &about) != 0) return {};
    auto fd = make_socket();
    sockaddr_un address;
    socklen_t size = 0;
    runtime::Descriptor folder;
    if (!fd || !address_of(path, address, size, folder)) return {};
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0) return {};
    return fd;
}

bool same_user(int fd) {
    ucred who{};
    socklen_t size = sizeof who;
    return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &who, &size) == 0 && who.uid == ::geteuid();
}

bool send_frame(int fd, Kind kind, const std::string& bytes, const std::vector<int>& descriptors,
                runtime::Time until) {
    const Head head{magic, static_cast<std::uint32_t>(kind), static_cast<std::uint32_t>(descriptors.size()),
                    bytes.size()};
    if (!put(fd, reinterpret_cast<const char*>(&head), sizeof head, nullptr, 0, until)) return false;
    for (std::size_t i = 0; i < descriptors.size(); i += at_once) {
        const char mark = 0;
        if (!put(fd, &mark, 1, descriptors.data() + i, std::min(at_once, descriptors.size() - i), until))
            return false;
    }
    return put(fd, bytes.data(), bytes.size(), nullptr, 0, until);
}

std::optional<Frame> receive_frame(int fd, runtime::Time until) {
    Head head;
    if (!get(fd, reinterpret_cast<char*>(&head), sizeof head, nullptr, until)) return std::nullopt;
    if (head.magic != magic || head.bytes > most_bytes || head.descriptors > most_descriptors)
        return std::nullopt;
    Frame frame;
    frame.kind = static_cast<Kind>(head.kind);
    for (std::size_t left = head.descriptors; left > 0; left -= std::min(left, at_once))
        if (char mark = 0; !get(fd, &mark, 1, &frame.luggage, until)) return std::nullopt;
    if (frame.luggage.count() != head.descriptors) return std::nullopt;
    frame.bytes.resize(head.bytes);
    if (!get(fd, frame.bytes.data(), frame.bytes.size(), nullptr, until)) return std::nullopt;
    return frame;
}

}  // namespace brasslift::handover
