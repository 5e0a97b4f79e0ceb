// Agreement, leases and publishing under seeded faults, and planted bugs that the checker has to find.
// BRASSLIFT_MEMBERS_SEEDS says how many seeds; bench/members_sim plays very many.
#include <gtest/gtest.h>

#include <cstdlib>

#include "members/leases.hpp"
#include "members_world.hpp"

namespace brasslift::test {
namespace {

std::uint64_t seeds() {
    const char* const more = std::getenv("BRASSLIFT_MEMBERS_SEEDS");
    return more == nullptr ? 24 : std::strtoull(more, nullptr, 10);
}

std::uint64_t first_seed() {
    const char* const first = std::getenv("BRASSLIFT_MEMBERS_FIRST");
    return first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
}

TEST(MembersWorld, HoldsItsRulesUnderFaults) {
    int published = 0, kills = 0;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + seeds(); ++seed) {
        WorldPlan plan;
        plan.seed = seed;
        plan.voters = seed % 3 == 0 ? 5 : 3;
        plan.wipes = seed % 4 == 0;
        const auto end = play_world(plan);
        ASSERT_EQ(end.broken, "");
        published += end.published;
        kills += end.kills;
    }
    EXPECT_GT(published, static_cast<int>(seeds()));
    EXPECT_GT(kills, static_cast<int>(seeds()));
}

TEST(MembersWorld, AgreesFastWithoutFaults) {
    WorldPlan plan;
    plan.faults = false;
    plan.loss = plan.twice = 0;
    plan.slowest_ms = 5;
    const auto end = play_world(plan);
    EXPECT_EQ(end.broken, "");
    EXPECT_GT(end.published, 10);
    EXPECT_EQ(end.unknown, 0);
    EXPECT_LT(end.longest_contradiction_ms, 300);
}

// What the checker must find, it finds.
std::string found_with(WorldPlan plan, std::uint64_t most) {
    for (plan.seed = 1; plan.seed <= most; ++plan.seed) {
        if (auto broken = play_world(plan).broken; !broken.empty()) return broken;
    }
    return "";
}

TEST(MembersWorld, FindsLeasesThatNoVoterRefuses) {
    WorldPlan plan;
    plan.publish_every_ms = 400;
    plan.planted.grants_always = true;
    EXPECT_NE(found_with(plan, 40).find("are acted on for"), std::string::npos);
}

// libraft 0.15 as it is: found by the 2,461st schedule.
TEST(MembersWorld, FindsEntriesThatAreCountedAsStoredAndAreNot) {
    WorldPlan plan;
    plan.seed = 2461;
    plan.planted.trusts_echo = true;
    EXPECT_NE(play_world(plan).broken.find("contradicts what it had taken for agreed"), std::string::npos);
    plan.planted.trusts_echo = false;
    EXPECT_EQ(play_world(plan).broken, "");
}

TEST(MembersWorld, FindsVersionsThatDoNotWaitForTheOneBefore) {
    // One after the other is cut off: with publishes in between, somebody is always behind.
    WorldPlan plan;
    plan.faults = false;
    plan.publish_every_ms = 300;
    plan.cut_in_turn_ms = 2000;
    EXPECT_EQ(found_with(plan, 3), "");
    plan.planted.settles_at_once = true;
    EXPECT_NE(found_with(plan, 10).find("are acted on for"), std::string::npos);
}

TEST(Leases, RunFromTheAskOfAMajority) {
    const auto terms = members::terms_for(3000);
    EXPECT_LT(terms.gone_ms, 3000);
    members::Holder holder(2, terms);
    holder.granted(1, 7, 100);
    EXPECT_FALSE(holder.may(7, 100));
    holder.granted(2, 7, 300);
    EXPECT_TRUE(holder.may(7, 100 + terms.lease_ms - 1));
    EXPECT_FALSE(holder.may(7, 100 + terms.lease_ms));
    holder.granted(1, 7, 500);
    EXPECT_EQ(holder.until(7), 300 + terms.lease_ms);
    EXPECT_FALSE(holder.may(6, 300));
    holder.granted(3, 7, 50);  // an old answer shortens nothing
    EXPECT_EQ(holder.until(7), 300 + terms.lease_ms);
    holder.forget_before(8);
    EXPECT_FALSE(holder.may(7, 300));
}

TEST(Leases, AVersionIsSettledOnceAllActOnItOrTheOldLeasesHaveEnded) {
    const auto terms = members::terms_for(3000);
    members::Settling settling({1, 2, 3}, terms);
    settling.learned(5, 1000);
    settling.acts(1, 5);
    settling.acts(2, 6);
    EXPECT_FALSE(settling.settled(1000 + terms.gone_ms - 1));
    EXPECT_EQ(settling.missing(), std::vector<members::Id>{3});
    EXPECT_TRUE(settling.settled(1000 + terms.gone_ms));
    settling.learned(5, 2000);  // learning it again starts nothing anew
    EXPECT_TRUE(settling.settled(1000 + terms.gone_ms));
    settling.acts(3, 5);
    EXPECT_TRUE(settling.settled(1001));
}

TEST(Agreed, OneOfTwoPublishersWinsAndATicketCountsOnce) {
    members::Agreed agreed;
    const auto publish = [&](std::uint64_t base, const char* ticket) {
        members::v1::Command command;
        command.mutable_publish()->set_base(base);
        command.mutable_publish()->mutable_version()->set_ticket(ticket);
        command.mutable_publish()->mutable_version()->set_who("ann");
        return agreed.apply(command);
    };
    EXPECT_TRUE(publish(0, "a").taken);
    const auto second = publish(0, "b");
    EXPECT_FALSE(second.taken);
    EXPECT_NE(second.why.find("version 1 by ann came first"), std::string::npos);
    EXPECT_EQ(publish(0, "a").version, 1U);
    EXPECT_FALSE(publish(1, "c").taken);  // version 1 is not settled
    members::v1::Command settle;
    settle.mutable_settle()->set_version(1);
    EXPECT_TRUE(agreed.apply(settle).taken);
    EXPECT_EQ(publish(1, "c").version, 2U);
    members::Agreed copy;
    EXPECT_TRUE(copy.load(agreed.save()));
    EXPECT_EQ(copy.save(), agreed.save());
}

}  // namespace
}  // namespace brasslift::test
