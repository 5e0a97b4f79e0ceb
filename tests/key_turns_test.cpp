// Whose turn it is among the messages of a key: the decision alone, and the module that goes by it.
#include "policy/key_turns.hpp"

#include <gtest/gtest.h>

#include "rig.hpp"

namespace brasslift::test {
namespace {

using policy::KeyTurns;

TEST(KeyTurns, GoInTheOrderOfHandInAndOneAtATime) {
    KeyTurns turns;
    turns.join(7, 30);
    turns.join(7, 10);
    turns.join(8, 20);
    EXPECT_TRUE(turns.has_turn(7, 30, 0));
    EXPECT_FALSE(turns.has_turn(7, 10, 0));
    EXPECT_TRUE(turns.has_turn(8, 20, 0));
    turns.leave(7, 10);  // out of its turn
    EXPECT_TRUE(turns.has_turn(7, 30, 0));
    turns.leave(7, 30);
    EXPECT_EQ(turns.front(7), std::nullopt);
    EXPECT_EQ(turns.keys(), 1U);
}

TEST(KeyTurns, AKeyRestsAndIsForgottenOnlyThen) {
    KeyTurns turns;
    turns.join(7, 1);
    turns.rest(7, 100);
    turns.leave(7, 1);
    turns.join(7, 2);
    EXPECT_FALSE(turns.has_turn(7, 2, 99));
    EXPECT_TRUE(turns.has_turn(7, 2, 100));
    turns.leave(7, 2);
    turns.forget_rested(99);
    EXPECT_EQ(turns.keys(), 1U);
    turns.forget_rested(100);
    EXPECT_EQ(turns.keys(), 0U);
}

constexpr std::uint16_t ordered_class = 3;

Arrival arrival(MessageId id, Time due, std::uint64_t key) {
    Arrival a;
    a.id = id;
    a.message_class = ordered_class;
    a.key = key;
    a.due = due;
    a.destination = 1;
    return a;
}

Settings told_later() {
    auto s = settings();
    s.ends_settle_later = true;
    return s;
}

int attempts_in(const std::vector<Action>& actions) {
    int count = 0;
    for (const auto& action : actions) count += std::holds_alternative<Attempt>(action) ? 1 : 0;
    return count;
}

// A message whose end its client is still to be told of.
TEST(KeyTurns, TheModuleKeepsAKeysTurnUntilAnEndIsSettled) {
    Rig rig(told_later());
    rig.list(0, 1, 1, 2);
    rig.list(0, 2, 5, 0);
    ASSERT_EQ(attempts_in(rig.tell(10, arrival(1, 20010, 77))), 1);
    EXPECT_EQ(attempts_in(rig.tell(11, arrival(2, 20011, 77))), 0);
    Outcome out;
    out.id = 1;
    out.endpoint = rig.flying().front().second.endpoint;
    out.result = Result::reset;
    EXPECT_EQ(attempts_in(rig.tell(100, out)), 0);  // it failed: a Fail, and a notice that is not answered
    EXPECT_EQ(attempts_in(rig.tell(1000, TimerFired{})), 0);
    EXPECT_EQ(attempts_in(rig.tell(1001, Settled{1})), 1);
}

TEST(KeyTurns, TheModuleKeepsTheTurnOfAnEndThatAnEarlierLifeOwes) {
    Rig rig(told_later());
    rig.list(0, 1, 1, 2);
    rig.tell(5, Unsettled{1, 77});
    Restored second;
    second.message = arrival(2, 20000, 77);
    EXPECT_EQ(attempts_in(rig.tell(5, second)), 0);
    EXPECT_EQ(attempts_in(rig.tell(50, Settled{1})), 1);
}

// What was out when the process ended may still run: the key rests, and whoever had the turn has it.
TEST(KeyTurns, TheModuleRestsAKeyWhoseCallWasCut) {
    Rig rig(told_later());
    rig.list(0, 1, 1, 2);
    Restored first;
    first.message = arrival(1, 20000, 77);
    first.attempts = 1;
    first.may_have_run = true;
    first.cut = true;
    rig.tell(5, first);  // it may not be sent again: a Fail
    Restored second;
    second.message = arrival(2, 20000, 77);
    rig.tell(5, second);
    EXPECT_EQ(attempts_in(rig.tell(6, Settled{1})), 0);
    EXPECT_EQ(attempts_in(rig.tell(5 + 300 + 4, TimerFired{})), 0);
    EXPECT_EQ(attempts_in(rig.tell(5 + 300 + 10, TimerFired{})), 1);
}

TEST(KeyTurns, ALaterMessageThatEndsOutOfTurnLeavesTheTurnWhereItIs) {
    Rig rig(told_later());
    rig.list(0, 1, 1, 2);
    rig.tell(10, arrival(1, 20010, 77));
    rig.tell(11, arrival(2, 500, 77));
    rig.tell(12, arrival(3, 20012, 77));
    rig.tell(495, TimerFired{});  // the second one's time is up
    EXPECT_EQ(attempts_in(rig.tell(496, Settled{2})), 0);
    Outcome out;
    out.id = 1;
    out.endpoint = rig.flying().front().second.endpoint;
    out.result = Result::ok;
    EXPECT_EQ(attempts_in(rig.tell(500, out)), 1);
}

}  // namespace
}  // namespace brasslift::test
