// The story: after a kill, while discovery was silent, payments went to the endpoint of another destination.
// The process that started began with the list of its config, which still had an entry that discovery had
// withdrawn from the process before.
//
// The cause: that an entry holds no longer was written by the core, which knows of destinations that are
// awake alone (over 1,024 hosts most sleep), by its uid alone (an endpoint that moved, or served another
// destination from then on, was "ready" again), for an hour, and of the newest 4,096 only.
//
// The evidence: review/1, and these tests on the program as found. Each begins a process with a list, tells
// it of a change, and begins the next process with the list as it was.
#include <gtest/gtest.h>

#include <algorithm>

#include "one_process.hpp"

namespace brasslift::test {
namespace {

using namespace one_process;

constexpr int few = 30, home = 5, other = 6;

News list_of(int hosts, runtime::Address at_home) {
    auto list = whole_list({{home, at_home}});
    list.lines.resize(static_cast<std::size_t>(hosts));
    return list;
}

runtime::Address free_address() { return *runtime::parse_address(lab::local_text(lab::free_port())); }

// Small deployments are awake as a whole; in large ones all sleep but those that get messages.
class OldList : public testing::TestWithParam<int> {
protected:
    using Changes = std::vector<News>;

    // Discovery says `changes` to a process that begins with a list; the next one begins with that list,
    // hears nothing, and gets a message for `home`. Whether it is sent to where `home` was at first.
    bool reaches_the_former_address(const Changes& changes) {
        {
            Life first(folder_.path());
            first.begin(list_of(GetParam(), at_));
            for (const auto& change : changes) {
                first.change(change);
                first.run_for(30);
            }
        }
        return sends_home(list_of(GetParam(), at_));
    }
    bool sends_home(const News& known, const News* then_said = nullptr) {
        Life next(folder_.path());
        auto& endpoint = next.endpoint_at(at_);
        next.begin(known);
        if (then_said != nullptr) next.change(*then_said);
        next.run_for(30);
        const auto name = "m" + std::to_string(++submitted_);
        next.submit(home, name);
        return next.await([&] { return std::count(endpoint.came.begin(), endpoint.came.end(), name) > 0; },
                          400);
    }
    const runtime::Address at_ = free_address(), elsewhere_ = nowhere(7000);
    Folder folder_;
    int submitted_ = 0;
};

const std::string home_uid = "s-" + std::to_string(home);

// Guards against an entry that discovery withdrew while its destination slept.
TEST_P(OldList, AnEntryThatWasWithdrawnStaysSo) {
    EXPECT_FALSE(reaches_the_former_address(
        {change_of({line_of(home_uid, home, at_, ListingState::gone), line_of("s-new", other, at_)})}));
}

TEST_P(OldList, AnEntryThatDrainsStaysSo) {
    EXPECT_FALSE(
        reaches_the_former_address({change_of({line_of(home_uid, home, at_, ListingState::draining)})}));
}

// Guards against an address that another endpoint has by now, of which alone discovery spoke.
TEST_P(OldList, AnAddressThatAnotherEndpointTookIsItsOwn) {
    EXPECT_FALSE(reaches_the_former_address({change_of({line_of("s-new", other, at_)})}));
}

// Guards against a uid that is ready, but no longer there.
TEST_P(OldList, AnEndpointThatMovedIsNotSoughtAtItsFormerAddress) {
    EXPECT_FALSE(reaches_the_former_address({change_of({line_of(home_uid, home, elsewhere_)})}));
}

// Guards against a uid that is ready, but for others.
TEST_P(OldList, AnEndpointThatServesAnotherDestinationGetsNothingOfItsFormerOne) {
    EXPECT_FALSE(reaches_the_former_address({change_of({line_of(home_uid, other, at_)})}));
}

TEST_P(OldList, WhatAWholeListDoesNotNameStaysAway) {
    auto without = list_of(GetParam(), at_);
    without.version = 2;
    std::erase_if(without.lines, [](const auto& line) { return line.uid == home_uid; });
    EXPECT_FALSE(reaches_the_former_address({without}));
}

TEST_P(OldList, WhatAWholeListMovesIsNotSoughtAtItsFormerAddress) {
    auto moved = list_of(GetParam(), elsewhere_);
    moved.version = 2;
    EXPECT_FALSE(reaches_the_former_address({moved}));
}

TEST_P(OldList, AnEntryThatCameBackHoldsAgain) {
    EXPECT_TRUE(reaches_the_former_address({change_of({line_of(home_uid, home, at_, ListingState::draining)}),
                                            change_of({line_of(home_uid, home, at_)}, 3)}));
}

TEST_P(OldList, AnEntryThatAWholeListNamesAgainHoldsAgain) {
    auto again = list_of(GetParam(), at_);
    again.version = 3;
    EXPECT_TRUE(
        reaches_the_former_address({change_of({line_of(home_uid, home, at_, ListingState::gone)}), again}));
}

// Guards against a record that is full: the oldest of it must not be forgotten in silence.
TEST_P(OldList, NothingOfItIsBelievedWhereMoreHasDepartedThanIsKept) {
    {
        Life first(folder_.path());
        first.begin(list_of(GetParam(), at_));
        News left;
        left.version = 2;
        left.lines.push_back(line_of(home_uid, home, at_, ListingState::draining));
        const auto beyond = static_cast<int>(cluster::Departures::most) + 100;
        for (int i = 0; i < beyond; ++i)
            left.lines.push_back(line_of("t-" + std::to_string(i), 9, nowhere(i), ListingState::draining));
        first.change(left);
        first.run_for(30);
        EXPECT_FALSE(first.ledger.departed().complete);
    }
    EXPECT_FALSE(sends_home(list_of(GetParam(), at_)));
    auto whole = list_of(GetParam(), at_);
    whole.version = 3;
    EXPECT_TRUE(sends_home(list_of(GetParam(), at_), &whole));
    EXPECT_TRUE(sends_home(list_of(GetParam(), at_)));  // it has heard all that there is to know
}

// Guards against a change of version: records that name uids alone bind until discovery speaks of them.
TEST_P(OldList, TheNextProcessKnowsOfAPredecessorsRecordsOfUidsAlone) {
    {
        Life first(folder_.path());
        first.begin(list_of(GetParam(), at_));
        dispatch::DepartureChange as_before;
        as_before.departed[store::hash_of(home_uid)] = true;
        first.ledger.note_departures(as_before);
    }
    EXPECT_FALSE(sends_home(list_of(GetParam(), at_)));
    const auto word = change_of({line_of(home_uid, home, at_)});
    EXPECT_TRUE(sends_home(list_of(GetParam(), at_), &word));
    EXPECT_TRUE(sends_home(list_of(GetParam(), at_)));
}

INSTANTIATE_TEST_SUITE_P(Sizes, OldList, testing::Values(few, many));

TEST(OldListRecords, AreNotForgottenByTheirAge) {
    for (const auto& rule : dispatch::ledger_keyspaces()) {
        const bool of_departures = rule.id == dispatch::LeavingCodec::id;
        EXPECT_FALSE(of_departures && rule.retention.any());
    }
}

}  // namespace
}  // namespace brasslift::test
