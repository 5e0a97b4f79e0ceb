// libraft's messages, entries and configurations to and from protobuf. No I/O. Memory that is handed to
// libraft comes from its own allocator.
#pragma once

#include <string>
#include <vector>

extern "C" {
#include <raft.h>
}

#include "brasslift/members/v1/members.pb.h"

namespace brasslift::members {

namespace v1 = members::v1;

raft_buffer make_buffer(const std::string& bytes);
// As an array; `one_batch`: all in one piece of memory, as messages have them, else a piece each.
raft_entry* make_entries(const std::vector<v1::Entry>& entries, bool one_batch);
v1::Entry write_entry(const raft_entry& entry);

using Servers = google::protobuf::RepeatedPtrField<v1::Server>;
void write_servers(const raft_configuration& from, Servers& into);
void read_servers(const Servers& from, raft_configuration& into);

v1::Raft write_message(const raft_message& message);
// False: this is no message of libraft's; nothing was allocated.
bool read_message(const v1::Raft& from, raft_message& into);

}  // namespace brasslift::members
