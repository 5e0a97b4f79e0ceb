// What a process of this machine costs, as the kernel tells it: processor time, memory, descriptors, and the
// bytes of its TCP connections. Errors: a process that is gone has no figures.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace brasslift::lab {

struct ProcFigures {
    double cpu_ms = 0;  // of all its threads since it began
    double resident_mb = 0;
    int descriptors = 0;
};
ProcFigures proc_figures(pid_t id);

// Bytes of TCP payload by process and connection, in and out together, since each connection came up. One
// look costs a walk over all descriptors of the processes and all connections of the machine; between two of
// them `breathe` is called, so that a loop need not stand still for all of it.
using TcpBytes = std::map<std::uint64_t, std::uint64_t>;  // by the socket's inode
std::map<pid_t, TcpBytes> tcp_bytes(const std::vector<pid_t>& ids, const std::function<void()>& breathe = {});
// What has gone over since an earlier look, but for connections that have been closed in between.
std::uint64_t bytes_between(const TcpBytes& before, const TcpBytes& after);

}  // namespace brasslift::lab
