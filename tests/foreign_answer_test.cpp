// Answers that do not belong to the call that is out: an endpoint, or something before it, answers twice.
#include <gtest/gtest.h>

#include "http/reuse.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

TEST(ForeignAnswer, ALate200OfTheCallBeforeDeliversNoOtherMessage) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        c1 expect 202
        c1 post safe m2 8000m 1
        h expect Req-Id: m2
        h1 answer 200
        wait 100
        h answer 503
        h expect Req-Id: m2
        h answer 200
    )"),
              "");
}

TEST(ForeignAnswer, ALate503OfTheCallBeforeRepeatsNoPayment) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m0 8000m 1
        h1 expect Req-Id: m0
        h1 answer 200
        c1 expect 202
        wait 600
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        c1 expect 202
        h1 answer 503
        c1 post payment m2 8000m 1
        h expect Req-Id: m2
        h1 answer 503
        wait 100
        h answer 200
        h expect Req-Id: m1
        h answer 200
        h absent Req-Id: m2 1000
    )"),
              "");
}

TEST(ForeignAnswer, ASecondAnswerEndsNoCallWhileItsConnectionRests) {
    for (const auto* const late : {"5", "60", "120"}) {
        const std::string wait = std::string("wait ") + late + "\n";
        EXPECT_EQ(play("start\n"
                       "c1 post safe m1 8000m 1\n"
                       "h1 expect Req-Id: m1\n"
                       "h1 answer 200\n"
                       "c1 expect 202\n" +
                       wait +
                       "c1 post safe m2 8000m 1\n"
                       "h expect Req-Id: m2\n"
                       "h1 answer 200\n"
                       "wait 30\n"
                       "h answer 503\n"
                       "h expect Req-Id: m2\n"
                       "h answer 200\n"),
                  "")
            << late;
    }
}

TEST(ForeignAnswer, AnAnswerOutOfStepDoesNotEndTheCallsBehindIt) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        c1 expect 202
        c1 post safe m2 8000m 1
        h expect Req-Id: m2
        h1 answer 200
        wait 30
        c2 post payment m3 8000m 1
        c2 expect 202
        wait 50
        h answer 503
        h expect Req-Id: m3
        h answer 200
        h expect Req-Id: m2
        h answer 200
        h absent Req-Id: m3 1000
    )"),
              "");
}

// A bulk call's refusal names no message: it may be any call's.
TEST(ForeignAnswer, ALateRefusalOfABulkCallRepeatsNoPayment) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m0 8000m 1
        h1 expect Req-Id: m0
        h1 answer 200
        c1 expect 202
        wait 600
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 429 X-RateLimit-Wait-Ms: 700
        c2 post safe m2 8000m 1
        c3 post safe m3 8000m 1
        c2 expect 202
        c3 expect 202
        h1 expect POST /inbox/bulk
        h1 expect m3 key-m3
        h1 answer 503
        c1 post payment m4 8000m 1
        h expect Idempotency-Key: key-m4
        h1 answer 503
        wait 100
        h answer 200
        h expect m2 key-m2
        h expect m3 key-m3
        h send HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\nm2 done\r\nm3 done\r\n
        h absent m4 1000
    )"),
              "");
}

TEST(ForeignAnswer, ConnectionsRestForLongerBehindOneThatCameLater) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        c1 expect 202
        wait 350
        h1 answer 200
        h1 closed
        c1 post safe m2 8000m 1
        h2 expect Req-Id: m2
        h2 answer 200
        wait 900
        c1 post safe m3 8000m 1
        h expect Req-Id: m3
        h2 answer 200
        wait 30
        h answer 503
        h expect Req-Id: m3
    )"),
              "");
}

TEST(ReuseRule, LetsAConnectionRestForAtLeastAQuarterOfASecond) {
    const http::ReuseRule rule;
    EXPECT_FALSE(rule.may_carry(1000, 1249));
    EXPECT_TRUE(rule.may_carry(1000, 1250));
}

TEST(ReuseRule, RestsForASecondOnceMoreThanAnAnswerHasComeAndForLongerWhereItCameLater) {
    http::ReuseRule rule;
    EXPECT_TRUE(rule.heed_extra_bytes(0));
    EXPECT_EQ(rule.rest_ms(), 1000);
    EXPECT_FALSE(rule.heed_extra_bytes(100));
    EXPECT_TRUE(rule.heed_extra_bytes(300));
    EXPECT_EQ(rule.rest_ms(), 1200);
    EXPECT_FALSE(rule.heed_extra_bytes(200));
    EXPECT_EQ(rule.rest_ms(), 1200);
}

// Discovery's watch is one long answer: an object that comes again behind a newer one is old.
TEST(ForeignAnswer, ASecondCopyOfAnOlderListBringsNoEndpointBack) {
    const std::string line =
        R"(,"targets":[{"uid":"s-1","endpoint":"@h","az":"a","model":"m1","pod_group":1,)";
    const auto object = [&](const std::string& head, const std::string& state) {
        return "d1 send {" + head + line + R"("state":")" + state +
               R"(","capacity_hint":1.0,"boot_ms":0}]}\n)" + '\n';
    };
    const std::string ready = R"("rev":42,"all":false)", whole = R"("rev":42,"all":true)";
    for (const auto& older : {ready, whole})
        EXPECT_EQ(play("start\n"
                       "d1 expect GET /discovery/hosts\n"
                       "d1 send HTTP/1.1 200 OK\\r\\n\\r\\n\\n\n" +
                       object(older, "Ready") + object(R"("rev":43,"all":false)", "Terminating") +
                       "wait 100\n" + object(older, "Ready") +
                       "wait 100\n"
                       "c1 post safe m1 600m 1\n"
                       "h absent Req-Id: m1 700\n"),
                  "");
}

TEST(ForeignAnswer, ALate204OfTheNoticeBeforeAnswersNoOtherNotice) {
    EXPECT_EQ(play(R"(
        start
        d1 expect GET /discovery/hosts
        d1 send HTTP/1.1 200 OK\r\n\r\n\n
        c1 post payment m1 8000m 1
        h expect Req-Id: m1
        h answer 500
        d2 expect {"id":"m1","status":"undeliverable"}
        d2 answer 204
        c1 expect 202
        c1 post payment m2 8000m 2
        g expect Req-Id: m2
        g answer 500
        d expect {"id":"m2","status":"undeliverable"}
        d2 answer 204
        wait 30
        d close
        d expect {"id":"m2","status":"undeliverable"}
        d answer 204
        d absent "id":"m2" 1200
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
