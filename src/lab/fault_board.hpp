// Which system calls of a process fail at the moment, and how: a board in shared memory that a rig writes and
// the fault shim (fault_shim.cpp, loaded by LD_PRELOAD) reads at each call. All zero: everything works.
// Shares are per mille of the calls; a share with an errno of 0 fails nothing. Both sides are built from one
// source.
#pragma once

#include <atomic>
#include <cstdint>

namespace brasslift::lab {

struct FaultShare {
    std::atomic<std::uint32_t> per_mille{0};
    std::atomic<std::int32_t> error{0};  // errno's number
};

struct FaultBoard {
    FaultShare disk;     // of writes, syncs, truncations and names in folders
    FaultShare accept;   // of accepted connections; one that has come stays in the queue
    FaultShare socket;   // of new sockets
    FaultShare connect;  // of connects
    FaultShare stream;   // of receives and sends: EINTR, ENOBUFS or ENOMEM, which pass
    std::atomic<std::uint32_t> short_per_mille{0};       // of reads and writes: one byte or half
    std::atomic<std::uint32_t> half_write_per_mille{0};  // of writes to files that fail: half of it is there
    std::atomic<std::uint32_t> hold_per_mille{0};        // of sends: the process is held up before
    std::atomic<std::uint32_t> hold_ms{0};
    std::atomic<std::int64_t> wall_step_ms{0};  // what the wall clock is off by
};

// The environment variable that names the board's file.
constexpr const char* fault_board_variable = "BRASSLIFT_FAULT_BOARD";

}  // namespace brasslift::lab
