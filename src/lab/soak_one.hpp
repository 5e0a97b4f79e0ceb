// One dispatcher of a soak, of the soak's own: its process, its fault board and its agents of discovery.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

#include "lab/soak.hpp"

namespace brasslift::lab {

// A board in a file, mapped; all zero.
struct MappedBoard {
    explicit MappedBoard(const std::string& path) {
        const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd < 0 || ::ftruncate(fd, sizeof(FaultBoard)) != 0) throw std::runtime_error("no fault board");
        at = ::mmap(nullptr, sizeof(FaultBoard), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        if (at == MAP_FAILED) throw std::runtime_error("the fault board cannot be mapped");
        board = new (at) FaultBoard;
    }
    ~MappedBoard() { ::munmap(at, sizeof(FaultBoard)); }
    MappedBoard(const MappedBoard&) = delete;
    MappedBoard& operator=(const MappedBoard&) = delete;
    void* at = nullptr;
    FaultBoard* board = nullptr;
};

struct Soak::One {
    One(runtime::Scheduler& scheduler, const std::string& board_path) : board(board_path), waker(scheduler) {}
    std::string name, folder;
    std::uint16_t port = 0, admin = 0;
    Process process;
    MappedBoard board;
    std::unique_ptr<Party> agents[2];
    int agent = 0;            // that its config names
    double silent_until = 0;  // discovery says nothing
    double notices_late_until = 0;
    double notices_doubled_until = 0;  // each answer to a notice comes twice
    int killed_life = 0;               // the latest that was killed
    double started_at = 0, refuses_after = 0;
    bool expected = false;  // to be running
    bool ready = false, restarting = false, stopped = false;
    int life = 0;
    runtime::Waker waker;
};

}  // namespace brasslift::lab
