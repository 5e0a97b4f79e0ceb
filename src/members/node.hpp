// A member on sockets: an actor for each peer, a listener for their calls, and the loop's time. What the
// member decides is Member's; nothing is decided here. One thread.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "client/caller.hpp"
#include "http/parser.hpp"
#include "members/journal.hpp"
#include "members/member.hpp"
#include "runtime/socket.hpp"

namespace brasslift::members {

// Milliseconds of a clock that no step of the wall clock moves and that runs while the machine sleeps.
double boot_now();

// Frames on their way to one peer, in order. What finds no room or no peer is dropped: whoever sent it sends
// again by its own rule.
class PeerLink {
public:
    PeerLink(runtime::Scheduler& scheduler, runtime::Address address);
    void put(const v1::Frame& frame);
    // `head`: the envelope that each call begins with. Told of an answer's status; 0: there was none.
    runtime::Task<void> run(v1::Envelope head, std::function<void(int)> answered);

private:
    runtime::Scheduler& scheduler_;
    runtime::Address address_;
    runtime::Waker waker_;
    client::Caller caller_;
    std::deque<v1::Frame> frames_;
    std::size_t bytes_ = 0;
};

class Node {
public:
    struct Setup {
        Table table;
        std::map<Id, runtime::Address> addresses;  // of all members; this one's is listened on
        Id self = 0;
        std::uint64_t seed = 1;
    };
    // The judge outlives it.
    Node(runtime::Scheduler& scheduler, Setup setup, StoreJournal& journal, Judge& judge);

    // False: `why()`.
    bool begin();
    const std::string& why() const { return why_; }
    // Told whenever the member is to act on another version: the one before (0: none) and that one, which is
    // the current one of what is agreed.
    using Act = std::function<void(std::uint64_t from, std::uint64_t to)>;
    void acts_by(Act act) { act_ = std::move(act); }
    // Told whenever this member's parts of shared limits have changed.
    void share_by(std::function<void()> share) { share_ = std::move(share); }
    // What this member's own agent of discovery has said; what of it is news here. Told whenever others bring
    // news.
    std::vector<v1::Host> heard_list(const v1::ListWord& word);
    using HearList = std::function<void(const std::vector<v1::Host>&, std::uint32_t rev)>;
    void hear_list_by(HearList hear) { hear_list_ = std::move(hear); }

    bool may(std::uint64_t version) const { return member_.may(version, boot_now()); }
    Member& member() { return member_; }
    const Member& member() const { return member_; }
    // A publish from here on, and its end.
    runtime::Task<PublishEnd> publish(v1::Version version, std::uint64_t base);
    // Who is to have a vote; its end is that this is agreed, not that it has come about.
    runtime::Task<PublishEnd> set_voters(std::vector<std::string> names);
    // Planted by the lab, as where a network is parted; nobody in a dispatcher. Nothing is said to these any
    // more, and their calls are not answered.
    void part_from(std::set<Id> peers) { parted_ = std::move(peers); }

    struct Figures {
        std::uint64_t refused_calls = 0, other_cluster = 0, other_format = 0, strangers = 0, doubles = 0;
    };
    const Figures& figures() const { return figures_; }

private:
    struct Connection;
    struct End;
    runtime::Task<PublishEnd> end_of(std::shared_ptr<End> end);
    runtime::Task<void> run();
    runtime::Task<void> listen();
    runtime::Task<void> serve(std::shared_ptr<Connection> connection);
    int take(const http::Message& request);
    bool known_life(const v1::Envelope& envelope);
    void after();

    runtime::Scheduler& scheduler_;
    Setup setup_;
    StoreJournal& journal_;
    Member member_;
    runtime::Waker waker_, listen_waker_;
    runtime::Socket listener_;
    std::map<Id, std::unique_ptr<PeerLink>> links_;
    std::list<std::shared_ptr<Connection>> connections_;
    Act act_;
    HearList hear_list_;
    std::function<void()> share_;
    std::uint64_t told_parts_ = 0;
    std::uint64_t told_ = 0;  // the version that was last acted by
    struct Life {
        std::uint64_t folder = 0, life = 0;
        double heard_at = 0;
    };
    std::map<Id, Life> lives_;
    std::set<Id> parted_;
    Figures figures_;
    std::string why_;
    bool told_double_ = false, told_lease_ = true;
};

}  // namespace brasslift::members
