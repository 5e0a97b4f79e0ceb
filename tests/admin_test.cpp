// The operators' address, the figures and the drain, on the real program among scripted peers.
#include <gtest/gtest.h>

#include "admin/server.hpp"
#include "lifecycle/lifecycle.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

using lifecycle::Lifecycle;
using lifecycle::Phase;

// As where the system has no socket for a moment.
TEST(Admin, WaitsForItsAddressAtAStart) {
    EXPECT_EQ(play(R"(
        occupy 400
        start
        c1 send GET /up HTTP/1.1\r\n\r\n
        c1 expect HTTP/1.1 200
        o1 call GET /ready
        o1 expect HTTP/1.1 200
    )"),
              "");
}

TEST(Lifecycle, EachStepHasADefinedResult) {
    Lifecycle l;
    EXPECT_FALSE(l.drain(0));  // nothing to drain yet
    EXPECT_FALSE(l.hand_over());
    EXPECT_FALSE(l.ready());
    EXPECT_TRUE(l.begin());
    EXPECT_TRUE(l.undrain());  // it takes clients already
    EXPECT_TRUE(l.drain(1000));
    EXPECT_TRUE(l.drain(3000));  // goes on as it was
    EXPECT_EQ(l.drained_ms(3500), 2500);
    EXPECT_FALSE(l.ready());
    EXPECT_TRUE(l.sends_away());
    EXPECT_TRUE(l.hand_over());
    EXPECT_FALSE(l.undrain());  // not while another process is taking over
    EXPECT_FALSE(l.drain(4000));
    l.take_back();
    EXPECT_TRUE(l.draining());
    EXPECT_EQ(l.drained_ms(3500), 2500);
    EXPECT_TRUE(l.undrain());
    EXPECT_TRUE(l.ready());
    EXPECT_EQ(l.drained_ms(9000), 0);
    l.stop();
    EXPECT_TRUE(l.drain(9000));  // clients are sent away anyway
    EXPECT_FALSE(l.undrain());
    EXPECT_FALSE(l.hand_over());
    l.take_back();
    EXPECT_EQ(l.phase(), Phase::stopping);
}

TEST(Lifecycle, ADrainClosesInItsOrderAndNobodyWhoIsBeingAnswered) {
    using lifecycle::closes_in_drain;
    EXPECT_FALSE(closes_in_drain({.served = true, .idle_ms = 9000}, 100));  // its answer may still say so
    EXPECT_TRUE(closes_in_drain({.served = true, .idle_ms = 9000}, 400));
    EXPECT_FALSE(closes_in_drain({.served = true, .idle_ms = 100}, 400));
    EXPECT_FALSE(closes_in_drain({.idle_ms = 1000}, 1500));  // connected ahead of its first request
    EXPECT_TRUE(closes_in_drain({.idle_ms = 2100}, 2200));
    EXPECT_FALSE(closes_in_drain({.started = true, .idle_ms = 2100}, 2200));
    EXPECT_TRUE(closes_in_drain({.started = true, .idle_ms = 10}, 3300));
    EXPECT_FALSE(closes_in_drain({.busy = true, .idle_ms = 9000}, 3900));
}

TEST(Admin, AnswersItsCallsAndNothingElse) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        o1 call GET /ready
        o1 expect HTTP/1.1 200
        o1 closed
        o2 call POST /ready
        o2 expect HTTP/1.1 405
        o2 expect Allow: GET
        o3 call GET /drain
        o3 expect HTTP/1.1 405
        o3 expect Allow: PUT
        o4 call GET /up
        o4 expect HTTP/1.1 404
        o5 send nonsense\r\n\r\n
        o5 expect HTTP/1.1 400
        o5 closed
        o6 send GET /ready HTTP/1.1\r\nContent-Length: 5000\r\n\r\n
        o6 expect HTTP/1.1 413
        c1 call GET /ready
        c1 expect HTTP/1.1 404
        c2 call PUT /drain
        c2 expect HTTP/1.1 404
        c3 call GET /up
        c3 expect HTTP/1.1 200
    )"),
              "");
}

TEST(Admin, CallersThatHangAreNotWaitedFor) {
    std::string script = "start\nc0 call GET /up\nc0 expect HTTP/1.1 200\n";
    for (int i = 1; i <= 40; ++i) script += "o" + std::to_string(i) + " send GET /rea\n";
    script += "o99 call GET /ready\no99 expect HTTP/1.1 200\nwait 2000\no40 closed\n";
    EXPECT_EQ(play(script), "");
}

// Clients that say nothing hold all that may be held: an operator is still heard at once.
TEST(Admin, IsHeardWhileNoDescriptorIsLeft) {
    std::string script = "start 0 48\nc0 call GET /up\nc0 expect HTTP/1.1 200\n";
    for (int i = 1; i <= 60; ++i) script += "c" + std::to_string(i) + " send POST /sa\n";
    script += "o1 call GET /ready\no1 expect HTTP/1.1 200\no2 call GET /metrics\no2 expect app.relayed:0|c\n";
    EXPECT_EQ(play(script), "");
}

TEST(Figures, CountEachMessageOnceWhereItEnds) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        o1 call GET /metrics
        o1 expect app.fulfilled.safe:0|c
        o1 expect app.throttled.payment:0|c
        o1 expect app.open_requests:0|g
        o1 expect app.registry_entries:3|g
        o1 expect app.out_of_rotation:1|g
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        o2 call GET /metrics
        o2 expect app.relayed:1|c
        o2 expect app.open_requests:1|g
        h1 answer 200
        c1 post payment m2 8000m 1
        h expect Req-Id: m2
        h answer 500
        d expect {"id":"m2","status":"undeliverable"}
        d answer 204
        c1 post keyed m3 300m 9
        c1 expect HTTP/1.1 202
        c1 expect HTTP/1.1 202
        d expect {"id":"m3","status":"deferred"
        d answer 204
        c1 post keyed m4 300m 77
        c1 expect HTTP/1.1 503
        o3 call GET /metrics
        o3 expect app.fulfilled.safe:1|c
        o3 expect app.throttled.safe:0|c
        o3 expect app.throttled.keyed:2|c
        o3 expect app.fulfilled.payment:0|c
        o3 expect app.faulted.payment:1|c
        o3 expect app.relayed:2|c
        o3 expect app.open_requests:0|g
    )"),
              "");
}

TEST(Figures, CountConnectionsToEndpointsByWhatEndedThem) {
    EXPECT_EQ(play(R"(
        start
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 200
        wait 700
        c1 post safe m2 8000m 1
        h1 expect Req-Id: m2
        h1 answer 200
        wait 100
        h1 answer 200
        h1 closed
        c1 post safe m3 8000m 1
        h2 expect Req-Id: m3
        h2 answer 200
        wait 100
        h2 close
        wait 100
        o1 call GET /metrics
        o1 expect app.connections_opened:2|c
        o1 expect app.connections_reused:1|c
        o1 expect app.connections_closed.unsolicited:1|c
        o1 expect app.connections_closed.peer:1|c
    )"),
              "");
}

TEST(Figures, BeginAtZeroAndCountTheEndsOfAnEarlierLife) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        h1 answer 200
        c1 post payment m2 8000m 1
        h expect Req-Id: m2
        kill
        start
        d expect {"id":"m2","status":"undeliverable"}
        o1 call GET /metrics
        o1 expect app.fulfilled.safe:0|c
        o1 expect app.faulted.payment:1|c
        o1 expect app.relayed:0|c
    )"),
              "");
}

TEST(Drain, SendsClientsAwayAndFinishesWhatItHolds) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        c2 call GET /up
        c2 expect HTTP/1.1 200
        c5 post safe m5 8000m 1
        c5 expect HTTP/1.1 202
        o1 call PUT /drain
        o1 expect HTTP/1.1 200
        o2 call GET /ready
        o2 expect HTTP/1.1 503
        c3 call GET /up
        c3 expect HTTP/1.1 503
        c3 expect Connection: close
        c3 closed
        c1 post safe m2 8000m 1
        c1 expect HTTP/1.1 202
        c1 expect Connection: close
        c1 closed
        c4 post safe m3 8000m 1
        c4 expect HTTP/1.1 202
        c4 expect Connection: close
        c2 closed
        c5 closed
        h1 answer 200
        h expect m2 key-m2
        o3 call PUT /drain
        o3 expect HTTP/1.1 200
        o4 call PUT /undrain
        o4 expect HTTP/1.1 200
        c6 call GET /up
        c6 expect HTTP/1.1 200
        c7 post safe m4 8000m 2
        c7 expect HTTP/1.1 202
        wait 800
        c7 post safe m6 8000m 2
        c7 expect HTTP/1.1 202
    )"),
              "");
}

TEST(Drain, LeavesNoConnectionAfterFourSecondsAndCutsNoneInMidRequest) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        c1 send POST /safe HTTP/1.1\r\nReq-Id: m1\r\nReq-Owner: acme\r\nReq-Deadline: 8000m\r\n
        o1 call PUT /drain
        o1 expect HTTP/1.1 200
        c2 send POST /safe HTTP/1.1\r\nReq-Id: m2\r\n
        wait 1200
        c1 send X-Addressing: dest=1\r\nContent-Length: 2\r\n\r\nhi
        c1 expect HTTP/1.1 202
        c1 closed
        wait 1500
        c2 closed
    )"),
              "");
}

TEST(Drain, EndsWithSigtermAsEver) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect HTTP/1.1 200
        o1 call PUT /drain
        o1 expect HTTP/1.1 200
        reload e
        term
        c1 call GET /up
        c1 expect HTTP/1.1 503
        o2 call PUT /undrain
        o2 expect HTTP/1.1 503
        exits 0
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
