// A shared library that makes system calls of the process it is loaded into fail as a board says. Only the
// process's own calls through the C library are touched. For the rig's tests: `serve` carries none of it.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>

#include "lab/fault_board.hpp"

namespace {

using brasslift::lab::FaultBoard;
using brasslift::lab::FaultShare;

template <class Function>
Function real(const char* name, Function& kept) {
    if (kept == nullptr) kept = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
    return kept;
}

const FaultBoard* board() {
    static std::atomic<const FaultBoard*> mapped{nullptr};
    static std::atomic<bool> tried{false};
    if (tried.exchange(true)) return mapped.load();
    const char* const path = ::getenv(brasslift::lab::fault_board_variable);
    const int fd = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* const at = ::mmap(nullptr, sizeof(FaultBoard), PROT_READ, MAP_SHARED, fd, 0);
    ::close(fd);
    if (at != MAP_FAILED) mapped = static_cast<const FaultBoard*>(at);
    return mapped.load();
}

// A draw of its own: the process's random numbers stay as they are.
bool drawn(std::uint32_t per_mille) {
    static thread_local std::uint64_t state = reinterpret_cast<std::uintptr_t>(&state) ^
                                              static_cast<std::uint64_t>(::getpid()) * 0x9e3779b97f4a7c15U;
    if (per_mille == 0) return false;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state % 1000 < per_mille;
}

bool fails(FaultShare FaultBoard::*which) {
    const auto* const b = board();
    if (b == nullptr) return false;
    const int error = (b->*which).error.load();
    if (error == 0 || !drawn((b->*which).per_mille.load())) return false;
    errno = error;
    return true;
}

std::size_t shortened(std::size_t size) {
    const auto* const b = board();
    if (b == nullptr || size < 2 || !drawn(b->short_per_mille.load())) return size;
    return size % 2 == 0 ? 1 : size / 2;
}

void hold() {
    const auto* const b = board();
    if (b == nullptr || !drawn(b->hold_per_mille.load())) return;
    const auto ms = b->hold_ms.load();
    timespec time{ms / 1000, static_cast<long>(ms % 1000) * 1'000'000};
    ::nanosleep(&time, nullptr);
}

bool is_file(int fd) {
    struct stat about {};
    return ::fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
    static int (*kept)(clockid_t, timespec*) = nullptr;
    const int result = real("clock_gettime", kept)(clock, time);
    const auto* const b = clock == CLOCK_REALTIME ? board() : nullptr;
    if (result != 0 || b == nullptr) return result;
    const auto step = b->wall_step_ms.load();
    time->tv_sec += step / 1000;
    return result;
}

ssize_t write(int fd, const void* bytes, size_t size) {
    static ssize_t (*kept)(int, const void*, size_t) = nullptr;
    const auto through = real("write", kept);
    if (board() == nullptr || fd <= 2 || !is_file(fd)) return through(fd, bytes, size);
    if (!fails(&FaultBoard::disk)) return through(fd, bytes, shortened(size));
    const int error = errno;
    if (size > 1 && drawn(board()->half_write_per_mille.load())) return through(fd, bytes, size / 2);
    errno = error;
    return -1;
}

int fdatasync(int fd) {
    static int (*kept)(int) = nullptr;
    return fails(&FaultBoard::disk) ? -1 : real("fdatasync", kept)(fd);
}

int ftruncate(int fd, off_t size) {
    static int (*kept)(int, off_t) = nullptr;
    return fails(&FaultBoard::disk) ? -1 : real("ftruncate", kept)(fd, size);
}

int renameat(int from_folder, const char* from, int to_folder, const char* to) {
    static int (*kept)(int, const char*, int, const char*) = nullptr;
    return fails(&FaultBoard::disk) ? -1 : real("renameat", kept)(from_folder, from, to_folder, to);
}

int openat(int folder, const char* name, int flags, ...) {
    static int (*kept)(int, const char*, int, ...) = nullptr;
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    if ((flags & O_CREAT) != 0 && fails(&FaultBoard::disk)) return -1;
    return real("openat", kept)(folder, name, flags, mode);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static int (*kept)(int, sockaddr*, socklen_t*, int) = nullptr;
    return fails(&FaultBoard::accept) ? -1 : real("accept4", kept)(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*kept)(int, int, int) = nullptr;
    if (domain == AF_INET && fails(&FaultBoard::socket)) return -1;
    return real("socket", kept)(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static int (*kept)(int, const sockaddr*, socklen_t) = nullptr;
    if (address->sa_family == AF_INET && fails(&FaultBoard::connect)) return -1;
    return real("connect", kept)(fd, address, size);
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
    static ssize_t (*kept)(int, void*, size_t, int) = nullptr;
    if (fails(&FaultBoard::stream)) return -1;
    return real("recv", kept)(fd, into, shortened(size), flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    static ssize_t (*kept)(int, const void*, size_t, int) = nullptr;
    hold();
    if (fails(&FaultBoard::stream)) return -1;
    return real("send", kept)(fd, bytes, shortened(size), flags);
}

}  // extern "C"
