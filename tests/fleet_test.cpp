// A large fleet shares one discovery: the watch is let go and asked for again at a spread pace.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cluster/pace.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

using cluster::WatchEnd;
using cluster::WatchPace;

constexpr WatchEnd every_end[] = {WatchEnd::heard, WatchEnd::silent, WatchEnd::refused,
                                  WatchEnd::unreachable};

// The law, over all sequences of what may happen: a call that is under way as discovery comes back may fail
// after its limit; then a pause runs, and the next call brings the word. A watch that fell silent right after
// a line is given up silence_ms later.
struct Law {
    cluster::WatchTerms terms;
    double worst = 0, worst_silent = 0,
           worst_of_pushed = 0;  // from when discovery can be reached, or fell silent

    void follow(WatchPace pace, int steps) {
        for (const auto end : every_end)
            for (const double retry_after : {0.0, 1e9}) {
                auto next = pace;
                const double drawn = next.after(end, retry_after);
                const double most = std::max(drawn, next.pause_ms() * WatchPace::spread_high);
                EXPECT_GE(drawn, next.pause_ms() * WatchPace::spread_low);
                worst = std::max(worst, pace.limit_ms() + most);
                if (retry_after == 0 && end == WatchEnd::silent)
                    worst_silent = std::max(worst_silent, WatchPace::silence_ms + most);
                if (retry_after == 0 && end != WatchEnd::refused)
                    worst_of_pushed = std::max(worst_of_pushed, pace.limit_ms() + most);
                if (steps > 1) follow(next, steps - 1);
            }
    }
};

TEST(WatchPace, HasTheWordInTimeAfterWhateverWentBefore) {
    for (const int senders : {1, 3, 10, 11, 30, 300})
        for (const bool pushed : {false, true})
            for (const double grace : {250.0, 500.0, 2000.0}) {
                Law law{{senders, pushed, grace}};
                law.follow(WatchPace(senders * 7, law.terms), 5);
                EXPECT_LT(law.worst, WatchPace::within_ms) << senders << pushed << grace;
                EXPECT_LT(law.worst_silent, WatchPace::within_ms) << senders << pushed << grace;
                // What the agent has as it comes back counts at once: nothing is sent on an old list past the
                // grace.
                EXPECT_LT(law.worst_of_pushed, pushed ? 0.8 * grace : WatchPace::within_ms)
                    << senders << grace;
            }
}

// It waits for one and a half of the empty lines that come every 2 s, and no longer for a first line than for
// a dial.
TEST(WatchPace, WaitsForAFirstByteNoLongerThanForADial) {
    EXPECT_EQ(WatchPace::silence_ms, 3000);
    for (const int senders : {3, 300}) {
        EXPECT_EQ(WatchPace(1, {senders, false, 2000}).limit_ms(), 1000);
        EXPECT_EQ(WatchPace(1, {senders, true, 2000}).limit_ms(), 500);
        EXPECT_EQ(WatchPace(1, {senders, true, 250}).limit_ms(), 100);
    }
}

TEST(WatchPace, HoldsTheWatchOfASmallFleetAndReasksAsBefore) {
    WatchPace pace(7, {3, false, 2000});
    EXPECT_FALSE(pace.lets_go());
    for (int i = 0; i < 10; ++i) pace.after(WatchEnd::unreachable);
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_small_ms);
    const double pause = pace.after(WatchEnd::heard);
    EXPECT_EQ(pace.pause_ms(), WatchPace::first_ms);
    EXPECT_GE(pause, WatchPace::first_ms * WatchPace::spread_low);
    EXPECT_LE(pause, WatchPace::first_ms * WatchPace::spread_high);
}

TEST(WatchPace, BacksOffRefusalsToTheCeilingAndComesBackWhereItIsHeard) {
    WatchPace pace(7, {100, false, 2000});
    EXPECT_TRUE(pace.lets_go());
    double last = pace.pause_ms();
    for (int i = 0; i < 10; ++i) {
        const double pause = pace.after(WatchEnd::refused);
        EXPECT_GE(pace.pause_ms(), last);
        EXPECT_LE(pause, WatchPace::longest_ms * WatchPace::spread_high);
        last = pace.pause_ms();
    }
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_ms);
    EXPECT_TRUE(pace.slowest());
    pace.after(WatchEnd::heard);
    EXPECT_EQ(pace.pause_ms(), WatchPace::poll_ms);
    pace.after(WatchEnd::unreachable);
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_ms);
    pace.reset();
    EXPECT_EQ(pace.pause_ms(), WatchPace::poll_ms);
    // Where lists are pushed, what comes after a heard watch counts at once, whatever was refused before.
    WatchPace pushed(7, {100, true, 2000});
    for (int i = 0; i < 10; ++i) pushed.after(WatchEnd::refused);
    EXPECT_EQ(pushed.pause_ms(), WatchPace::longest_ms);
    pushed.after(WatchEnd::heard);
    EXPECT_EQ(pushed.pause_ms(), 500);  // a quarter of the grace
}

// Dispatchers killed together must not come back together: each draws its own pause.
TEST(WatchPace, PartsAFleetThatWasRefusedTogether) {
    std::set<long> pauses;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        WatchPace pace(seed * 0x9e3779b97f4a7c15ULL, {100, false, 2000});
        pace.after(WatchEnd::refused);
        pauses.insert(static_cast<long>(pace.after(WatchEnd::refused) / 50));  // in twentieths of a second
    }
    EXPECT_GE(pauses.size(), 30u);  // 2.6 s of spread in 0.05 s steps
}

TEST(WatchPace, KeepsToARetryAfterWithinItsBound) {
    WatchPace pace(7, {100, false, 2000});
    EXPECT_GE(pace.after(WatchEnd::refused, 3500), 3500);
    EXPECT_LE(pace.after(WatchEnd::refused, 1e9), WatchPace::longest_ms * WatchPace::spread_high);
}

// In a large fleet the watch ends with the changes it brought; the next comes after a pause and asks for
// what followed them; a refusal doubles the pause.
TEST(Fleet, LetsTheWatchGoAndAsksAgainLater) {
    EXPECT_EQ(play(R"(
        fleet 100
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        d1 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5b\r\n{"rev":2,"all":false,"targets":[{"uid":"s-1","endpoint":"","pod_group":1,"state":"Gone"}]}\n\r\n
        d1 closed
        d2 absent GET 200
        d2 expect GET /discovery/hosts?stream=1&index=2
        d2 send HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n
        d2 closed
        d3 absent GET 400
        d3 expect GET /discovery/hosts?stream=1&index=2
    )"),
              "");
}

// A small fleet keeps its watch open, as before.
TEST(Fleet, HoldsTheWatchOfAFewDispatchers) {
    EXPECT_EQ(play(R"(
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        d1 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5b\r\n{"rev":2,"all":false,"targets":[{"uid":"s-1","endpoint":"","pod_group":1,"state":"Gone"}]}\n\r\n
        d1 send 1\r\n\n\r\n
        d2 absent GET 1500
    )"),
              "");
}

// Where lists are pushed, changes that follow each other within a second are each heard well within the
// grace.
TEST(Fleet, HearsTheNextChangeWithinTheGrace) {
    EXPECT_EQ(play(R"(
        fleet 300
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        d1 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5b\r\n{"rev":2,"all":false,"targets":[{"uid":"s-1","endpoint":"","pod_group":1,"state":"Gone"}]}\n\r\n
        d1 closed
        d2 expect GET /discovery/hosts?stream=1&index=2
        d2 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5b\r\n{"rev":3,"all":false,"targets":[{"uid":"s-2","endpoint":"","pod_group":2,"state":"Gone"}]}\n\r\n
        d2 closed
        c1 post safe m1 8000m 2
        c1 expect 202
        g absent POST 300
    )"),
              "");
}

// A list comes indented over many lines and cut between two writes; it is read whole and nothing is asked
// again.
TEST(Discovery, IsHeardWhereListsComeIndentedAndInPieces) {
    EXPECT_EQ(play(R"(
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        d1 send HTTP/1.1 200 OK\r\n\r\n\n{\n  "rev": 2,\n  "all": false,\n  "targets": [\n    {\n      "uid": "s-
        d1 absent GET 100
        d1 send 1",\n      "endpoint": "",\n      "pod_group": 1,\n      "state": "Gone"\n    }\n  ]\n}\n
        wait 100
        c1 post safe m1 8000m 1
        c1 expect 202
        h absent POST 300
        d1 close
        d2 expect GET /discovery/hosts?stream=1&index=2
    )"),
              "");
}

// What cannot be read may have told something: the whole list is asked for, not what follows the next object.
TEST(Discovery, IsAskedForTheWholeListAfterAnObjectThatCannotBeRead) {
    EXPECT_EQ(play(R"(
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        d1 send HTTP/1.1 200 OK\r\n\r\n{"rev":"x"}\n{"rev":9,"all":false,"targets":[]}\n
        d1 closed
        d2 expect GET /discovery/hosts?stream=1&index=0
    )"),
              "");
}

// A call that is taken and not answered is given up within the limit, long before a live watch would be.
TEST(Discovery, IsAskedAgainSoonWhereACallIsNotAnswered) {
    EXPECT_EQ(play(R"(
        start
        d1 expect GET /discovery/hosts?stream=1&index=1
        wait 700
        d2 expect GET /discovery/hosts?stream=1&index=1
        d2 send HTTP/1.1 200 OK\r\n\r\n\n
        wait 2500
        d2 send \n
        d3 absent GET 2500
        d3 expect GET /discovery/hosts?stream=1&index=1
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
