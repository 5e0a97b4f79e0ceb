// Replacing the process under load: the real program, twice, among scripted peers; and the decisions alone.
#include <gtest/gtest.h>

#include <algorithm>

#include "cluster/cluster.hpp"
#include "dispatch/dispatcher.hpp"
#include "downstream/server.hpp"
#include "handover/decide.hpp"
#include "rig.hpp"
#include "scenario.hpp"
#include "state/archive.hpp"
#include "upstream/pool.hpp"

namespace brasslift::test {
namespace {

using handover::Answer;
using handover::Asked;
using handover::Next;
using lifecycle::Phase;

TEST(HandoverDecides, WhoGivesAndToWhom) {
    const handover::Hello own{handover::format, 7};
    EXPECT_EQ(answer_to(own, own, Phase::ready, true), Answer::give);
    EXPECT_EQ(answer_to(own, own, Phase::draining, true), Answer::give);
    EXPECT_EQ(answer_to(own, own, Phase::ready, false), Answer::not_now);
    for (const auto phase : {Phase::starting, Phase::handing_over, Phase::handed_over, Phase::stopping})
        EXPECT_EQ(answer_to(own, own, phase, true), Answer::not_now);
    EXPECT_EQ(answer_to({own.format + 1, 7}, own, Phase::ready, true), Answer::other_format);
    EXPECT_EQ(answer_to({own.format, 8}, own, Phase::ready, true), Answer::other_settings);
}

TEST(HandoverDecides, WhatAStartDoesNext) {
    EXPECT_EQ(next_after(Asked::taken, true), Next::resume);
    EXPECT_EQ(next_after(Asked::nobody, false), Next::start);
    EXPECT_EQ(next_after(Asked::silent, false), Next::start);  // it has let the store go: it is over
    EXPECT_EQ(next_after(Asked::not_now, true), Next::ask_again);
    EXPECT_EQ(next_after(Asked::nobody, true), Next::ask_again);  // it may just be coming up
    EXPECT_EQ(next_after(Asked::silent, true), Next::wait);
    EXPECT_EQ(next_after(Asked::declined, true), Next::wait);
}

// Another shape of anything that travels is another format: count handover::format up with these numbers.
TEST(HandoverFormat, IsCountedUpWithEachChange) {
    Sender sender(settings(), 1);
    std::vector<Action> actions;
    std::vector<Listing> lines(1);
    lines[0].endpoint = endpoint(1);
    sender.handle(0, ListUpdate{.whole = true, .entries = lines}, actions);
    Arrival arrival;
    arrival.id = 5;
    arrival.due = 20000;
    sender.handle(10, arrival, actions);
    upstream::PoolState pool;
    pool.hosts.emplace_back();
    pool.waits[1] = 2;
    pool.flights.emplace_back().messages.emplace_back();
    pool.idle.emplace_back();
    cluster::ClusterState cluster;
    cluster.hosts.emplace_back();
    dispatch::CoreState core;
    core.hosts.emplace_back();
    downstream::ServerState server;
    server.clients.emplace_back();
    EXPECT_EQ(handover::format, 8U);
    EXPECT_EQ(sender.save().size(), 1093U);
    EXPECT_EQ(state::pack(pool).size(), 288U);
    EXPECT_EQ(state::pack(cluster).size(), 100U);
    EXPECT_EQ(state::pack(core).size(), 118U);
    EXPECT_EQ(state::pack(server).size(), 49U);
}

TEST(HandoverFormat, WhatIsCutOrChangedIsNotTaken) {
    const auto whole = Sender(settings(), 1).save();
    EXPECT_TRUE(Sender(settings(), 2).load(whole));
    EXPECT_FALSE(Sender(settings(), 2).load(whole.substr(0, whole.size() - 1)));
    EXPECT_FALSE(Sender(settings(), 2).load(whole + 'x'));
    EXPECT_FALSE(Sender(settings(), 2).load(""));
}

// The module in another process is the same module: a told wait and attempts made go on.
TEST(Handover, TheModuleGoesOn) {
    auto s = settings();
    s.max_attempts = 2;
    Sender first(s, 1), second(s, 2);
    std::vector<Action> actions;
    std::vector<Listing> lines(1);
    lines[0].endpoint = endpoint(1);
    lines[0].weight = 100;
    const auto land = [&](Sender& sender, Time now, MessageId id, int attempt) {
        Outcome o;
        o.id = id;
        o.endpoint = endpoint(1);
        o.attempt = attempt;
        o.result = Result::full;
        o.wait_ms = 1000;
        sender.handle(now, o, actions);
    };
    const auto sent = [&] {
        return std::count_if(actions.begin(), actions.end(),
                             [](const Action& a) { return std::holds_alternative<Attempt>(a); });
    };
    first.handle(0, ListUpdate{.whole = true, .entries = lines}, actions);
    Arrival a;
    a.id = 1;
    a.due = 20000;
    first.handle(10, a, actions);
    ASSERT_EQ(sent(), 1);
    land(first, 60, 1, 0);
    ASSERT_TRUE(second.load(first.save()));
    actions.clear();
    for (Time now = 100; now < 1060; now += 20) second.handle(now, TimerFired{0}, actions);
    EXPECT_EQ(sent(), 0);  // the wait that the first was told
    Time now = 1060;
    for (; now < 15000 && sent() == 0; now += 20) second.handle(now, TimerFired{0}, actions);
    ASSERT_EQ(sent(), 1);
    actions.clear();
    land(second, now, 1, 1);  // its second attempt, and so its last
    EXPECT_TRUE(std::any_of(actions.begin(), actions.end(),
                            [](const Action& action) { return std::holds_alternative<Refuse>(action); }));
}

std::string play_up(const std::string& script) {
    return play("start\nc0 call GET /up\nc0 expect HTTP/1.1 200\n" + script);
}

TEST(Handover, APaymentThatIsOutEndsInTheNewProcess) {
    EXPECT_EQ(play_up(R"(
        c1 post payment m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        replace
        q1 call GET /ready
        q1 expect HTTP/1.1 503
        q2 call GET /metrics
        q2 expect app.relayed:1|c
        term former
        former exits 0
        h1 answer 200
        h absent Req-Id: m1 300
        d absent m1 100
        o1 call GET /metrics
        o1 expect app.fulfilled.payment:1|c
        o1 expect app.faulted.payment:0|c
        o1 expect app.relayed:0|c
        o1 expect app.open_requests:0|g
    )"),
              "");
}

// A kept connection, one in mid-request, one in mid-body: none of them notices.
TEST(Handover, ClientsGoOnWhereTheyWere) {
    EXPECT_EQ(play_up(R"(
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        c2 send POST /safe HTTP/1.1\r\nReq-Id: m2\r\nReq-Ow
        c3 send POST /safe HTTP/1.1\r\nReq-Id: m3\r\nReq-Owner: acme\r\nReq-Deadline: 8000m\r\nX-Addressing: dest=2\r\nContent-Length: 4\r\n\r\nab
        wait 100
        replace
        c2 send ner: acme\r\nReq-Deadline: 8000m\r\nX-Addressing: dest=2\r\nContent-Length: 2\r\n\r\nhi
        c2 expect HTTP/1.1 202
        c3 send cd
        c3 expect HTTP/1.1 202
        g expect Req-Id: m2
        g answer 200
        g expect abcd
        c1 post safe m4 8000m 2
        c1 expect HTTP/1.1 202
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 answer 200
        h absent Req-Id: m1 300
    )"),
              "");
}

TEST(Handover, AToldWaitBindsTheNewProcess) {
    EXPECT_EQ(play_up(R"(
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 429 X-RateLimit-Wait-Ms: 1500
        wait 100
        replace
        c2 post safe m2 8000m 1
        c2 expect HTTP/1.1 202
        h absent m2 1000
        h expect POST /inbox
    )"),
              "");
}

// A wait that is told in an answer to the old process's call, heard by the new one.
TEST(Handover, AnAnswerThatComesLaterIsHeardByTheNewProcess) {
    EXPECT_EQ(play_up(R"(
        c1 post keyed m1 8000m 1
        h1 expect Req-Id: m1
        replace
        kill former
        h1 answer 429 X-RateLimit-Wait-Ms: 1200
        wait 100
        c2 post safe m2 8000m 1
        c2 expect HTTP/1.1 202
        h absent m2 800
        h expect m1
    )"),
              "");
}

TEST(Handover, ANoticeThatIsOwedIsToldByTheNewProcess) {
    EXPECT_EQ(play_up(R"(
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        h1 answer 500
        d expect {"id":"m1","status":"undeliverable"}
        replace
        term former
        former exits 0
        d expect {"id":"m1","status":"undeliverable"}
        d answer 204
        d absent m1 1300
    )"),
              "");
}

TEST(Handover, TwiceInARowAndWhileDraining) {
    EXPECT_EQ(play_up(R"(
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        replace
        kill former
        replace
        term former
        former exits 0
        o1 call PUT /drain
        o1 expect HTTP/1.1 200
        replace beside
        wait 300
        c2 call GET /up
        c2 expect HTTP/1.1 503
        o2 call PUT /undrain
        o2 expect HTTP/1.1 200
        c3 call GET /up
        c3 expect HTTP/1.1 200
        h1 answer 200
        d absent m1 200
        o3 call GET /metrics
        o3 expect app.fulfilled.payment:1|c
        term
        exits 0
    )"),
              "");
}

// A successor that dies or hangs at any step before the commit: the old process goes on where it stopped.
TEST(Handover, ASuccessorThatDiesBeforeTheCommitChangesNothing) {
    const std::string before = R"(
        c1 post payment m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        c2 send POST /safe HTTP/1.1\r\nReq-Id: m2\r\nReq-Owner: acme\r\n
        wait 50
)";
    const std::string after = R"(
        c2 send Req-Deadline: 8000m\r\nX-Addressing: dest=2\r\nContent-Length: 2\r\n\r\nhi
        c2 expect HTTP/1.1 202
        g expect Req-Id: m2
        h1 answer 200
        h absent Req-Id: m1 200
        d absent m1 100
        o1 call GET /ready
        o1 expect HTTP/1.1 200
        o2 call GET /metrics
        o2 expect app.fulfilled.payment:1|c
        replace
)";
    EXPECT_EQ(play_up(before + "heir asks\nheir leaves\n" + after), "");
    EXPECT_EQ(play_up(before + "heir asks\nheir takes\nheir leaves\n" + after), "");
    EXPECT_EQ(play_up(before + "heir asks\nheir takes\nwait 600\n" + after), "");
}

// Past the commit the old process owns nothing: whoever starts next recovers from the store.
TEST(Handover, ASuccessorThatDiesAfterTheCommitIsAKillLikeAnyOther) {
    EXPECT_EQ(play_up(R"(
        c1 post payment m1 8000m 1
        c1 expect HTTP/1.1 202
        h1 expect Req-Id: m1
        c2 post safe m2 8000m 2
        g1 expect Req-Id: m2
        heir asks
        heir takes
        heir ready
        wait 100
        heir leaves
        replace
        d expect {"id":"m1","status":"undeliverable"}
        g expect Req-Id: m2
        h absent Req-Id: m1 200
    )"),
              "");
}

TEST(Handover, KillsOfEitherAndBothLoseNothing) {
    const std::string out = R"(
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        c2 post safe m2 8000m 2
        g1 expect Req-Id: m2
)";
    const std::string recovered = R"(
        start
        d expect {"id":"m1","status":"undeliverable"}
        g expect Req-Id: m2
        h absent Req-Id: m1 300
)";
    EXPECT_EQ(play_up(out + "replace\nkill\nkill former\n" + recovered), "");
    EXPECT_EQ(play_up(out + "replace beside\nkill\nkill former\n" + recovered), "");
    EXPECT_EQ(play_up(out + "replace beside\nwait 10\nkill\nkill former\n" + recovered), "");
    EXPECT_EQ(play_up(out + "replace beside\nwait 25\nkill former\nwait 300\nkill\n" + recovered), "");
}

TEST(Handover, SigtermToTheNewProcessEndsItInOrder) {
    EXPECT_EQ(play_up(R"(
        c1 post payment m1 8000m 1
        h1 expect Req-Id: m1
        replace
        term
        h1 answer 200
        exits 0
        d absent m1 100
    )"),
              "");
}

// Whoever listens there but does not hand over, and has no lock on the store, is not waited for.
TEST(Handover, AnAncestorThatGivesNothingIsNoObstacle) {
    for (const char* const mode : {"silent", "leaves", "babbles", "cuts"})
        EXPECT_EQ(play(std::string("ancestor ") + mode +
                       "\nstart\nc0 call GET /up\nc0 expect HTTP/1.1 200\nc1 post safe m1 8000m 1\n"
                       "c1 expect HTTP/1.1 202\nh1 expect Req-Id: m1\n"),
                  "")
            << mode;
}

// Other settings: the module's state would mean something else. It waits for the store, not ready, and
// recovers.
TEST(Handover, OtherSettingsWaitForTheEndOfTheOldProcess) {
    EXPECT_EQ(play_up(R"(
        c1 post safe m1 8000m 1
        h1 expect Req-Id: m1
        replace other
        wait 300
        o1 call GET /ready
        o1 expect HTTP/1.1 503
        c2 post safe m2 8000m 2
        c2 expect HTTP/1.1 202
        g1 expect Req-Id: m2
        kill former
        h expect Req-Id: m1
        g expect Req-Id: m2
        o2 call GET /ready
        o2 expect HTTP/1.1 200
    )"),
              "");
}

// A reload that is asked for while the process still waits for the store is made once it serves.
TEST(Handover, AReloadThatComesDuringAStartIsMadeOnceItServes) {
    EXPECT_EQ(play_up(R"(
        replace other
        wait 300
        reload e
        wait 100
        kill former
        e expect GET /discovery/hosts?stream=1&index=1
    )"),
              "");
}

TEST(Handover, NobodyIsTurnedBackUnheard) {
    EXPECT_EQ(play_up(R"(
        burst 300 2
        wait 200
        replace
        term former
        former exits 0
        wait 200
        replace
        wait 100
        burst ends
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
