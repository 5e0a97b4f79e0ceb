// A large fleet shares one discovery: the watch is let go and asked for again at a spread pace.
#include <gtest/gtest.h>

#include <set>

#include "cluster/pace.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

using cluster::WatchEnd;
using cluster::WatchPace;

TEST(WatchPace, HoldsTheWatchOfASmallFleetAndReasksAsBefore) {
    WatchPace pace(7, 3);
    EXPECT_FALSE(pace.lets_go());
    for (int i = 0; i < 10; ++i) pace.after(WatchEnd::unreachable);
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_small_ms);
    const double pause = pace.after(WatchEnd::heard);
    EXPECT_EQ(pace.pause_ms(), WatchPace::first_ms);
    EXPECT_GE(pause, WatchPace::first_ms * WatchPace::spread_low);
    EXPECT_LE(pause, WatchPace::first_ms * WatchPace::spread_high);
}

TEST(WatchPace, BacksOffRefusalsToTheCeilingAndComesBackByStepsOnly) {
    WatchPace pace(7, 100);
    EXPECT_TRUE(pace.lets_go());
    double last = pace.pause_ms();
    for (int i = 0; i < 10; ++i) {
        const double pause = pace.after(WatchEnd::refused);
        EXPECT_GE(pace.pause_ms(), last);
        EXPECT_LE(pause, WatchPace::longest_ms * WatchPace::spread_high);
        last = pace.pause_ms();
    }
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_ms);
    pace.after(WatchEnd::heard);  // one heard watch does not bring the fleet back at once
    EXPECT_EQ(pace.pause_ms(), WatchPace::longest_ms * WatchPace::heard_keeps);
    for (int i = 0; i < 20; ++i) pace.after(WatchEnd::heard);
    EXPECT_EQ(pace.pause_ms(), WatchPace::poll_ms);
    pace.after(WatchEnd::unreachable);
    EXPECT_EQ(pace.pause_ms(), 2 * WatchPace::poll_ms);
    pace.reset();
    EXPECT_EQ(pace.pause_ms(), WatchPace::poll_ms);
}

// Dispatchers killed together must not come back together: each draws its own pause.
TEST(WatchPace, PartsAFleetThatWasRefusedTogether) {
    std::set<long> pauses;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        WatchPace pace(seed * 0x9e3779b97f4a7c15ULL, 100);
        pace.after(WatchEnd::refused);
        pauses.insert(static_cast<long>(pace.after(WatchEnd::refused) / 100));  // in tenths of a second
    }
    EXPECT_GE(pauses.size(), 30u);  // 8 s of spread in 0.1 s steps
}

TEST(WatchPace, KeepsToAToldWaitWithinItsBound) {
    WatchPace pace(7, 100);
    EXPECT_GE(pace.after(WatchEnd::refused, 7000), 7000);
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
        d2 absent GET 900
        wait 1500
        d2 expect GET /discovery/hosts?stream=1&index=2
        d2 send HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n
        d2 closed
        d3 absent GET 1900
        wait 3000
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

}  // namespace
}  // namespace brasslift::test
