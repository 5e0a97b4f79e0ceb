// libraft's side of a Consensus: its structures and the C functions that it calls. Used by consensus.cpp
// alone.
#pragma once

#include <cstring>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include <raft.h>
}

#include "members/consensus.hpp"
#include "members/raft_wire.hpp"

namespace brasslift::members {

// Requests that it hands in are answered at the end of each step, never while it is still in the call.
struct Consensus::Raw {
    Raw(Consensus& owner, Id self, std::string name, std::uint64_t seed)
        : owner(owner), self(self), name(std::move(name)), random(seed) {}

    Consensus& owner;
    Id self;
    std::string name;
    std::mt19937_64 random;
    raft_io io{};
    raft_fsm fsm{};
    raft raft_{};
    raft_io_tick_cb tick = nullptr;
    raft_io_recv_cb receive = nullptr;
    struct raft_transfer transfer {};
    bool transferring = false, closing = false;
    Agreed::Verdict verdict;
    v1::Vote vote;

    static Raw& of(raft_io* io) { return *static_cast<Raw*>(io->impl); }
    static Raw& of(raft_fsm* fsm) { return *static_cast<Raw*>(fsm->data); }

    template <class Request, class Callback>
    void answer(Request* request, Callback callback, int status) {
        owner.due_.push_back([request, callback, status] { callback(request, status); });
    }

    int load(raft_term* term, raft_id* voted_for, raft_snapshot** snapshot, raft_index* first,
             raft_entry** entries, std::size_t* count) {
        Journal::Saved saved;
        if (!owner.journal_.load(saved)) return RAFT_IOERR;
        vote = saved.vote;
        *term = vote.term();
        *voted_for = vote.voted_for();
        *snapshot = nullptr;
        if (saved.snapshot) *snapshot = make_snapshot(*saved.snapshot);
        *first = saved.first;
        *count = saved.entries.size();
        *entries = nullptr;
        if (*count > 0) *entries = make_entries(saved.entries, false);
        const auto applied = saved.snapshot ? saved.snapshot->index() : 0;
        owner.stored_.clear();
        for (std::size_t i = 0; i < saved.entries.size(); ++i)
            if (saved.first + i > applied) owner.note_stored(saved.first + i, saved.entries[i]);
        return 0;
    }

    static raft_snapshot* make_snapshot(const v1::Snapshot& from) {
        auto* const snapshot = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
        snapshot->index = from.index();
        snapshot->term = from.term();
        read_servers(from.server(), snapshot->configuration);
        snapshot->configuration_index = from.servers_index();
        snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        snapshot->bufs[0] = make_buffer(from.data());
        snapshot->n_bufs = 1;
        return snapshot;
    }

    int append(raft_io_append* request, const raft_entry entries[], unsigned count,
               raft_io_append_cb callback) {
        std::vector<v1::Entry> written;
        for (unsigned i = 0; i < count; ++i) written.push_back(write_entry(entries[i]));
        const auto first = next_index;
        const bool good = owner.journal_.append(first, written);
        if (good) {
            for (unsigned i = 0; i < count; ++i) owner.note_stored(first + i, written[i]);
            next_index += count;
        }
        answer(request, callback, good ? 0 : RAFT_NOSPACE);
        return 0;
    }
    raft_index next_index = 1;  // of the journal's next entry

    int truncate(raft_index index) {
        if (!owner.journal_.truncate(index)) return RAFT_IOERR;
        while (!owner.stored_.empty() && owner.stored_.back().index >= index) owner.stored_.pop_back();
        next_index = index;
        return 0;
    }

    int put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* from,
                     raft_io_snapshot_put_cb callback) {
        v1::Snapshot snapshot;
        snapshot.set_index(from->index);
        snapshot.set_term(from->term);
        write_servers(from->configuration, *snapshot.mutable_server());
        snapshot.set_servers_index(from->configuration_index);
        for (unsigned i = 0; i < from->n_bufs; ++i)
            snapshot.mutable_data()->append(static_cast<const char*>(from->bufs[i].base), from->bufs[i].len);
        const bool good = owner.journal_.put_snapshot(snapshot, trailing);
        // Installed from the leader: what the journal had is gone, and what follows is behind the snapshot.
        if (good && trailing == 0) {
            owner.stored_.clear();
            next_index = from->index + 1;
        }
        answer(request, callback, good ? 0 : RAFT_NOSPACE);
        return 0;
    }

    int get_snapshot(raft_io_snapshot_get* request, raft_io_snapshot_get_cb callback) {
        const auto found = owner.journal_.snapshot();
        if (!found) return RAFT_NOTFOUND;
        auto* const snapshot = make_snapshot(*found);
        owner.due_.push_back([request, callback, snapshot] { callback(request, snapshot, 0); });
        return 0;
    }

    int put_vote(raft_term term, raft_id voted_for) {
        v1::Vote next;
        next.set_term(term);
        next.set_voted_for(voted_for);
        if (!owner.journal_.put_vote(next)) return RAFT_IOERR;
        vote = next;
        return 0;
    }

    int apply(const raft_buffer* buffer, void** result) {
        // Its version stops counting as stored and not agreed: the state knows it, or would not have it.
        if (!owner.stored_.empty()) owner.stored_.pop_front();
        v1::Command command;
        verdict = {};
        owner.log_bytes_ += buffer->len;
        if (command.ParseFromArray(buffer->base, static_cast<int>(buffer->len)))
            verdict = owner.agreed_.apply(command);
        *result = &verdict;
        raft_set_snapshot_threshold(&raft_, owner.entries_to_snapshot());
        return 0;
    }

    int save(raft_buffer** buffers, unsigned* count) {
        *count = 1;
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        (*buffers)[0] = make_buffer(owner.agreed_.save());
        owner.log_bytes_ = 0;
        owner.state_bytes_ = (*buffers)[0].len;
        return 0;
    }

    int restore(raft_buffer* buffer) {
        const std::string bytes(static_cast<const char*>(buffer->base), buffer->len);
        raft_free(buffer->base);
        owner.log_bytes_ = 0;
        owner.state_bytes_ = bytes.size();
        return owner.agreed_.load(bytes) ? 0 : RAFT_MALFORMED;
    }

    void set_up() {
        io.version = 1;
        io.impl = this;
        io.init = [](raft_io*, raft_id, const char*) { return 0; };
        io.close = [](raft_io* io, raft_io_close_cb callback) {
            Raw::of(io).owner.due_.push_back([io, callback] { callback(io); });
        };
        io.load = [](raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                     raft_index* first, raft_entry* entries[], std::size_t* count) {
            return Raw::of(io).load(term, voted_for, snapshot, first, entries, count);
        };
        io.start = [](raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
            auto& raw = Raw::of(io);
            raw.tick = tick;
            raw.receive = receive;
            raw.next_index = raft_last_index(&raw.raft_) + 1;
            return 0;
        };
        io.bootstrap = [](raft_io* io, const raft_configuration* configuration) {
            auto& raw = Raw::of(io);
            raft_buffer buffer{};
            if (const int bad = raft_configuration_encode(configuration, &buffer); bad != 0) return bad;
            v1::Entry entry;
            entry.set_term(1);
            entry.set_type(RAFT_CHANGE);
            entry.set_data(buffer.base, buffer.len);
            raft_free(buffer.base);
            if (const int bad = raw.put_vote(1, 0); bad != 0) return bad;
            return raw.owner.journal_.append(1, {entry}) ? 0 : RAFT_IOERR;
        };
        io.recover = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
        io.set_term = [](raft_io* io, raft_term term) { return Raw::of(io).put_vote(term, 0); };
        io.set_vote = [](raft_io* io, raft_id id) {
            auto& raw = Raw::of(io);
            return raw.put_vote(raw.vote.term(), id);
        };
        io.send = [](raft_io* io, raft_io_send* request, const raft_message* message,
                     raft_io_send_cb callback) {
            auto& raw = Raw::of(io);
            // libraft wants no answer where it tells another one to lead.
            if (callback != nullptr) raw.answer(request, callback, 0);
            // Whoever may have forgotten what it promised asks for no vote.
            if (message->type == RAFT_IO_REQUEST_VOTE && !raw.owner.has_voice_) return 0;
            raw.owner.outgoing_.emplace_back(message->server_id, write_message(*message));
            raw.owner.outgoing_.back().second.set_sender_term(raw.vote.term());
            return 0;
        };
        io.append = [](raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                       raft_io_append_cb callback) {
            return Raw::of(io).append(request, entries, count, callback);
        };
        io.truncate = [](raft_io* io, raft_index index) { return Raw::of(io).truncate(index); };
        io.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                             const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback) {
            return Raw::of(io).put_snapshot(trailing, request, snapshot, callback);
        };
        io.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb callback) {
            return Raw::of(io).get_snapshot(request, callback);
        };
        io.time = [](raft_io* io) { return static_cast<raft_time>(Raw::of(io).owner.now_); };
        io.random = [](raft_io* io, int least, int most) {
            return std::uniform_int_distribution<int>(least, most)(Raw::of(io).random);
        };
        fsm.version = 1;
        fsm.data = this;
        fsm.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void** result) {
            return Raw::of(fsm).apply(buffer, result);
        };
        fsm.snapshot = [](raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
            return Raw::of(fsm).save(buffers, count);
        };
        fsm.restore = [](raft_fsm* fsm, raft_buffer* buffer) { return Raw::of(fsm).restore(buffer); };
    }
};

}  // namespace brasslift::members
