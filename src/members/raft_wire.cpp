#include "members/raft_wire.hpp"

#include <algorithm>
#include <cstring>

namespace brasslift::members {

raft_buffer make_buffer(const std::string& bytes) {
    raft_buffer buffer{};
    buffer.len = bytes.size();
    buffer.base = raft_malloc(std::max<std::size_t>(1, bytes.size()));
    std::memcpy(buffer.base, bytes.data(), bytes.size());
    return buffer;
}

raft_entry* make_entries(const std::vector<v1::Entry>& entries, bool one_batch) {
    auto* const made = static_cast<raft_entry*>(raft_calloc(entries.size(), sizeof(raft_entry)));
    std::size_t all = 1;
    for (const auto& entry : entries) all += entry.data().size();
    auto* const batch = one_batch ? static_cast<char*>(raft_malloc(all)) : nullptr;
    std::size_t at = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto& entry = entries[i];
        made[i].term = entry.term();
        made[i].type = static_cast<unsigned short>(entry.type());
        if (!one_batch) {
            made[i].buf = make_buffer(entry.data());
            continue;
        }
        std::memcpy(batch + at, entry.data().data(), entry.data().size());
        made[i].buf = {batch + at, entry.data().size()};
        made[i].batch = batch;
        at += entry.data().size();
    }
    return made;
}

v1::Entry write_entry(const raft_entry& entry) {
    v1::Entry written;
    written.set_term(entry.term);
    written.set_type(entry.type);
    written.set_data(entry.buf.base, entry.buf.len);
    return written;
}

void write_servers(const raft_configuration& from, Servers& into) {
    for (unsigned i = 0; i < from.n; ++i) {
        auto* const server = into.Add();
        server->set_id(from.servers[i].id);
        server->set_name(from.servers[i].address);
        server->set_role(static_cast<std::uint32_t>(from.servers[i].role));
    }
}

void read_servers(const Servers& from, raft_configuration& into) {
    raft_configuration_init(&into);
    for (const auto& server : from)
        raft_configuration_add(&into, server.id(), server.name().c_str(), static_cast<int>(server.role()));
}

v1::Raft write_message(const raft_message& message) {
    v1::Raft out;
    out.set_type(message.type);
    switch (message.type) {
        case RAFT_IO_REQUEST_VOTE: {
            const auto& m = message.request_vote;
            out.set_term(m.term);
            out.set_candidate(m.candidate_id);
            out.set_last_index(m.last_log_index);
            out.set_last_term(m.last_log_term);
            out.set_disrupts(m.disrupt_leader);
            out.set_pre_vote(m.pre_vote);
            break;
        }
        case RAFT_IO_REQUEST_VOTE_RESULT: {
            const auto& m = message.request_vote_result;
            out.set_term(m.term);
            out.set_granted(m.vote_granted);
            out.set_pre_vote_answer(m.pre_vote);
            break;
        }
        case RAFT_IO_APPEND_ENTRIES: {
            const auto& m = message.append_entries;
            out.set_term(m.term);
            out.set_previous_index(m.prev_log_index);
            out.set_previous_term(m.prev_log_term);
            out.set_commit(m.leader_commit);
            for (unsigned i = 0; i < m.n_entries; ++i) *out.add_entry() = write_entry(m.entries[i]);
            break;
        }
        case RAFT_IO_APPEND_ENTRIES_RESULT: {
            const auto& m = message.append_entries_result;
            out.set_term(m.term);
            out.set_rejected(m.rejected);
            out.set_last_index(m.last_log_index);
            break;
        }
        case RAFT_IO_INSTALL_SNAPSHOT: {
            const auto& m = message.install_snapshot;
            out.set_term(m.term);
            out.set_last_index(m.last_index);
            out.set_last_term(m.last_term);
            write_servers(m.conf, *out.mutable_server());
            out.set_servers_index(m.conf_index);
            out.set_data(m.data.base, m.data.len);
            break;
        }
        case RAFT_IO_TIMEOUT_NOW: {
            const auto& m = message.timeout_now;
            out.set_term(m.term);
            out.set_last_index(m.last_log_index);
            out.set_last_term(m.last_log_term);
            break;
        }
        default: break;
    }
    return out;
}

bool read_message(const v1::Raft& from, raft_message& into) {
    into.type = static_cast<unsigned short>(from.type());
    switch (from.type()) {
        case RAFT_IO_REQUEST_VOTE:
            into.request_vote = {from.term(),      from.candidate(), from.last_index(),
                                 from.last_term(), from.disrupts(),  from.pre_vote()};
            return true;
        case RAFT_IO_REQUEST_VOTE_RESULT:
            if (from.pre_vote_answer() > raft_tribool_false) return false;
            into.request_vote_result = {from.term(), from.granted(),
                                        static_cast<raft_tribool>(from.pre_vote_answer())};
            return true;
        case RAFT_IO_APPEND_ENTRIES: {
            into.append_entries = {from.term(),
                                   from.previous_index(),
                                   from.previous_term(),
                                   from.commit(),
                                   nullptr,
                                   static_cast<unsigned>(from.entry_size())};
            for (const auto& entry : from.entry())
                if (entry.type() < RAFT_COMMAND || entry.type() > RAFT_CHANGE) return false;
            if (from.entry_size() > 0)
                into.append_entries.entries = make_entries({from.entry().begin(), from.entry().end()}, true);
            return true;
        }
        case RAFT_IO_APPEND_ENTRIES_RESULT:
            into.append_entries_result = {from.term(), from.rejected(), from.last_index()};
            return true;
        case RAFT_IO_INSTALL_SNAPSHOT:
            into.install_snapshot = {from.term(), from.last_index(),    from.last_term(),
                                     {},          from.servers_index(), make_buffer(from.data())};
            read_servers(from.server(), into.install_snapshot.conf);
            return true;
        case RAFT_IO_TIMEOUT_NOW:
            into.timeout_now = {from.term(), from.last_index(), from.last_term()};
            return true;
        default: return false;
    }
}

}  // namespace brasslift::members
