// Destinations that sleep, in one process: the core, its module, the pool and the cluster among endpoints of
// the lab. No clients' connections and no discovery: lists are applied, messages are put into the mailbox.
#include <gtest/gtest.h>

#include <ctime>

#include "one_process.hpp"
#include "rig.hpp"

namespace brasslift::test {
namespace {

using namespace one_process;

bool taken(const std::shared_ptr<Client>& client) {
    return client->answers.size() == 1 && client->answers[0].reply == dispatch::Reply::taken;
}

class Destinations : public testing::Test {
protected:
    Folder folder_;
};

TEST_F(Destinations, SleepUntilAMessageComesAndSleepAgain) {
    Life life(folder_.path(), 100);
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    life.run_for(30);
    EXPECT_EQ(life.cluster.listed(), static_cast<std::size_t>(many));
    EXPECT_EQ(life.cluster.awake(), 0u);
    EXPECT_EQ(life.pool.known(), 0u);
    const auto client = life.submit(5, "m1");
    ASSERT_TRUE(life.await([&] { return endpoint.came.size() == 1; }));
    EXPECT_TRUE(taken(client));
    EXPECT_EQ(life.cluster.awake(), 1u);
    EXPECT_EQ(life.pool.known(), 1u);
    ASSERT_TRUE(life.await([&] { return life.cluster.awake() == 0; }));
    EXPECT_EQ(life.pool.known(), 0u);
    life.submit(5, "m2");
    EXPECT_TRUE(life.await([&] { return endpoint.came.size() == 2; }));
    const auto lost = life.submit(many + 1, "m3");
    ASSERT_TRUE(life.await([&] { return !lost->answers.empty(); }));
    EXPECT_EQ(lost->answers[0].reply, dispatch::Reply::nowhere);
}

TEST_F(Destinations, InASmallDeploymentAllAreAwake) {
    Life life(folder_.path(), 20);
    News few = whole_list();
    few.lines.resize(30);
    life.begin(few);
    life.run_for(200);
    EXPECT_EQ(life.cluster.awake(), 30u);
    EXPECT_EQ(life.pool.known(), 30u);
    // Many more come, then few are left: all wake again once the others are forgotten.
    life.change(whole_list({}, 1, 2));
    ASSERT_TRUE(life.await([&] { return life.cluster.awake() == 0; }));
    EXPECT_EQ(life.cluster.listed(), static_cast<std::size_t>(many));
}

TEST_F(Destinations, OneThatWasDrainedOrGoneAsleepGetsNoCall) {
    Life life(folder_.path());
    auto &drained = life.endpoint(), &gone = life.endpoint(), &fresh = life.endpoint();
    life.begin(whole_list({{5, drained.address()}, {6, gone.address()}}));
    life.change(change_of({line_of("s-5", 5, drained.address(), ListingState::draining),
                           line_of("s-6", 6, gone.address(), ListingState::gone),
                           line_of("s-new", 6, fresh.address())}));
    life.run_for(20);
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < 40; ++i) clients.push_back(life.submit(5 + i % 2, "m" + std::to_string(i)));
    ASSERT_TRUE(life.await([&] { return fresh.came.size() == 20; }));
    life.run_for(100);
    EXPECT_TRUE(drained.came.empty());
    EXPECT_TRUE(gone.came.empty());
    for (const auto& client : clients) EXPECT_TRUE(taken(client));
}

TEST_F(Destinations, AnAddressThatMovesToAnotherServesThatOneAlone) {
    Life life(folder_.path());
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    life.change(change_of({line_of("s-new", 6, endpoint.address())}));
    life.run_for(20);
    for (int i = 0; i < 10; ++i) {
        life.submit(5, "five" + std::to_string(i));
        life.submit(6, "six" + std::to_string(i));
    }
    ASSERT_TRUE(life.await([&] { return endpoint.came.size() >= 10; }));
    life.run_for(100);
    EXPECT_EQ(endpoint.came.size(), 10u);
    for (const auto& id : endpoint.came) EXPECT_EQ(id.substr(0, 3), "six");
}

TEST_F(Destinations, AToldWaitHoldsThroughSleepAndEnds) {
    Life life(folder_.path(), 50);
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    endpoint.reply.status = 503;
    endpoint.reply.headers = {{"X-RateLimit-Wait-Ms", "1500"}};
    life.submit(5, "m1", 300);
    ASSERT_TRUE(life.await([&] { return endpoint.came.size() == 1; }));
    const Time told = runtime::steady_now();
    ASSERT_TRUE(life.await([&] { return life.cluster.awake() == 0; }));
    ASSERT_LT(runtime::steady_now(), told + 1200);
    endpoint.reply = {};
    life.submit(5, "m2");
    ASSERT_TRUE(life.await([&] { return endpoint.came.size() == 2; }));
    EXPECT_GE(runtime::steady_now(), told + 1500);
    EXPECT_LT(runtime::steady_now(), told + 4000);
}

TEST_F(Destinations, AWholeListInTheMiddleOfABurstLosesNothing) {
    Life life(folder_.path());
    auto& endpoint = life.endpoint();
    endpoint.reply.after_ms = 5;
    life.begin(whole_list({{5, endpoint.address()}, {6, nowhere(6)}}));
    std::set<std::string> owed;
    for (int i = 0; i < 200; ++i) {
        const auto name = "m" + std::to_string(i);
        owed.insert(name);
        life.submit(5, name);
        if (i % 20 == 10)
            life.change(whole_list({{5, endpoint.address()}}, 1, static_cast<std::uint32_t>(i)));
        life.run_for(2);
    }
    ASSERT_TRUE(life.await([&] { return life.ledger.held() == 0; }, 7000));
    EXPECT_EQ(std::set<std::string>(endpoint.came.begin(), endpoint.came.end()), owed);
    EXPECT_EQ(endpoint.came.size(), owed.size());
    EXPECT_TRUE(life.outbox.ended.empty());
}

TEST_F(Destinations, AListThatShrinksToNothingAndReturns) {
    Life life(folder_.path());
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    News nothing;
    nothing.whole = true;
    nothing.version = 2;
    life.change(nothing);
    life.run_for(50);
    EXPECT_EQ(life.cluster.listed(), 0u);
    const auto client = life.submit(5, "m1");
    ASSERT_TRUE(life.await([&] { return !client->answers.empty(); }));
    EXPECT_TRUE(taken(client));  // some list has named it
    life.run_for(100);
    EXPECT_TRUE(endpoint.came.empty());
    life.change(whole_list({{5, endpoint.address()}}, 1, 3));
    EXPECT_TRUE(life.await([&] { return endpoint.came.size() == 1; }));
}

TEST_F(Destinations, AThousandWakeInOneTick) {
    Life life(folder_.path());
    life.begin(whole_list());
    std::vector<std::shared_ptr<Client>> clients;
    for (int d = 1; d <= 1000; ++d) clients.push_back(life.submit(d, "m" + std::to_string(d)));
    ASSERT_TRUE(life.await([&] { return life.ledger.held() == 1000; }));
    for (const auto& client : clients) EXPECT_TRUE(taken(client));
    EXPECT_EQ(life.cluster.awake(), 1000u);
}

TEST_F(Destinations, AfterARestartMessagesOwedToFiveThousandSleepersGoOut) {
    constexpr int owed = 5000;
    std::map<int, runtime::Address> served;
    News list;
    list.whole = true;
    list.version = 1;
    for (int d = 1; d <= owed + 1000; ++d)
        list.lines.push_back(line_of("s-" + std::to_string(d), d, nowhere(d)));
    {
        Life life(folder_.path());
        life.begin(list);
        for (int d = 1; d <= owed; ++d) life.submit(d, "m" + std::to_string(d), 30000);
        ASSERT_TRUE(life.await([&] { return life.ledger.held() == owed; }, 20000)) << life.ledger.held();
    }
    Life life(folder_.path());
    auto& endpoint = life.endpoint();
    list.lines[0] = line_of("s-1", 1, endpoint.address());
    life.begin(list);
    EXPECT_EQ(life.ledger.held(), static_cast<std::size_t>(owed));
    EXPECT_EQ(life.cluster.awake(), static_cast<std::size_t>(owed));
    EXPECT_TRUE(life.await([&] { return endpoint.came.size() == 1; }, 20000));
}

TEST_F(Destinations, WhatMemoryDoesNotAllowIsRefusedWithAPause) {
    // A quarter of 1.6 MB is room for 50 that are awake.
    Life life(folder_.path(), 60000, 1.6);
    life.begin(whole_list());
    ASSERT_EQ(life.cluster.listed(), static_cast<std::size_t>(many));
    std::vector<std::shared_ptr<Client>> clients;
    for (int d = 1; d <= 300; ++d) {
        clients.push_back(life.submit(d, "m" + std::to_string(d)));
        life.run_for(1);
    }
    ASSERT_TRUE(life.await([&] { return !clients.back()->answers.empty(); }));
    EXPECT_LE(life.pool.known(), 51u);
    EXPECT_TRUE(taken(clients.front()));
    EXPECT_EQ(clients.back()->answers[0].reply, dispatch::Reply::full);
    EXPECT_GT(clients.back()->answers[0].pause_ms, 0);
}

TEST_F(Destinations, OfAListThatMemoryDoesNotAllowTheOldOneStays) {
    Life life(folder_.path(), 60000, 1.0);
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    News large = whole_list({}, 1, 2);
    for (int d = many + 1; d < 20000; ++d)
        large.lines.push_back(line_of("s-" + std::to_string(d), d, nowhere(d)));
    life.change(large);
    life.run_for(100);
    EXPECT_EQ(life.cluster.listed(), static_cast<std::size_t>(many));
    life.submit(5, "m1");
    EXPECT_TRUE(life.await([&] { return endpoint.came.size() == 1; }));
}

TEST_F(Destinations, ASuccessorKnowsThoseThatSleepAndWhatTheyWereTold) {
    Life life(folder_.path(), 50);
    auto& endpoint = life.endpoint();
    life.begin(whole_list({{5, endpoint.address()}}));
    endpoint.reply.status = 503;
    endpoint.reply.headers = {{"X-RateLimit-Wait-Ms", "60000"}};
    life.submit(5, "m1", 300);
    ASSERT_TRUE(life.await([&] { return endpoint.came.size() == 1; }));
    ASSERT_TRUE(life.await([&] { return life.cluster.awake() == 0; }));
    const auto state = life.cluster.save();
    upstream::Pool pool(life.scheduler, {});
    Cluster heir(life.scheduler, life.config, *runtime::parse_address("127.0.0.1:9"), pool);
    heir.adopt(state);
    EXPECT_EQ(heir.listed(), life.cluster.listed());
    EXPECT_EQ(heir.awake(), 0u);
    std::vector<Listing> lines, same;
    heir.wake(5, lines);
    life.cluster.wake(5, same);
    ASSERT_EQ(lines.size(), 1u);
    ASSERT_EQ(same.size(), 1u);
    EXPECT_EQ(lines[0].endpoint, same[0].endpoint);
    EXPECT_GT(lines[0].wait_until, runtime::steady_now() + 50000);
}

// The ids of what is owed are remembered; they are not walked for each message that comes.
TEST(Backlog, AMessageCostsTheSameHoweverManyAreHeld) {
    const Folder folder;
    Life life(folder.path());
    auto list = whole_list();
    list.lines[4] = line_of("s-5", 5, nowhere(5), ListingState::draining);
    life.begin(list);
    int next = 0;
    const auto cost_of_a_thousand = [&] {
        const auto from = std::clock();
        for (int i = 0; i < 1000; ++i) life.submit(5, "m" + std::to_string(next++), 60000);
        life.await([&] { return life.ledger.held() == static_cast<std::size_t>(next); });
        return static_cast<double>(std::clock() - from);
    };
    for (int i = 0; i < 2; ++i) cost_of_a_thousand();
    const double few = cost_of_a_thousand();
    for (int i = 0; i < 9; ++i) cost_of_a_thousand();
    const double much = cost_of_a_thousand();
    ASSERT_EQ(life.ledger.held(), 13000u);
    EXPECT_LT(much, 4 * few + CLOCKS_PER_SEC / 10.0);
}

// What failed before it slept returns cold: through a burst it gets no more than those who saw it fail may
// send, at their turns.
TEST(SleepingDestination, ThatFailedKeepsToTheBudgetOfItsColdReturn) {
    auto s = settings();
    s.max_held = 1000;
    const auto sent_in_burst = [&](Outage outage) {
        Sender sender(s, 7);
        std::vector<Action> actions;
        Listing line;
        line.endpoint = endpoint(1);
        line.weight = 10;
        line.outage = outage;
        line.failed_at = 100;
        sender.handle(100000, ListUpdate{.entries = {&line, 1}}, actions);
        std::vector<SetTimer> timers;
        int attempts = 0, most = 0;
        std::multimap<Time, Attempt> flying;
        const auto heed = [&](Time now) {
            for (const auto& action : std::exchange(actions, {})) {
                if (const auto* const timer = std::get_if<SetTimer>(&action)) timers.push_back(*timer);
                if (const auto* const attempt = std::get_if<Attempt>(&action)) {
                    ++attempts;
                    flying.emplace(now + 20, *attempt);
                }
            }
        };
        for (MessageId id = 1; id <= 200; ++id) {
            Arrival a;
            a.id = id;
            a.due = 100000 + 20000;
            sender.handle(100000, a, actions);
            heed(100000);
        }
        for (Time now = 100005; now <= 100000 + s.fall_ms; now += 5) {
            for (auto due = std::exchange(timers, {}); const auto& timer : due) {
                if (timer.at > now) {
                    timers.push_back(timer);
                    continue;
                }
                sender.handle(now, TimerFired{timer.timer}, actions);
                heed(now);
            }
            while (!flying.empty() && flying.begin()->first <= now) {
                Outcome o;
                o.id = flying.begin()->second.id;
                o.endpoint = endpoint(1);
                o.result = Result::ok;
                o.elapsed_ms = 20;
                flying.erase(flying.begin());
                sender.handle(now, o, actions);
                heed(now);
            }
            most = std::max(most, attempts);
        }
        return most;
    };
    // N: what settings allow a cold destination in fall_ms, here of 10 calls a second at a fifth of it.
    const double allowed = s.tip_multiple * s.start_capacity * 10 * s.fall_ms / 1000;
    const int healthy = sent_in_burst(Outage::none), failed = sent_in_burst(Outage::destination);
    EXPECT_GT(healthy, allowed);
    EXPECT_LE(failed, allowed / s.senders + 1);
}

}  // namespace
}  // namespace brasslift::test
