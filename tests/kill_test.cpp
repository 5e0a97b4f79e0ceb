// The whole program killed under load, with and without syncs. The peers keep the counts; bench/store_kills
// does the same some hundred times.
#include <gtest/gtest.h>

#include "lives.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

LivesPlan killed(int kills) {
    LivesPlan plan;
    plan.kills = kills;
    plan.messages = kills * 60;
    plan.per_second = 200;
    plan.hosts = 8;
    plan.trouble = true;
    plan.answer_ms = 30;
    return plan;
}

void expect_kept(const LivesPlan& plan) {
    const auto account = live(BRASSLIFT_PROGRAM, plan);
    EXPECT_EQ(account.kills.size(), static_cast<std::size_t>(plan.kills));
    std::size_t taken = 0;
    for (const auto& [id, handed] : account.handed) taken += handed.status == 202 ? 1 : 0;
    EXPECT_GT(taken, account.handed.size() / 4);
    const auto broken = broken_rules(account);
    EXPECT_TRUE(broken.empty()) << broken.size() << ", the first: " << broken.front();
}

TEST(Killed, LosesAndRepeatsNothing) { expect_kept(killed(10)); }

TEST(Killed, LosesAndRepeatsNothingWhereAnswersWaitForSyncs) {
    auto plan = killed(6);
    plan.operators = "store { durability: EACH }\n";
    expect_kept(plan);
}

// A disk of any size is started on when empty, killed and found again. Above 42 MB manifests are the
// keeper's.
TEST(Killed, StartsAndRecoversOnADiskOfAnySize) {
    for (const std::string store : {"", "operator store { durability: EACH }\n"})
        for (const std::string mb : {"1", "3", "8", "32", "63", "64", "200", "10000"}) {
            const auto start = "start 0 0 " + mb + "\n";
            EXPECT_EQ(play(store + start + R"(
                c1 post payment m1 8000m 1
                c1 expect 202
                h expect Req-Id: m1
                kill
            )" + start + R"(
                d expect undeliverable
                c2 post safe m2 8000m 1
                c2 expect 202
                h expect Req-Id: m2
            )"),
                      "")
                << store << mb;
        }
}

// The checker itself: what it must find, it finds.
TEST(Killed, TheCheckerSeesARuleBroken) {
    LivesAccount account;
    account.handed["m2"].status = 202;  // a payment
    EXPECT_EQ(broken_rules(account).size(), 1U);
    account.calls = {{"m2", "", "", 500, 10, 12}, {"m2", "", "", 200, 30, 31}};
    EXPECT_EQ(broken_rules(account).size(), 1U);
    account.calls[0].status = 503;
    EXPECT_TRUE(broken_rules(account).empty());
    account.told["m2"] = {"undeliverable"};
    EXPECT_EQ(broken_rules(account).size(), 1U);
    account.kills = {31};
    EXPECT_TRUE(broken_rules(account).empty());
    account.told["m2"] = {"undeliverable", "deferred"};
    EXPECT_EQ(broken_rules(account).size(), 1U);
}

// An interval longer than a client's patience shows that answers wait for the sync; the first one after a
// pause has it at once.
TEST(Synced, AnswersWaitForTheSync) {
    EXPECT_EQ(play(R"(
        operator store { durability: INTERVAL interval: "700ms" }
        start
        c1 post safe m0 8000m 9
        c1 expect 202
        c1 post safe m1 8000m 9
        c1 absent 202 250
        c1 expect 202
    )"),
              "");
}

// A client that leaves before its record is durable was told nothing: nothing runs, and the same request is
// taken on anew.
TEST(Synced, NothingRunsForAClientThatLeftBeforeTheSync) {
    EXPECT_EQ(play(R"(
        operator store { durability: INTERVAL interval: "400ms" }
        start
        c3 post safe m0 8000m 9
        c3 expect 202
        c1 post payment m1 8000m 1
        wait 100
        c1 close
        h absent Req-Id 900
        c2 post payment m1 8000m 1
        c2 expect 202
        h expect Req-Id: m1
    )"),
              "");
}

TEST(Synced, DeliversAndRemembersAsWithoutSyncs) {
    EXPECT_EQ(play(R"(
        operator store { durability: EACH compress: ON }
        start
        c1 post payment m1 8000m 1
        c1 expect 202
        h expect Req-Id: m1
        kill
        start
        d expect undeliverable
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
