// The rule on order, on the real program among scripted peers: in a class that keeps order, messages of one
// key go one at a time, in the order of hand-in, also over restarts. The messages of a key go to two
// destinations here, so that nothing but the rule holds the second one back.
#include <gtest/gtest.h>

#include "scenario.hpp"

namespace brasslift::test {
namespace {

// As the incident of 2026-12-02 (docs/incidents) shows it: a backlog of a key, its destination slow, a
// planned restart and a kill. A message that was out at the end ends with a notice, and only when that is
// answered the next one has its turn.
TEST(KeyOrder, HoldsOverASlowDestinationATermAndAKill) {
    EXPECT_EQ(play(R"(
        ordered
        start
        c1 post ordered?key=visit-1 m1 12000m 1
        c1 expect 202
        h1 expect Req-Id: m1
        c1 post ordered?key=visit-1 m2 12000m 2
        c1 expect 202
        c1 post ordered?key=visit-1 m3 12000m 1
        c1 expect 202
        c1 post ordered?key=visit-2 n1 12000m 2
        c1 expect 202
        g expect Req-Id: n1
        g answer 200
        g absent Req-Id: m2 300
        term
        exits 0
        start
        d expect {"id":"m1","status":"undeliverable"}
        g absent Req-Id: m2 500
        d answer 204
        g expect Req-Id: m2
        h absent Req-Id: m3 300
        kill
        start
        d expect {"id":"m2","status":"undeliverable"}
        h absent Req-Id: m3 300
        d answer 204
        h expect Req-Id: m3
        h answer 200
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
