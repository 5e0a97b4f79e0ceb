// The store's decisions, without a store.
#include "store/decide.hpp"

#include <gtest/gtest.h>

namespace brasslift::test {
namespace {

using namespace store;

TEST(StoreDecides, SegmentsByTheBudget) {
    EXPECT_EQ(segment_size_for(2'400'000), 2'400'000U / 8 / block * block);
    EXPECT_EQ(segment_size_for(200'000), 100'000U / block * block);  // one pair
    EXPECT_EQ(segment_size_for(std::uint64_t{100} << 30), std::uint64_t{64} << 20);
}

TEST(StoreDecides, NewWorkIsRefusedFirstAndCopiesLast) {
    Room room{1'000'000, 0, 100'000, 125'000};
    bool fresh = true, owed = true, copy = true;
    std::uint64_t no_fresh = 0, no_owed = 0;
    for (room.used = 0; room.used <= 1'000'000 && copy; room.used += 1000) {
        const bool f = admits(room, block, 100, Purpose::fresh), o = admits(room, block, 100, Purpose::owed);
        copy = admits(room, block, 100, Purpose::copy);
        EXPECT_FALSE(f && !o);
        EXPECT_FALSE(o && !copy);
        if (fresh && !f) no_fresh = room.used;
        if (owed && !o) no_owed = room.used;
        fresh = f;
        owed = o;
    }
    EXPECT_LT(no_fresh, no_owed);
    // What compaction would have to copy always fits behind everything else.
    EXPECT_GE(1'000'000 - no_owed, 100'000U);
    // Live records have a limit of their own, whatever is free.
    EXPECT_FALSE(admits({1'000'000, 0, 524'900, 125'000}, block, 200, Purpose::fresh));
    EXPECT_TRUE(admits({1'000'000, 0, 524'900, 125'000}, block, 200, Purpose::owed));
}

TEST(StoreDecides, WhatToCompact) {
    const Room room{1'000'000, 700'000, 200'000, 125'000};
    std::vector<SegmentState> segments{{1, 125'000, 120'000},
                                       {2, 125'000, 60'000},
                                       {3, 125'000, 10'000},
                                       {4, 125'000, 125'000},
                                       {5, 50'000, 0, false}};
    EXPECT_EQ(victim_of(room, segments, Need::pressing), 3U);
    segments[2].held = true;  // damage that nobody has settled
    EXPECT_EQ(victim_of(room, segments, Need::pressing), 2U);
    EXPECT_EQ(victim_of(room, segments, Need::none), std::nullopt);
    // The same worth: the older one.
    segments[2] = {3, 125'000, 60'000};
    EXPECT_EQ(victim_of(room, segments, Need::background), 2U);
    // Copies that do not fit are not begun; a segment without anything to copy always goes.
    const Room full{1'000'000, 999'000, 200'000, 125'000};
    EXPECT_EQ(victim_of(full, segments, Need::pressing), std::nullopt);
    segments[3] = {4, 125'000, 0};
    EXPECT_EQ(victim_of(full, segments, Need::pressing), 4U);
    EXPECT_TRUE(seal_early(room, segments));
}

Reading whole(Number number, Version first, Version next) {
    Reading r;
    r.number = number;
    r.first = first;
    r.next = next;
    r.durable = first;
    r.listed = true;
    r.size = r.whole = 1000;
    return r;
}

TEST(StoreDecides, WhatAStartConcludes) {
    const std::vector<Reading> sound{whole(1, 1, 10), whole(2, 10, 20), whole(4, 30, 40)};
    auto c = conclude(sound, true, 40);
    EXPECT_TRUE(c.findings.empty());
    EXPECT_FALSE(c.suspect_below);
    EXPECT_EQ(c.next, 40U);

    auto r = sound;  // a torn tail is nothing where it is the last
    r[2].torn_tail = true;
    r[2].whole = 900;
    c = conclude(r, true, 40);
    ASSERT_EQ(c.findings.size(), 1U);
    EXPECT_EQ(c.findings[0].what, Judgement::What::torn);
    EXPECT_TRUE(c.cut_tail);
    EXPECT_FALSE(c.suspect_below);

    r = sound;  // damage in the middle: up to what stands behind it
    r[0].damaged = 50;
    r[0].behind_damage = 7;
    EXPECT_EQ(conclude(r, true, 40).suspect_below, 7U);

    r = sound;  // cut at a frame's end, which the next segment tells
    r[0].next = 8;
    EXPECT_EQ(conclude(r, true, 40).suspect_below, 10U);
    r[1].durable = 8;  // but not where those frames had never been synced
    c = conclude(r, true, 40);
    EXPECT_FALSE(c.suspect_below);
    EXPECT_EQ(c.findings.size(), 1U);

    r = sound;  // shorter than it was sealed
    r[1].promised = 1200;
    EXPECT_EQ(conclude(r, true, 40).suspect_below, 30U);

    r = sound;  // gone: up to what follows; the last one: everything
    r[1].present = false;
    EXPECT_EQ(conclude(r, true, 40).suspect_below, 30U);
    r = sound;
    r[2].present = false;
    c = conclude(r, true, 20);
    EXPECT_EQ(c.suspect_below, c.next);
    EXPECT_GT(c.next, 40U);

    c = conclude(sound, false, 40);  // without a manifest everything
    EXPECT_EQ(c.suspect_below, c.next);
    EXPECT_GT(c.next, 40U);

    r = sound;  // the last record spoilt is no torn tail
    r[2].spoilt_tail = true;
    r[2].whole = 900;
    c = conclude(r, true, 38);
    EXPECT_TRUE(c.suspect_below.has_value());
    EXPECT_FALSE(c.cut_tail);
    EXPECT_TRUE(c.fresh_segment);
}

TEST(StoreDecides, SlicesByTheTimeThatTheyTake) {
    EXPECT_EQ(next_slice(first_slice, 1), first_slice);
    EXPECT_EQ(next_slice(first_slice, 2.1), first_slice / 2);
    EXPECT_EQ(next_slice(first_slice, 0.2), first_slice * 2);
    EXPECT_EQ(next_slice(first_slice, 0), first_slice);  // nothing was to be done
    auto bytes = first_slice;
    for (int i = 0; i < 40; ++i) bytes = next_slice(bytes, 9);
    EXPECT_EQ(bytes, 8U * 1024);
    for (int i = 0; i < 40; ++i) bytes = next_slice(bytes, 0.2);
    EXPECT_EQ(bytes, 128U * 1024);
}

TEST(StoreDecides, WhatHasOutlivedItsRetention) {
    EXPECT_TRUE(outlived({1000, 0, 0}, 1, 10, {0, 10}, 1001));
    EXPECT_FALSE(outlived({1000, 0, 0}, 1, 10, {0, 10}, 1000));
    EXPECT_FALSE(outlived({1000, 0, 0}, 1, 10, {5000, 10}, 1000));  // ahead of the clock
    EXPECT_TRUE(outlived({0, 3, 0}, 4, 10, {0, 10}, 0));
    EXPECT_TRUE(outlived({0, 0, 99}, 1, 100, {0, 10}, 0));
    EXPECT_FALSE(outlived({}, 1U << 30, 1U << 30, {0, 10}, 1 << 30));
}

}  // namespace
}  // namespace brasslift::test
