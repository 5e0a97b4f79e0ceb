// The private way between an old and a new process on one machine: frames over a Unix socket, descriptors
// beside them. Calls wait, until a time of the steady clock in milliseconds; failures are values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runtime/descriptor.hpp"
#include "runtime/scheduler.hpp"
#include "state/luggage.hpp"

namespace brasslift::handover {

enum class Kind : std::uint8_t { hello = 1, state, ready, commit, decline };

struct Frame {
    Kind kind = Kind::hello;
    std::string bytes;
    state::Luggage luggage;
};

// Where the owner of a store's folder listens.
std::string socket_path(const std::string& state_folder);

// Takes the place of whatever was there, at once. Nothing where there are no such sockets.
runtime::Descriptor listen_at(const std::string& path);
// Nothing where nobody listens.
runtime::Descriptor call_at(const std::string& path);
// Whether the other side is a process of the same user.
bool same_user(int fd);

bool send_frame(int fd, Kind kind, const std::string& bytes, const std::vector<int>& descriptors,
                runtime::Time until);
std::optional<Frame> receive_frame(int fd, runtime::Time until);

}  // namespace brasslift::handover
