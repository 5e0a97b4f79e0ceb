// Raft, by libraft's core, behind a C++ face. No I/O and no clock: time is told, what must outlast the
// process goes through a Journal, and messages are taken from it and given to it. One thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "members/agreed.hpp"
#include "members/leases.hpp"

struct raft_message;

namespace brasslift::members {

struct Peer {
    Id id = 0;
    std::string name;
    bool voter = false;
};

// What of Raft must outlast a process. What answers true has lasted, as far as the journal's owner asks for.
class Journal {
public:
    struct Saved {
        v1::Vote vote;
        std::optional<v1::Snapshot> snapshot;
        std::uint64_t first = 1;  // the index of the first entry
        std::vector<v1::Entry> entries;
    };
    virtual ~Journal() = default;
    virtual bool load(Saved& into) = 0;
    virtual bool put_vote(const v1::Vote& vote) = 0;
    virtual bool append(std::uint64_t index, const std::vector<v1::Entry>& entries) = 0;
    // Entries from that index on have never been.
    virtual bool truncate(std::uint64_t index) = 0;
    // The snapshot stands for everything up to its index; so many entries before it stay all the same.
    // 0: every entry goes, later ones too.
    virtual bool put_snapshot(const v1::Snapshot& snapshot, std::uint64_t trailing) = 0;
    virtual std::optional<v1::Snapshot> snapshot() = 0;
    // This folder has a voice from now on, and for as long as it is there.
    virtual bool mark_formed() = 0;
};

struct RaftTimes {
    unsigned election_ms = 900, heartbeat_ms = 150;
};

// A log that is at least so large becomes a snapshot once it is as large as the state.
constexpr std::size_t least_log_bytes = 64 << 10;

class Consensus {
public:
    // How a proposal came out: `done` with what the state made of it; `not_leader`: nothing was proposed;
    // `lost`: it may or may not come to be agreed.
    enum class Came { done, not_leader, lost };
    using Told = std::function<void(Came, const Agreed::Verdict&)>;

    Consensus(Id self, std::string name, Journal& journal, Agreed& agreed, std::uint64_t seed,
              const RaftTimes& times = {});
    ~Consensus();
    Consensus(const Consensus&) = delete;
    Consensus& operator=(const Consensus&) = delete;

    // Writes the first entry of a journal that has none; once in a voter's life. False: it has some.
    bool form(const std::vector<Peer>& peers);
    // Reads the journal. False: `why()` says why not.
    bool start(double now);
    void tick(double now);
    void receive(Id from, const std::string& from_name, const v1::Raft& message, double now);
    std::vector<std::pair<Id, v1::Raft>> take_outgoing();

    void propose(const v1::Command& command, Told told);
    // Whether this process votes and asks for votes; without, it follows the log alone.
    void give_voice(bool has) { has_voice_ = has; }
    // Who has a vote by Raft's own configuration; nothing while a change of it is not agreed yet, or this
    // leader has agreed on nothing in its term.
    std::optional<std::set<Id>> roles() const;
    // Whether somebody whom this leader has brought so far has lost what it had: libraft 0.15 takes its
    // refusals for old ones and sends it nothing any more. Another leader finds out anew where it stands.
    bool has_lost_follower() const { return leads() && lost_term_ == term(); }
    // Asks for one voter more or one less.
    void assign(Id id, bool votes);
    // The leadership goes to that one, if it gets so far in time; false: there is nothing to pass on.
    bool pass_on(Id to);

    // Planted by the simulation: answers, and what a new leader takes for agreed, as libraft 0.15 has them
    // (see receive() and begin_term()).
    void trust_echo(bool trusts) { trusts_echo_ = trusts; }
    void commit_older(bool commits) { commits_older_ = commits; }
    void keep_term(bool keeps) { keeps_term_ = keeps; }

    bool leads() const;
    Id leader() const;  // 0: none is known
    std::uint64_t term() const;
    std::uint64_t last_applied() const;
    // The latest version that this journal has stored, agreed or not.
    std::uint64_t latest_stored() const;
    const std::string& why() const { return why_; }
    // libraft has given up on itself, after a fault that it takes for none to go on from; it says why.
    bool given_up() const;
    std::string fault() const;

private:
    struct Raw;  // libraft's own, kept out of the headers
    friend struct Raw;
    void flush();
    void begin_term();
    void watch_follower(Id from, const v1::Raft& message);
    void catch_up_with_term(const v1::Raft& message, ::raft_message& raw);
    unsigned entries_to_snapshot() const;
    void note_stored(std::uint64_t index, const v1::Entry& entry);

    struct Stored {
        std::uint64_t index = 0, version = 0;  // 0: an entry that publishes nothing
    };
    Agreed& agreed_;
    Journal& journal_;
    std::size_t log_bytes_ = 0, state_bytes_ = 0;  // applied since the last snapshot; of that one
    std::deque<Stored> stored_;                    // commands that are not applied yet, by index
    std::vector<std::pair<Id, v1::Raft>> outgoing_;
    std::deque<std::function<void()>> due_;
    std::string why_;
    double now_ = 0;
    bool started_ = false, trusts_echo_ = false, commits_older_ = false, keeps_term_ = false;
    bool has_voice_ = true, changing_ = false;
    std::map<Id, std::uint64_t> acknowledged_;  // in this term of its own leadership
    std::uint64_t lost_term_ = 0;
    std::uint64_t own_term_ = 0, own_first_ = 0;  // of its own leadership, and its first entry there
    std::unique_ptr<Raw> raw_;
};

}  // namespace brasslift::members
