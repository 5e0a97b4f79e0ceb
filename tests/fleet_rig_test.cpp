// Real dispatchers under faults, on the rig: the members' hard cases one by one, and a thinned campaign.
// BRASSLIFT_FLEET_SEEDS says how many seeds of it; bench/README says how the long ones are run.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "lab/fleet.hpp"

namespace brasslift::test {
namespace {

using lab::Fleet;
using lab::FleetPlan;

FleetPlan plan_of(int dispatchers = 3) {
    FleetPlan plan;
    plan.program = BRASSLIFT_PROGRAM;
    plan.dispatchers = dispatchers;
    plan.voters = 3;
    return plan;
}

// Formed, started, and everybody has a lease.
struct Ready : Fleet {
    explicit Ready(const FleetPlan& plan) : Fleet(plan) {
        form_all();
        for (int i = 0; i < size(); ++i) start(i);
        EXPECT_TRUE(await([this] { return leader() >= 0 && all_ready(); }, 15000)) << log_of(0);
    }
    bool all_ready() {
        for (int i = 0; i < size(); ++i)
            if (ready(i) != "200 yes\n") return false;
        return true;
    }
    bool all_act_on(std::uint64_t version) {
        for (int i = 0; i < size(); ++i)
            if (acting(i) != version) return false;
        return true;
    }
    int other_than(int at) const { return at == 0 ? 1 : 0; }
};

TEST(FleetMembers, PublishTakesEffectEverywhereAndRollsBack) {
    Ready fleet(plan_of(4));  // the last one has no vote
    const auto first = fleet.publish(1, Fleet::rules_of(11));
    ASSERT_EQ(first.status, 200) << first.body;
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1); }, 3000));
    for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.probe(i), 11) << i;
    EXPECT_TRUE(fleet.await([&] { return fleet.settled(0) == 1; }, 3000));
    ASSERT_EQ(fleet.publish(3, Fleet::rules_of(12)).status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(2) && fleet.settled(0) == 2; }, 3000));
    ASSERT_EQ(fleet.call(0, "POST", "/rules/restore?version=1&who=lab").status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(3); }, 3000));
    EXPECT_EQ(fleet.probe(3), 11);
}

TEST(FleetMembers, ARuleSetThatCannotBeWorkedWithChangesNothingAnywhere) {
    Ready fleet(plan_of());
    const auto broken = fleet.publish(0, "route { name: \"r\" pool: \"nowhere\" }\n");
    EXPECT_EQ(broken.status, 409);
    EXPECT_NE(broken.body.find("rules.textproto:1:25: error: there is no pool"), std::string::npos)
        << broken.body;
    const auto foreign = fleet.publish(0, "store { durability: EACH }\n");
    EXPECT_NE(foreign.body.find("each dispatcher's own"), std::string::npos) << foreign.body;
    EXPECT_TRUE(fleet.all_act_on(0));
}

TEST(FleetMembers, TheLeaderKilledRightBehindTheCommitLosesNothing) {
    Ready fleet(plan_of());
    const int leader = fleet.leader();
    const int other = fleet.other_than(leader);
    ASSERT_EQ(fleet.publish(other, Fleet::rules_of(21)).status, 200);
    fleet.kill(leader);  // most likely before it is settled
    EXPECT_TRUE(fleet.await([&] { return fleet.acting(other) == 1; }, 5000));
    EXPECT_TRUE(fleet.await([&] { return fleet.settled(other) == 1; }, 8000)) << fleet.log_of(other);
    fleet.start(leader);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1); }, 8000)) << fleet.log_of(leader);
    EXPECT_EQ(fleet.publish(leader, Fleet::rules_of(22)).status, 200);
}

TEST(FleetMembers, AStoppedHolderWakesWithoutALeaseAndTurnsAwayUntilItHasOne) {
    Ready fleet(plan_of(4));
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(31)).status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1) && fleet.settled(0) == 1; }, 5000));
    fleet.stop(3);
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(32)).status, 200);
    fleet.run_for(3500);  // longer than any lease
    fleet.go_on(3);
    const int first = fleet.probe(3);
    EXPECT_TRUE(first == -1 || first == 32) << first;  // never the old rules
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == 32; }, 5000));
}

// Cut off from everybody, it acts on for a lease and then turns new work away, and says so.
TEST(FleetMembers, ACutOffMemberSaysThatItsLeaseHasEnded) {
    Ready fleet(plan_of(4));
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(41)).status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1); }, 3000));
    fleet.isolate(3, true);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == -1; }, 4000));
    EXPECT_NE(fleet.ready(3).find("no lease on version 1: new work is refused"), std::string::npos);
    EXPECT_EQ(fleet.probe(0), 41);
    fleet.isolate(3, false);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == 41; }, 5000));
}

// One that hears and is not heard has no lease either; one that is heard and does not hear neither.
TEST(FleetMembers, OneWayCutsEndALeaseToo) {
    Ready fleet(plan_of(4));
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(51)).status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1); }, 3000));
    for (int voter = 0; voter < 3; ++voter) fleet.cut(3, voter, true);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == -1; }, 4500));
    fleet.heal();
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == 51; }, 5000));
    for (int voter = 0; voter < 3; ++voter) fleet.cut(voter, 3, true);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(3) == -1; }, 4500));
}

TEST(FleetMembers, WithoutAMajorityNothingIsAgreedAndItComesBack) {
    Ready fleet(plan_of());
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(61)).status, 200);
    EXPECT_TRUE(fleet.await([&] { return fleet.all_act_on(1) && fleet.settled(0) == 1; }, 5000));
    fleet.kill(1);
    fleet.kill(2);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(0) == -1; }, 4500));
    EXPECT_EQ(fleet.publish(0, Fleet::rules_of(62)).status, 503);
    fleet.start(1);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(0) == 61; }, 9000)) << fleet.log_of(1);
}

// A voter that lost its folder neither votes nor grants, and says so; the others go on.
TEST(FleetMembers, AVoterWithAnEmptyFolderHasNoVoice) {
    Ready fleet(plan_of());
    fleet.kill(2);
    fleet.wipe(2);
    fleet.start(2);
    EXPECT_TRUE(
        fleet.await([&] { return fleet.ready(2).find("it has no voice") != std::string::npos; }, 5000));
    ASSERT_EQ(fleet.publish(0, Fleet::rules_of(71)).status, 200);
    // Two of three can agree; without the second there is no majority, whatever the third one would say.
    fleet.kill(1);
    EXPECT_TRUE(fleet.await([&] { return fleet.probe(0) == -1; }, 4500));
}

TEST(FleetMembers, TwentyPublishesUnderKillsEndOnOneVersion) {
    auto plan = plan_of(5);
    plan.publish_every_ms = 250;
    plan.fault_every_ms = 0;
    plan.faults_ms = 6000;
    Fleet fleet(plan);
    int step = 0;
    const auto end = fleet.play([&](Fleet& f) {
        if (f.now() > 2500 + 1200 * step && step < 3) f.kill(step++);
    });
    EXPECT_EQ(end.broken, std::vector<std::string>());
    EXPECT_GT(end.published, 3);
}

TEST(FleetMembers, AThinnedCampaign) {
    const char* const more = std::getenv("BRASSLIFT_FLEET_SEEDS");
    const auto seeds = more == nullptr ? 2ULL : std::strtoull(more, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto plan = plan_of(5);
        plan.seed = seed;
        plan.faults_ms = 6000;
        const auto end = Fleet(plan).play();
        EXPECT_EQ(end.broken, std::vector<std::string>()) << "seed " << seed;
        EXPECT_GT(end.taken, 100U);
    }
}

// With leases that nothing ends, the checker finds what they are for.
TEST(FleetMembers, WithoutLeasesTheCheckerFindsAContradiction) {
    auto plan = plan_of(4);
    plan.leases = false;
    plan.fault_every_ms = 0;
    plan.publish_every_ms = 1000;
    plan.faults_ms = 9000;
    Fleet fleet(plan);
    bool cut = false;
    const auto end = fleet.play([&](Fleet& f) {
        if (!cut && f.now() > 3500) cut = true, f.isolate(3, true);
    });
    ASSERT_FALSE(end.broken.empty());
    EXPECT_NE(end.broken.front().find("rules that contradict each other"), std::string::npos)
        << end.broken.front();
}

}  // namespace
}  // namespace brasslift::test
