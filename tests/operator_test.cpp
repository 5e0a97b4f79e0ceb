// The real program with an operators' file.
#include <gtest/gtest.h>

#include "scenario.hpp"

namespace brasslift::test {
namespace {

TEST(Operator, RefusesByRouteWithItsPause) {
    EXPECT_EQ(play(R"(
        operator route { name: "closed" match { tenant: "bolt" } refuse { pause: "90s" } }
        start
        c1 post safe m1 8000m 1 5 bolt
        c1 expect HTTP/1.1 429
        c1 expect Retry-After: 90.000
        c1 post safe m2 8000m 1 5 acme
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m2
        h1 absent Req-Id: m1 100
    )"),
              "");
}

// The pause is the bucket's, and whoever heeds it is taken on.
TEST(Operator, LimitsATenantAndTellsWhenItsTurnComes) {
    EXPECT_EQ(play(R"(
        operator limit { name: "each" by: TENANT rate: "2/s" burst: 1 }
        start
        c1 post safe m1 8000m 1 5 bolt
        c1 expect HTTP/1.1 202
        c1 post safe m2 8000m 1 6 bolt
        c1 expect HTTP/1.1 429
        c1 expect Retry-After: 0.
        c2 post safe m3 8000m 1 5 acme
        c2 expect HTTP/1.1 202
        wait 520
        c1 send POST /safe HTTP/1.1\r\nReq-Id: m4\r\nReq-Owner: bolt\r\nReq-Deadline: 8000m\r\nIdempotency-Key: key-m2\r\n
        c1 send X-Addressing: dest=1\r\nContent-Length: 6\r\n\r\nxxxxxx
        c1 expect HTTP/1.1 202
    )"),
              "");
}

TEST(Operator, CountsWhatIsHeldAndLetsItGoWithItsEnd) {
    EXPECT_EQ(play(R"(
        operator limit { name: "each" by: TENANT held: 2 }
        start
        c1 post safe m1 8000m 1
        c1 expect 202
        c1 post safe m2 8000m 1
        c1 expect 202
        c1 post safe m3 8000m 1
        c1 expect 429
        c1 expect Retry-After
        h expect Req-Id: m1
        h answer 200
        wait 100
        c1 post safe m4 8000m 1
        c1 expect 202
    )"),
              "");
}

// What an earlier life took on is counted after a kill.
TEST(Operator, CountsWhatARestartFindsHeld) {
    EXPECT_EQ(play(R"(
        operator limit { name: "each" by: TENANT held: 2 }
        start
        c1 post safe m1 8000m 9
        c1 expect 202
        c1 post safe m2 8000m 9
        c1 expect 202
        kill
        start
        c2 post safe m3 8000m 9
        c2 expect 429
        c3 post safe m4 8000m 9 5 bolt
        c3 expect 202
    )"),
              "");
}

TEST(Operator, EndsMessagesByANarrowerDeadline) {
    EXPECT_EQ(play(R"(
        operator policy { name: "soon" match { tenant: "bolt" } deadline: "400ms" }
        start
        c1 post safe m1 8000m 9 5 bolt
        c1 expect 202
        d expect {"id":"m1","status":"deferred","again_ms":
        d answer 204
        c2 post safe m2 8000m 9
        d absent "id":"m2" 600
    )"),
              "");
}

// One attempt less than the module would make; the end is told at once.
TEST(Operator, EndsMessagesAfterFewerAttempts) {
    EXPECT_EQ(play(R"(
        operator policy { name: "once" match { class: "safe" } attempts: 1 }
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 503
        d expect {"id":"m1","status":"deferred","again_ms":1000}
        d answer 204
        c1 post safe m2 8000m 1
        h expect Req-Id: m2
        h answer 500
        d expect {"id":"m2","status":"undeliverable"}
        d answer 204
        h absent POST 600
    )"),
              "");
}

TEST(Operator, SpendsNoRetryThatItsBudgetDoesNotHave) {
    EXPECT_EQ(play(R"(
        operator policy { name: "few" retry_budget { part: "0%" least: "1/h" saved: 1 } }
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 503
        h expect Req-Id: m1
        h answer 200
        c1 post safe m2 8000m 2
        g1 expect Req-Id: m2
        g1 answer 503
        d expect {"id":"m2","status":"deferred","again_ms":
        d answer 204
        g absent POST 500
    )"),
              "");
}

// One call at a time to a host, on one connection; what waits for it goes next.
TEST(Operator, KeepsToAPoolsConnections) {
    EXPECT_EQ(play(R"(
        operator pool { name: "p" destination: "1" connections_per_host: 1 }\nroute { name: "r" pool: "p" }
        start
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        c1 expect 202
        c1 post payment m2 8000m 1
        h1 closed
        h2 expect Req-Id: m2
        c2 post payment m3 8000m 1
        c2 expect 202
        h absent Req-Id: m3 400
        h2 answer 200
        h2 closed
        h3 expect Req-Id: m3
        h3 answer 200
        d absent "id":"m3" 600
        c1 post payment m4 8000m 1
        h3 expect Req-Id: m4
    )"),
              "");
}

// The cap is the pool's, whatever its place in the file: a call that is out counts through a reload.
TEST(Operator, KeepsToAPoolsCapThroughAReload) {
    EXPECT_EQ(play(R"(
        operator pool { name: "p" destination: "1" calls_per_host: 1 }\nroute { name: "r" pool: "p" }
        start
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        wait 600
        c1 post payment m2 8000m 1
        h1 expect Req-Id: m2
        operator pool { name: "o" destination: "2" }\nroute { name: "s" pool: "o" }\npool { name: "p" destination: "1" calls_per_host: 1 }\nroute { name: "r" pool: "p" }
        reload d
        wait 150
        c2 post payment m3 8000m 1
        c2 expect 202
        h absent Req-Id: m3 300
        h1 answer 200
        h expect Req-Id: m3
    )"),
              "");
}

TEST(Operator, KeepsNoMoreIdleConnectionsThanItsPoolMay) {
    EXPECT_EQ(play(R"(
        operator pool { name: "p" destination: "1" idle_total: 0 }\nroute { name: "r" pool: "p" }
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        h1 closed
        c2 post safe m2 8000m 2
        g1 expect Req-Id: m2
        g1 answer 200
        g1 absent nothing 600
        c2 post safe m3 8000m 2
        g1 expect Req-Id: m3
    )"),
              "");
}

// Two pools to one host share no connection.
TEST(Operator, KeepsThePoolsOfAHostApart) {
    EXPECT_EQ(play(R"(
        operator pool { name: "p" destination: "1" }\nroute { name: "pay" match { class: "payment" } pool: "p" }
        start
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        wait 600
        c1 post safe m2 8000m 1
        h2 expect Req-Id: m2
        h2 answer 200
        wait 600
        c1 post payment m3 8000m 1
        h1 expect Req-Id: m3
    )"),
              "");
}

TEST(Operator, ClosesAPoolsIdleConnectionsInItsOwnTime) {
    EXPECT_EQ(play(R"(
        operator pool { name: "p" destination: "1" idle_time: "700ms" }\nroute { name: "r" pool: "p" }
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        wait 600
        c1 post safe m4 8000m 1
        h1 expect Req-Id: m4
        h1 answer 200
        c2 post safe m2 8000m 2
        g1 expect Req-Id: m2
        g1 answer 200
        h1 closed
        g1 absent nothing 50
        c2 post safe m3 8000m 2
        g1 expect Req-Id: m3
    )"),
              "");
}

TEST(Operator, NarrowsItsBounds) {
    EXPECT_EQ(play(R"(
        operator bounds { body: "1KiB" request_time: "300ms" }
        start
        c1 post safe m1 8000m 1 1024
        c1 expect HTTP/1.1 202
        c2 post safe m2 8000m 1 1025
        c2 expect HTTP/1.1 413
        c3 send POST /safe HTTP/1.1\r\n
        c3 expect HTTP/1.1 408
        c3 closed
    )"),
              "");
}

// A reload takes both files or neither.
TEST(Operator, KeepsItsPlanWhereAReloadHasAFault) {
    EXPECT_EQ(play(R"(
        operator route { name: "r" match { tenant: "bolt" } refuse { pause: "90s" } }
        start
        operator route { name: "r" match { tenant: "blot" } refuse { pause: "90s" } }
        reload e
        wait 150
        c1 post safe m1 8000m 1 5 bolt
        c1 expect HTTP/1.1 429
        e absent GET 100
        operator route { name: "r" match { tenant: "coop" } refuse { pause: "90s" } }
        reload bad
        wait 150
        c1 post safe m2 8000m 1 5 bolt
        c1 expect HTTP/1.1 429
        reload e
        e expect GET /discovery/hosts
        c1 post safe m3 8000m 1 5 bolt
        c1 expect HTTP/1.1 202
        c2 post safe m4 8000m 1 5 coop
        c2 expect HTTP/1.1 429
    )"),
              "");
}

TEST(Operator, FillsNoBucketByAReload) {
    EXPECT_EQ(play(R"(
        operator limit { name: "each" by: TENANT rate: "1/m" burst: 1 }
        start
        c1 post safe m1 8000m 1
        c1 expect 202
        reload d
        wait 100
        reload d
        wait 100
        c1 post safe m2 8000m 1 6
        c1 expect 429
    )"),
              "");
}

TEST(Operator, DoesNotStartOnAFileWithAFault) {
    const auto seen = play(R"(
        operator route { name: "r" pool: "nowhere" }
        start
    )");
    EXPECT_NE(seen.find("ended before it listened"), std::string::npos) << seen;
}

constexpr const char* each_twenty =
    "limit { name: \"each\" by: TENANT rate: \"20/s\" burst: 5 horizon: \"60s\" }\n";

// Two tenants at ten times their limit and one within: the third loses nothing, and nearly everyone who comes
// again when he was told to is taken on, though no client says that it has been here before.
TEST(Operator, KeepsItsWordUnderTenfoldLoad) {
    const auto seen =
        play_flood(each_twenty, {{"acme", 200, 500}, {"bolt", 200, 500}, {"coop", 15, 5000}}, 0);
    const auto& coop = seen.tenants.at("coop");
    EXPECT_EQ(coop.taken_at_once, 75);
    EXPECT_EQ(coop.refused, 0);
    for (const char* const name : {"acme", "bolt"}) {
        const auto& t = seen.tenants.at(name);
        EXPECT_EQ(t.offered, 100);
        EXPECT_EQ(t.failed, 0);
        EXPECT_GE(t.returned, 80);
        EXPECT_GE(t.taken_on_return * 100, t.returned * 95) << name;
        EXPECT_EQ(t.taken_at_once + t.taken_on_return, 100);
        EXPECT_GT(t.longest_pause_ms, 3000);  // the queue is as long as it is
    }
    EXPECT_EQ(seen.delivered, seen.taken);
    EXPECT_EQ(seen.twice, 0);
}

TEST(Operator, DropsNobodyAndAdmitsNobodyTwiceInAReload) {
    const auto seen = play_flood(each_twenty, {{"acme", 200, 400}, {"coop", 15, 3000}}, 6);
    EXPECT_EQ(seen.tenants.at("coop").taken_at_once, 45);
    const auto& t = seen.tenants.at("acme");
    EXPECT_EQ(t.failed, 0);
    EXPECT_EQ(t.taken_at_once + t.taken_on_return, 80);
    EXPECT_LE(t.taken_at_once, 5 + 10);
    EXPECT_GE(t.taken_on_return * 100, t.returned * 95);
    EXPECT_EQ(seen.delivered, seen.taken);
    EXPECT_EQ(seen.twice, 0);
}

}  // namespace
}  // namespace brasslift::test
