// Hollow members beside real ones: what they say on the wire, how they lose and regain leases, and the
// members' axis at a small size.
#include <gtest/gtest.h>

#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>

#include "http/writer.hpp"
#include "lab/fleet.hpp"
#include "lab/member_fleet.hpp"
#include "lab/peers.hpp"
#include "lab/process.hpp"
#include "lab/scale.hpp"
#include "lab/site.hpp"
#include "members/member.hpp"
#include "memory_journal.hpp"

namespace brasslift::test {
namespace {

namespace fs = std::filesystem;
namespace v1 = members::v1;
using lab::MemberFleet;

// A member that is no voter, and the three voters, whose part is played by script: each run of it says the
// same to the member, at the same points of what the member has said.
class Conversation {
public:
    static constexpr int voters = 3;

    explicit Conversation(bool hollow) {
        folder_ = (fs::temp_directory_path() / "brasslift-wire-XXXXXX").string();
        if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder");
        fs::create_directories(folder_ + "/state");
        const auto port = lab::free_port(lab::own_host());
        address_ = lab::local(port);
        std::string members;
        for (int i = 0; i < voters; ++i) {
            heard_.emplace_back();
            voters_.push_back(std::make_unique<lab::Party>(
                scheduler_, [this, i](const http::Message& request) { return hear(i, request); }));
            members += member(name_of(i), voters_.back()->port(), true);
        }
        members += member("m", port, false);
        std::ofstream(folder_ + "/operator.textproto")
            << "members {\n  cluster: \"lab\"\n  contradiction: \"3s\"\n" + members + "}\n";
        discovery_ = std::make_unique<lab::Party>(scheduler_, [](const http::Message&) {
            lab::Party::Reply reply;
            reply.status = -1;
            return reply;
        });
        start(hollow);
    }
    ~Conversation() {
        process_.kill();
        scheduler_.drop_tasks();
        std::error_code error;
        fs::remove_all(folder_, error);
    }
    Conversation(const Conversation&) = delete;
    Conversation& operator=(const Conversation&) = delete;

    // Plays the script; false: the member did not say what it goes on from.
    bool play();
    // What each voter heard: heads with the envelopes' own fields, renewals, and all other frames. Of heads
    // and renewals, equal ones one after the other count as one, since how many there are is a matter of
    // time.
    struct Heard {
        std::vector<std::string> heads, renewals, others;
        v1::Renew latest;
    };
    const Heard& heard(int at) const { return heard_[static_cast<std::size_t>(at)]; }

private:
    static std::string name_of(int voter) { return "v" + std::to_string(voter); }
    static std::string member(const std::string& name, std::uint16_t port, bool votes) {
        return "  member { name: \"" + name + "\" address: \"" + lab::local_text(port) +
               "\" voter: " + (votes ? "ON" : "OFF") + " }\n";
    }
    static void note(std::vector<std::string>& into, std::string text) {
        if (into.empty() || into.back() != text) into.push_back(std::move(text));
    }

    void start(bool hollow) {
        const auto operators = folder_ + "/operator.textproto";
        if (hollow) {
            const auto program = (fs::path(BRASSLIFT_PROGRAM).parent_path() / "brasslift-hollow").string();
            process_.start({program, operators, folder_, "0", "m"}, {}, folder_ + "/log");
            return;
        }
        lab::Site site;
        site.name = "m";
        site.discovery = lab::local_text(discovery_->port());
        site.hosts = {{"s-1", site.discovery, 1}};
        site.disk_mb = 40;
        std::ofstream(folder_ + "/config.json") << lab::site_config(site);
        process_.start({BRASSLIFT_PROGRAM, "serve", "--operator", operators},
                       {{"PROXY_NAME", "m"},
                        {"PROXY_LISTEN", lab::local_text(lab::free_port(lab::own_host()))},
                        {"PROXY_DISCOVERY", site.discovery},
                        {"PROXY_STATE", folder_ + "/state"},
                        {"PROXY_CONFIG", folder_ + "/config.json"},
                        {"TMPDIR", folder_}},
                       folder_ + "/log");
    }

    // What is each process's own, or a time, is left out: the folder's number, the nonce, the ask's instant.
    lab::Party::Reply hear(int at, const http::Message& request) {
        auto& heard = heard_[static_cast<std::size_t>(at)];
        lab::Party::Reply reply;
        reply.status = 204;
        v1::Envelope envelope;
        if (!envelope.ParseFromString(request.body)) {
            note(heard.heads, "not an envelope");
            return reply;
        }
        for (auto frame : envelope.frame()) {
            if (!frame.has_renew()) {
                heard.others.push_back(frame.ShortDebugString());
                continue;
            }
            heard.latest = frame.renew();
            auto& renew = *frame.mutable_renew();
            EXPECT_NE(renew.folder(), 0U);
            EXPECT_NE(renew.nonce(), 0U);
            renew.clear_folder();
            renew.clear_nonce();
            renew.clear_asked();
            note(heard.renewals, frame.ShortDebugString());
        }
        envelope.clear_frame();
        envelope.clear_folder();
        auto head = request.method + ' ' + request.target;
        const auto* const host = request.headers.find("Host");
        head += ", " + std::to_string(request.headers.size()) + " headers, Host " + (host ? *host : "none");
        note(heard.heads, head + ' ' + envelope.ShortDebugString());
        return reply;
    }

    bool await(const std::function<bool()>& yes) {
        const auto until = runtime::steady_now() + 20000;
        while (!yes() && runtime::steady_now() < until) scheduler_.run_until(runtime::steady_now() + 5);
        return yes();
    }
    runtime::Task<void> send(std::string request, std::shared_ptr<int> status) {
        auto asking = lab::ask_once(scheduler_, address_, std::move(request), 5000);
        const auto answer = co_await asking;
        *status = answer.status == 0 ? -1 : answer.status;
    }
    // One call of a voter's with that frame; its answer.
    int say(int voter, const v1::Frame& frame) {
        v1::Envelope envelope;
        envelope.set_cluster("lab");
        envelope.set_format(members::format_version);
        envelope.set_from(members::id_of(name_of(voter)));
        envelope.set_to(members::id_of("m"));
        envelope.set_folder(1);
        envelope.set_life(1);
        *envelope.add_frame() = frame;
        const auto status = std::make_shared<int>(0);
        scheduler_.spawn(send(http::write_request("POST", "/members/frames", {{"Host", "members"}},
                                                  envelope.SerializeAsString()),
                              status));
        await([&] { return *status != 0; });
        return *status;
    }
    // The leader's log from one entry on, and up to where it is agreed; the answer is waited for.
    bool append(std::uint64_t previous, const std::vector<v1::Entry>& entries, std::uint64_t commit) {
        constexpr std::uint32_t append_entries = 1;  // libraft's RAFT_IO_APPEND_ENTRIES
        v1::Frame frame;
        auto& raft = *frame.mutable_raft();
        raft.set_type(append_entries);
        raft.set_term(1);
        raft.set_sender_term(1);
        raft.set_previous_index(previous);
        raft.set_previous_term(previous == 0 ? 0 : 1);
        raft.set_commit(commit);
        for (const auto& entry : entries) *raft.add_entry() = entry;
        return answered_by(0, frame);
    }
    // Said by that voter, and answered to it by a frame of another kind than renewals.
    bool answered_by(int voter, const v1::Frame& frame) {
        const auto before = heard(voter).others.size();
        return say(voter, frame) == 204 && await([&] { return heard(voter).others.size() > before; });
    }
    // All voters say yes to the version that the member asks for, and hear that it acts on it.
    bool grant(std::uint64_t version) {
        const auto all = [&](const std::function<bool(const v1::Renew&)>& yes) {
            return await([&] {
                return std::all_of(heard_.begin(), heard_.end(),
                                   [&](const Heard& h) { return yes(h.latest); });
            });
        };
        if (!all([&](const v1::Renew& r) { return r.version() == version && r.applied() == version; }))
            return false;
        for (int i = 0; i < voters; ++i) {
            v1::Frame frame;
            auto& renewed = *frame.mutable_renewed();
            renewed.set_version(version);
            renewed.set_asked(heard(i).latest.asked());
            renewed.set_nonce(heard(i).latest.nonce());
            renewed.set_latest(version);
            renewed.set_granted(true);
            if (say(i, frame) != 204) return false;
        }
        return all([&](const v1::Renew& r) { return r.acting() == version; });
    }
    // Who the members are, as the voters' first entry has it.
    static v1::Entry first_entry() {
        struct Yes : members::Judge {
            std::string rules(const v1::RuleSet&, const members::Lists&) override { return {}; }
            std::string change(const v1::ListChange&, const v1::RuleSet*) override { return {}; }
        } judge;
        MemoryJournal journal;
        members::Table table;
        table.cluster = "lab";
        for (int i = 0; i < voters; ++i)
            table.peers.push_back({members::id_of(name_of(i)), name_of(i), true});
        table.peers.push_back({members::id_of("m"), "m", false});
        members::Member member(table, members::id_of("v0"), journal, judge, 1, 1, true);
        EXPECT_TRUE(member.form());
        members::Journal::Saved saved;
        journal.load(saved);
        return saved.entries.at(0);
    }
    static v1::Entry entry_of(const v1::Command& command) {
        v1::Entry entry;
        entry.set_term(1);
        entry.set_type(1);  // libraft's RAFT_COMMAND
        entry.set_data(command.SerializeAsString());
        return entry;
    }

    std::string folder_;
    runtime::Scheduler scheduler_;
    runtime::Address address_;
    std::vector<Heard> heard_;
    std::vector<std::unique_ptr<lab::Party>> voters_;
    std::unique_ptr<lab::Party> discovery_;
    lab::Process process_;
};

v1::Command publish_of(std::uint64_t number, const char* ticket) {
    v1::Command command;
    auto& publish = *command.mutable_publish();
    publish.set_number(number);
    publish.mutable_version()->set_ticket(ticket);
    publish.mutable_version()->set_who("ann");
    return command;
}

v1::Command settle_of(std::uint64_t number) {
    v1::Command command;
    command.mutable_settle()->set_version(number);
    return command;
}

bool Conversation::play() {
    if (!await([&] {
            return std::all_of(heard_.begin(), heard_.end(),
                               [](const Heard& h) { return h.latest.knows() > 0; });
        }))
        return false;
    // Rules that it is asked about, that are agreed, that it acts on and that are settled.
    v1::RuleSet rules;
    auto& file = *rules.add_file();
    file.set_path("rules.textproto");
    file.set_text(lab::Fleet::rules_of(11) + "list { name: \"shut\" holds: DESTINATIONS_SHUT }\n");
    v1::Frame check;
    check.mutable_check()->set_ticket("t1");
    *check.mutable_check()->mutable_rules() = rules;
    auto first = publish_of(1, "t1");
    *first.mutable_publish()->mutable_version()->mutable_rules() = rules;
    if (!append(0, {first_entry()}, 0) || !answered_by(0, check) || !append(1, {entry_of(first)}, 1) ||
        !append(2, {}, 2) || !grant(1) || !append(2, {entry_of(settle_of(1))}, 2) || !append(3, {}, 3))
        return false;
    // A change of a list, alike.
    v1::ListChange change;
    change.set_name("shut");
    change.set_kind(1);  // DESTINATIONS_SHUT
    change.set_version(1);
    change.add_put()->set_key("17");
    check.mutable_check()->set_ticket("t2");
    *check.mutable_check()->mutable_change() = change;
    check.mutable_check()->clear_rules();
    auto second = publish_of(2, "t2");
    *second.mutable_publish()->mutable_version()->mutable_change() = change;
    if (!answered_by(0, check) || !append(3, {entry_of(second)}, 3) || !append(4, {}, 4) || !grant(2))
        return false;
    // Entries that do not follow what it has; a voter's ask for its vote, which it has none of; and a last
    // question, so that what it says to these would have come.
    v1::Frame vote;
    auto& ask = *vote.mutable_raft();
    ask.set_type(3);  // libraft's RAFT_IO_REQUEST_VOTE
    ask.set_term(1);
    ask.set_sender_term(1);
    ask.set_candidate(members::id_of("v1"));
    ask.set_last_index(4);
    ask.set_last_term(1);
    return append(40, {}, 4) && say(1, vote) == 204 && answered_by(1, check);
}

// Kind by kind, since a renewal may come before or after another frame.
TEST(HollowMembers, SayOnTheWireWhatARealOneSays) {
    Conversation real(false), hollow(true);
    ASSERT_TRUE(real.play());
    ASSERT_TRUE(hollow.play());
    for (int i = 0; i < Conversation::voters; ++i) {
        EXPECT_EQ(real.heard(i).heads, hollow.heard(i).heads) << i;
        EXPECT_EQ(real.heard(i).renewals, hollow.heard(i).renewals) << i;
        EXPECT_EQ(real.heard(i).others, hollow.heard(i).others) << i;
        EXPECT_EQ(real.heard(i).heads.size(), 1U);
        EXPECT_GE(real.heard(i).renewals.size(), 5U);  // on 0, asking for 1, on 1, asking for 2, on 2
    }
    EXPECT_EQ(real.heard(0).others.size(), 10U);  // to eight calls with entries and two checks
    EXPECT_EQ(real.heard(1).others.size(), 1U);
}

MemberFleet::Plan plan_of_members(int members) {
    MemberFleet::Plan plan;
    plan.program = BRASSLIFT_PROGRAM;
    plan.members = members;
    plan.voters = 3;
    return plan;
}

// Up, with a leader and all leases; publishes come from its leader.
struct ReadyMembers : MemberFleet {
    explicit ReadyMembers(int members) : MemberFleet(plan_of_members(members)) {
        start_all();
        EXPECT_TRUE(await([&] { return (led_by = leader()) >= 0; }, 20000)) << log_of(0);
        EXPECT_TRUE(await([&] { return all_leased(); }, 20000)) << log_of(0);
        watch(true);
    }
    int led_by = -1;
};

TEST(HollowMembers, ActOnWhatIsPublishedBesideRealOnes) {
    ReadyMembers fleet(16);
    EXPECT_EQ(fleet.real(), 6);
    EXPECT_EQ(fleet.groups(), 10);
    const auto version = MemberFleet::version_in(fleet.publish(fleet.led_by));
    ASSERT_EQ(version, 1U);
    EXPECT_EQ(fleet.active_at(version + 1, MemberFleet::all_zones()), 0);
    EXPECT_TRUE(fleet.await([&] { return fleet.active_at(version, MemberFleet::all_zones()) > 0; }, 10000));
    EXPECT_TRUE(fleet.await([&] { return fleet.settled_at(fleet.led_by, version) > 0; }, 10000));
    EXPECT_EQ(fleet.burst(fleet.led_by), MemberFleet::lists);
    EXPECT_EQ(fleet.agreed(fleet.led_by), version + MemberFleet::lists);
}

// The voters of two zones are a majority of three; the third zone's and all beside it lose their leases.
TEST(HollowMembers, LoseTheirLeasesWhereTheyArePartedFromTheMajority) {
    ReadyMembers fleet(16);
    fleet.look_anew();
    EXPECT_EQ(fleet.gaps().without_ever, 0);
    const int away = fleet.led_by == 2 ? 1 : 2;
    fleet.part({away, 4});
    // Three real ones and ten hollow ones are spread over five zones: two real and four hollow ones are away.
    EXPECT_TRUE(fleet.await([&] { return fleet.gaps().without_now == 6; }, 10000))
        << fleet.gaps().without_now;
    const auto version = MemberFleet::version_in(fleet.publish(fleet.led_by));
    EXPECT_GT(version, 0U);
    std::set<int> hearing = MemberFleet::all_zones();
    hearing.erase(away);
    hearing.erase(4);
    EXPECT_TRUE(fleet.await([&] { return fleet.active_at(version, hearing) > 0; }, 10000));
    EXPECT_EQ(fleet.active_at(version, MemberFleet::all_zones()), 0);
    fleet.part({});
    EXPECT_TRUE(fleet.await([&] { return fleet.active_at(version, MemberFleet::all_zones()) > 0; }, 20000));
    EXPECT_TRUE(fleet.await([&] { return fleet.all_leased(); }, 20000));
    const auto gaps = fleet.gaps();
    EXPECT_EQ(gaps.members, 16);
    EXPECT_EQ(gaps.without_ever, 6);
    EXPECT_GT(gaps.longest_ms, 0);
}

// A process that starts again is the same members: their folders outlast it, so nobody takes them for
// doubles.
TEST(HollowMembers, ComeBackAfterAKillUnderTheirOwnNames) {
    ReadyMembers fleet(16);
    const auto version = MemberFleet::version_in(fleet.publish(fleet.led_by));
    ASSERT_GT(version, 0U);
    fleet.look_anew();
    fleet.kill_group(3);
    EXPECT_FALSE(fleet.group_runs(3));
    fleet.start_group(3);
    EXPECT_TRUE(fleet.await([&] { return fleet.active_at(version, MemberFleet::all_zones()) > 0; }, 20000));
    EXPECT_TRUE(fleet.await([&] { return fleet.all_leased(); }, 20000));
    const auto gaps = fleet.gaps();
    EXPECT_EQ(gaps.without_ever, 1);
    EXPECT_GT(gaps.longest_ms, 0);
}

lab::ScaleOptions scale_of(std::vector<double> sizes) {
    lab::ScaleOptions options;
    options.program = BRASSLIFT_PROGRAM;
    options.sizes = std::move(sizes);
    options.seconds = 1;
    return options;
}

std::string refusal_of(const lab::ScaleOptions& options) {
    try {
        run_members(options);
    } catch (const std::runtime_error& fault) {
        return fault.what();
    }
    return "ran";
}

TEST(ScaleMembers, RefusesWhatDoesNotFitAndSaysWhatWould) {
    EXPECT_EQ(refusal_of(scale_of({5, 1200})), "1200 members do not fit; 1000 would");
    EXPECT_EQ(refusal_of(scale_of({4})), "4 members: the voters are among them; 5 would fit");
    auto options = scale_of({860});
    options.room.memory_bytes = 1'000'000'000;
    EXPECT_EQ(refusal_of(options), "860 members do not fit; 516 would");
    options.room.memory_bytes = 0;
    options.room.processes = 12;
    EXPECT_EQ(refusal_of(options), "the members' axis takes 19 processes, and 12 may run");
    options.voters = 7;
    EXPECT_EQ(refusal_of(options), "7 voters: the operators' file has 3 or 5; 5 would fit");
}

double measure_of(const lab::Point& point, const std::string& name) {
    for (const auto& measure : point.measures)
        if (measure.name == name) return measure.value;
    ADD_FAILURE() << name << " was not measured";
    return -1;
}

TEST(ScaleMembers, MeasureASmallSizeAtRestUnderPublishesAndUnderFaults) {
    auto options = scale_of({10});
    options.voters = 3;
    options.command = "as a test";
    const auto run = lab::run_members(options);
    EXPECT_EQ(run.axis, "members");
    EXPECT_EQ(run.command, "as a test");
    ASSERT_EQ(run.points.size(), 1U);
    const auto& point = run.points.front();
    EXPECT_EQ(point.size, 10);
    EXPECT_EQ(point.note, "");
    for (const std::string role : {"leader_", "voter_", "dispatcher_"}) {
        EXPECT_GT(measure_of(point, role + "cpu_percent"), 0) << role;
        EXPECT_GT(measure_of(point, role + "resident_mb"), 1) << role;
        EXPECT_GT(measure_of(point, role + "bytes_per_s"), 100) << role;
        EXPECT_GT(measure_of(point, role + "descriptors"), 10) << role;
    }
    // A leader says something to all nine others, a dispatcher to the three voters.
    EXPECT_GT(measure_of(point, "leader_bytes_per_s"), measure_of(point, "dispatcher_bytes_per_s"));
    EXPECT_GT(measure_of(point, "publish_active_p50_ms"), 0);
    EXPECT_GT(measure_of(point, "publish_settled_p50_ms"), 0);
    EXPECT_EQ(measure_of(point, "burst_agreed_share"), 1);
    for (const std::string fault : {"voter_killed_", "leader_killed_", "tenth_restarted_", "zone_gone_"}) {
        EXPECT_GT(measure_of(point, fault + "publish_active_ms"), 0) << fault;
        EXPECT_GE(measure_of(point, fault + "no_lease_share"), 0) << fault;
    }
    // Two zones of five, with a voter, a dispatcher and two hollow members or one less.
    EXPECT_GE(measure_of(point, "halves_parted_no_lease_share"), 0.2);
    EXPECT_LT(measure_of(point, "halves_parted_no_lease_share"), 0.5);
    EXPECT_GT(measure_of(point, "halves_parted_no_lease_longest_ms"), 0);
}

}  // namespace
}  // namespace brasslift::test
