// One member whole: its part in the agreement, its leases, publishing (docs/design/members.md). No I/O and no
// clock: frames, times and the compiler are told, so that the same code runs in the process and in the
// simulation. Times are milliseconds of a clock that also runs while the machine sleeps. One thread.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "members/consensus.hpp"
#include "members/shares.hpp"
#include "members/word.hpp"

namespace brasslift::members {

Id id_of(const std::string& name);
std::string text_of(std::uint64_t version);  // for people

struct Table {
    std::string cluster;
    std::vector<Peer> peers;  // all members, this one too
    double contradiction_ms = 3000;
    std::size_t most_rules_bytes = 256 * 1024;  // of one rule set; the log holds some dozens of them
    std::size_t most_part_bytes = 256 * 1024;   // of a list's change, in one entry of the log
    ListBounds lists;
    bool shares_list = false;  // what discovery says is passed on
    // What this program can apply; 0: an earlier one, without lists; 1: without divisions.
    std::uint32_t knows = 2;
};
constexpr std::uint32_t format_version = 1;

// Whether this member's program and platform can work with what is, or may come to be, agreed. Each answers
// empty where they can, else why not.
class Judge {
public:
    virtual ~Judge() = default;
    // Rules beside the lists that there are.
    virtual std::string rules(const v1::RuleSet& rules, const Lists& lists) = 0;
    // A change of a list beside the rules that there are; nullptr: none.
    virtual std::string change(const v1::ListChange& change, const v1::RuleSet* rules) = 0;
};

struct PublishEnd {
    v1::Came came = v1::UNKNOWN;
    std::uint64_t version = 0;
    std::string why;
};

class Member {
public:
    // `self` is one of the table's peers. Its folder's number tells it from another one that the same name
    // had before; `formed`: it has had a vote from the beginning.
    Member(const Table& table, Id self, Journal& journal, Judge& judge, std::uint64_t seed,
           std::uint64_t folder, bool formed);

    bool form() { return consensus_->form(table_.peers); }
    // False: `why()` says why the journal cannot be read.
    bool start(double now);
    const std::string& why() const { return consensus_->why(); }
    // At least every 50 ms, and whenever something was told.
    void tick(double now);
    void receive(Id from, const v1::Frame& frame, double now);
    std::vector<std::pair<Id, v1::Frame>> take_outgoing() { return std::exchange(outgoing_, {}); }
    // Before the process ends: someone else leads from now on, if anybody can.
    bool pass_on();

    // Whether this member may act on that version at this instant.
    bool may(std::uint64_t version, double now) const { return holder_.may(version, now); }
    // The version (the number of a publish) that it is to act on: the latest that it knows to be agreed, can
    // work with and has a lease for; it never goes back.
    std::uint64_t acting() const { return acting_; }
    const v1::Version* version(std::uint64_t number) const { return agreed_.find(number); }
    const Agreed& agreed() const { return agreed_; }
    double lease_until() const { return holder_.until(acting_); }

    // `base`: of rules, the number of those that they follow; a change says what it follows itself.
    void publish(v1::Version version, std::uint64_t base, std::function<void(PublishEnd)> told, double now);

    // Who is to have a vote from now on, by names; this member has to lead or know who does. Told as a
    // publish is, as soon as the goal is agreed; `voters()` says how far it has come.
    void set_voters(const std::vector<std::string>& names, std::function<void(PublishEnd)> told, double now);
    // Who has a vote as of what is agreed here.
    std::set<Id> voters() const;
    // Whether the goal is reached, as far as this member knows.
    bool voters_settled() const;

    // What clients ask of this member for each limit that is shared, as the rules that it acts on have them.
    void set_demands(std::vector<v1::Demand> demands);
    // The part of a shared limit that this member may use, in thousandths, while it may act at all; and how
    // often any of them has changed.
    std::uint32_t part(const std::string& limit) const;
    std::uint64_t part_changes() const { return part_changes_; }

    // What this member's own agent of discovery has said; the lines that are news here, which go on to the
    // others too.
    std::vector<v1::Host> heard_list(const v1::ListWord& word, double now);
    // News that came from others since the last time.
    std::vector<v1::Host> take_list_news() { return std::exchange(list_news_, {}); }
    const Word& word() const { return word_; }

    // What this member sees of another one.
    struct Sight {
        double heard_at = ages_ago;
        std::uint64_t acting = 0, applied = 0;
        std::string trouble;
        std::uint32_t knows = 0;
        std::uint64_t folder = 0, goals = 0;
        std::map<std::string, double> demands = {};
        bool formed = false;
    };
    const std::map<Id, Sight>& sights() const { return sights_; }
    const Table& table() const { return table_; }
    Id self() const { return self_; }
    Id leader() const { return consensus_->leader(); }
    bool leads() const { return consensus_->leads(); }
    const Consensus& consensus() const { return *consensus_; }
    // Why it had, the last time.
    const std::string& gave_up() const { return gave_up_; }
    std::uint64_t beginnings() const { return beginnings_; }  // of libraft, after it had given up
    // Whether it may vote and grant leases, where it is a voter: its folder is one that was agreed on, and so
    // has all that it ever promised.
    bool has_voice() const { return formed_; }
    // A voter that has none.
    bool lacks_voice() const { return voters().count(self_) != 0 && !has_voice(); }
    std::uint64_t term() const { return consensus_->term(); }
    std::uint64_t refused_renewals() const { return refused_renewals_; }
    const std::string& trouble() const { return trouble_; }

    // Faults that the simulation plants to see that its checker finds them; none in a process.
    struct Planted {
        bool grants_always = false, lease_from_answer = false, settles_at_once = false, trusts_echo = false,
             commits_older = false, keeps_term = false, grows_at_once = false;
    };
    void plant(const Planted& planted) {
        planted_ = planted;
        consensus_->trust_echo(planted.trusts_echo);
        consensus_->commit_older(planted.commits_older);
        consensus_->keep_term(planted.keeps_term);
    }

private:
    void send(Id to, v1::Frame frame);
    void on(Id from, const v1::Renew& renew);
    void on(Id from, const v1::Renewed& renewed);
    void on(Id from, const v1::Publishing& publishing);
    void on(Id from, const v1::Published& published);
    void on(Id from, const v1::Check& check);
    void on(Id from, const v1::Checked& checked);
    void on(Id from, const v1::ListWord& word);
    void on(Id from, const v1::AskWord& ask);
    void see_list(Id from, std::uint32_t rev);
    void move();
    void begin_again();
    void look_for_versions();
    void renew();
    void settle();
    void work_off();
    std::string judge(const v1::RuleSet& rules);
    std::string judge(const v1::ListChange& change);
    std::string judge(const v1::Version& version);
    std::string judge_agreed();
    const v1::RuleSet* rules_agreed() const;
    std::string unknowing() const;
    void begin_check();
    void propose();
    void propose_parts(v1::ListChange& change, const std::string& ticket);
    void ask_leader();
    void answer(Id to, const std::string& ticket, const PublishEnd& end);
    void end_job(const PublishEnd& end);
    void use_parts();
    void divide_limits();
    bool is_named() const;
    bool is_alive(Id id) const;
    bool would_hold(const std::set<Id>& roles, Id newest) const;
    void move_voters();
    std::uint64_t folder_of(const v1::Voters& voters, Id id) const;
    void propose_voters(const std::set<Id>& roles);
    std::set<Id> ids() const;

    Table table_;
    Id self_;
    std::set<Id> table_voters_;
    std::map<Id, std::string> names_;
    Terms terms_;
    Judge& judge_;
    std::uint64_t folder_;
    bool formed_;
    std::uint64_t nonce_;  // of this life
    Agreed agreed_;
    Journal& journal_;
    std::unique_ptr<Consensus> consensus_;
    Holder holder_;
    Settling settling_;
    double next_voters_ = 0, next_pass_ = 0, next_division_ = 0;
    std::vector<v1::Demand> demands_;
    std::map<std::string, std::uint32_t> parts_;  // where they are not equal
    std::uint64_t part_changes_ = 0;
    double now_ = 0, next_renewal_ = 0, next_settle_ = 0, next_beginning_ = 0;
    std::uint64_t beginnings_ = 0;
    std::string gave_up_;
    std::uint64_t acting_ = 0, asked_for_ = 0;
    std::uint64_t judged_ = 0, judged_rules_ = 0;  // the latest that were judged here, well or not
    std::string rules_trouble_, lists_trouble_;    // of these: why they cannot be worked with
    std::string trouble_;                          // why it cannot work with the latest
    std::uint64_t refused_renewals_ = 0;
    std::map<Id, Sight> sights_;
    Word word_;
    std::vector<v1::Host> list_news_;
    double next_ask_ = 0;
    std::vector<std::pair<Id, v1::Frame>> outgoing_;

    // This member's own publishes, on their way; by ticket.
    struct Asked {
        v1::Publishing publishing;
        std::function<void(PublishEnd)> told;
        double until = 0, next_try = 0;
        bool sent = false;
        std::optional<PublishEnd> end;
    };
    std::map<std::string, Asked> asked_;
    // The leader's one publish that is being worked off, and those that wait.
    struct Job {
        Id from = 0;
        v1::Publishing publishing;
        double until = 0;
        bool checks = false, proposed = false;
        std::set<Id> waits_for;
        double check_until = 0;
    };
    std::optional<Job> job_;
    std::vector<Job> jobs_;
    Planted planted_;
};

}  // namespace brasslift::members
