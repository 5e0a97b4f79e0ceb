#include "lab/proc_figures.hpp"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "runtime/descriptor.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

std::string folder_of(pid_t id) { return "/proc/" + std::to_string(id); }

// Of each entry of a folder that may be gone by the next one.
template <class Each>
void each_in(const std::string& folder, Each each) {
    std::error_code gone;
    for (fs::directory_iterator at(folder, gone), end; !gone && at != end; at.increment(gone))
        each(at->path());
}

// The whole answer of one dump; each message is one connection.
template <class Each>
void each_connection(Each each) {
    const runtime::Descriptor fd(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG));
    struct {
        nlmsghdr head{};
        inet_diag_req_v2 ask{};
    } request;
    request.head.nlmsg_len = sizeof request;
    request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.ask.sdiag_family = AF_INET;
    request.ask.sdiag_protocol = IPPROTO_TCP;
    request.ask.idiag_states = ~0U;
    request.ask.idiag_ext = 1U << (INET_DIAG_INFO - 1);
    if (::send(fd.get(), &request, sizeof request, 0) < 0) return;
    std::vector<char> part(1 << 17);
    for (;;) {
        auto left = ::recv(fd.get(), part.data(), part.size(), 0);
        if (left <= 0) return;
        for (auto* head = reinterpret_cast<nlmsghdr*>(part.data()); NLMSG_OK(head, left);
             head = NLMSG_NEXT(head, left)) {
            if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) return;
            auto* const told = static_cast<inet_diag_msg*>(NLMSG_DATA(head));
            auto length = static_cast<int>(head->nlmsg_len - NLMSG_LENGTH(sizeof *told));
            for (auto* part_of = reinterpret_cast<rtattr*>(told + 1); RTA_OK(part_of, length);
                 part_of = RTA_NEXT(part_of, length)) {
                if (part_of->rta_type != INET_DIAG_INFO) continue;
                // An earlier kernel tells less.
                tcp_info info{};
                std::copy_n(static_cast<const char*>(RTA_DATA(part_of)),
                            std::min<std::size_t>(RTA_PAYLOAD(part_of), sizeof info),
                            reinterpret_cast<char*>(&info));
                each(told->idiag_inode, info.tcpi_bytes_acked + info.tcpi_bytes_received);
            }
        }
    }
}

}  // namespace

ProcFigures proc_figures(pid_t id) {
    ProcFigures figures;
    each_in(folder_of(id) + "/task", [&](const fs::path& task) {
        std::ifstream in(task / "schedstat");
        double nanoseconds = 0;
        in >> nanoseconds;
        figures.cpu_ms += nanoseconds / 1e6;
    });
    std::ifstream in(folder_of(id) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmRSS:")) figures.resident_mb = std::stod(line.substr(6)) / 1024;
    each_in(folder_of(id) + "/fd", [&](const fs::path&) { ++figures.descriptors; });
    return figures;
}

std::map<pid_t, TcpBytes> tcp_bytes(const std::vector<pid_t>& ids, const std::function<void()>& breathe) {
    std::map<std::uint64_t, pid_t> owners;
    for (const auto id : ids) {
        each_in(folder_of(id) + "/fd", [&](const fs::path& fd) {
            constexpr std::string_view socket = "socket:[";
            std::error_code gone;
            const auto target = fs::read_symlink(fd, gone).string();
            if (!gone && target.starts_with(socket)) owners[std::stoull(target.substr(socket.size()))] = id;
        });
        if (breathe) breathe();
    }
    std::map<pid_t, TcpBytes> bytes;
    each_connection([&](std::uint64_t inode, std::uint64_t count) {
        if (const auto owner = owners.find(inode); inode != 0 && owner != owners.end())
            bytes[owner->second][inode] = count;
    });
    return bytes;
}

std::uint64_t bytes_between(const TcpBytes& before, const TcpBytes& after) {
    std::uint64_t bytes = 0;
    for (const auto& [inode, count] : after) {
        const auto had = before.find(inode);
        bytes += count - (had == before.end() ? 0 : std::min(had->second, count));
    }
    return bytes;
}

}  // namespace brasslift::lab
