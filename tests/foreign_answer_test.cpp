// Answers that do not belong to the call that is out: an endpoint, or something before it, answers twice.
#include <gtest/gtest.h>

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
        c1 post payment m2 8000m 1
        h expect Req-Id: m2
        h answer 500
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
