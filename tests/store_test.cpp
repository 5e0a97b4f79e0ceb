#include "store/store.hpp"

#include <gtest/gtest.h>

#include <random>

#include "store_rig.hpp"

namespace brasslift::test {
namespace {

using namespace store;
using standins::Disk;

constexpr std::uint8_t messages = 1, marks = 2, kept = 3;

Options options(std::uint64_t budget = 64 * 1024, std::uint64_t segment = 4096) {
    Options o;
    o.budget = budget;
    o.segment = segment;
    o.keyspaces = {{messages, "message", {}, true}, {marks, "mark", {}, false}, {kept, "kept", {}, true}};
    return o;
}

// Writes so much that segments are sealed and compacted.
void play(StoreRig& rig, int batches) {
    History history(7);
    for (int i = 0; i < batches; ++i) {
        ASSERT_TRUE(rig.write(history.one())) << rig.store().why();
        if (i % 5 == 0) rig.step();
    }
}

TEST(Store, KeepsWhatWasWrittenOverRestartsAndCompaction) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    EXPECT_TRUE(rig.report().made);
    play(rig, 2000);
    EXPECT_GT(rig.store().stats().compacted, 10U);
    EXPECT_LE(disk.most, 64U * 1024);
    ASSERT_TRUE(rig.open());
    EXPECT_TRUE(rig.report().sound());
    EXPECT_EQ(rig.judge(), "");
}

TEST(Store, ScansByPrefixFromAKeyOnAndByTime) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    for (const char* const key : {"a/1", "a/2", "a/3", "b/1"})
        rig.write(Batch().put(messages, key, key, 100 - key[2]));
    std::string keys;
    const auto note = [&](std::string_view key, const Entry&) {
        return keys += std::string(key) + ' ', true;
    };
    rig.store().index().scan(messages, "a/", "", note);
    EXPECT_EQ(keys, "a/1 a/2 a/3 ");
    keys.clear();
    rig.store().index().scan(messages, "a/", "a/2", note);
    EXPECT_EQ(keys, "a/3 ");
    keys.clear();
    rig.store().index().scan_times(messages, 100 - '3', 100 - '2', note);
    EXPECT_EQ(keys, "a/3 a/2 ");
}

TEST(Store, ABatchHasAKeyOnceAndKeysHaveALimit) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    EXPECT_EQ(rig.store().write(Batch().put(1, "k", "a", 1).erase(1, "k")).fault, Fault::too_large);
    EXPECT_EQ(rig.store().write(Batch().put(1, std::string(5000, 'k'), "a", 1)).fault, Fault::too_large);
    EXPECT_TRUE(rig.store().write(Batch().put(1, "k", "a", 1).put(2, "k", "b", 1)));
}

// An erase outlasts every segment with a put that it ends, and no longer.
TEST(Store, AnEndIsKeptAsLongAsWhatItEndsIsOnDisk) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    rig.write(Batch().put(messages, "old", std::string(2000, 'x'), 1).put(messages, "stays", "s", 1));
    rig.store().seal();
    rig.write(Batch().erase(messages, "old"));
    rig.store().seal();
    // The erase's own segment is copied away first.
    ASSERT_EQ(rig.store().compact_all({}), Fault::none);
    ASSERT_TRUE(rig.open());
    EXPECT_EQ(rig.judge(), "");
    ASSERT_EQ(rig.store().compact_all({}), Fault::none);
    ASSERT_EQ(rig.store().compact_all({}), Fault::none);
    // Nothing but the one record is left to copy.
    EXPECT_LT(rig.store().stats().live, 100U);
    ASSERT_TRUE(rig.open());
    EXPECT_EQ(rig.judge(), "");
}

TEST(Store, RetentionTakesTheOldestFirst) {
    Disk disk;
    auto with = options();
    with.keyspaces[2].retention = {1000, 5, 0};
    StoreRig rig(disk, with);
    ASSERT_TRUE(rig.open(10'000));
    for (int i = 0; i < 8; ++i) rig.write(Batch().put(kept, std::to_string(i), "v", 9000 + 100 * i));
    while (rig.store().step(9700, 1 << 16)) {}
    EXPECT_EQ(rig.store().index().count(kept), 5U);
    EXPECT_EQ(rig.store().index().find(kept, "2"), nullptr);
    while (rig.store().step(10'550, 1 << 16)) {}
    EXPECT_EQ(rig.store().index().count(kept), 2U);
}

// What was written under a clock that was a day ahead ages from the start on that finds it so.
TEST(Store, AClockThatGoesBackADayNeitherKeepsForADayNorDropsAtOnce) {
    Disk disk;
    auto with = options();
    with.keyspaces[2].retention = {1000, 0, 0};
    StoreRig rig(disk, with);
    constexpr Stamp day = 86'400'000;
    ASSERT_TRUE(rig.open(2 * day));
    rig.write(Batch().put(kept, "ahead", "v", 2 * day));
    ASSERT_TRUE(rig.open(day));
    while (rig.store().step(day + 500, 1 << 16)) {}
    EXPECT_NE(rig.store().index().find(kept, "ahead"), nullptr);
    while (rig.store().step(day + 1500, 1 << 16)) {}
    EXPECT_EQ(rig.store().index().find(kept, "ahead"), nullptr);
}

TEST(Store, VersionsGoRoundAtTheirEnd) {
    Disk disk;
    auto with = options();
    with.first = ~Version{0} - 20;
    StoreRig rig(disk, with);
    ASSERT_TRUE(rig.open());
    History history(7);
    for (int i = 0; i < 200; ++i) {
        ASSERT_TRUE(rig.write(history.one()));
        if (i % 10 != 9) continue;
        ASSERT_TRUE(rig.open());
        EXPECT_TRUE(rig.report().sound());
        ASSERT_EQ(rig.judge(), "");
    }
    EXPECT_LT(rig.store().next(), 1000U);
}

TEST(Store, OneProcessHasTheFolderAndADeadOnesLockIsNone) {
    Disk disk;
    StoreRig first(disk, options()), second(disk, options());
    ASSERT_TRUE(first.open());
    EXPECT_FALSE(second.open());
    EXPECT_EQ(second.fault(), Fault::locked);
    first.close();  // its lock file stays
    EXPECT_TRUE(second.open());
}

TEST(Store, AFolderThatCannotBeWrittenIsSaidSo) {
    Disk disk;
    {
        StoreRig rig(disk, options());
        ASSERT_TRUE(rig.open());
        rig.write(Batch().put(1, "k", "v", 1));
    }
    disk.follow([](std::size_t, Disk::Call call, const std::string&) {
        return Disk::Fate{call == Disk::Call::lock ? -EROFS : 0, false, false, false};
    });
    StoreRig rig(disk, options());
    EXPECT_FALSE(rig.open());
    EXPECT_EQ(rig.fault(), Fault::io);
    EXPECT_NE(rig.why().find("locked"), std::string::npos);
    disk.follow({});
    ASSERT_TRUE(rig.open());
    EXPECT_EQ(rig.store().index().count(1), 1U);
}

// New work is refused first; what was taken on can still be ended in a folder that is full.
TEST(Store, AFullFolderRefusesNewWorkAndEndsTheOld) {
    for (const std::uint64_t budget : {16U * 1024, 64U * 1024, 200U * 1024}) {
        Disk disk;
        StoreRig rig(disk, options(budget, budget <= 16 * 1024 ? budget / 2 : budget / 8));
        ASSERT_TRUE(rig.open());
        std::vector<std::string> taken;
        for (int i = 0; i < 3000; ++i) {
            const auto key = std::to_string(i);
            if (rig.write(Batch().put(messages, key, std::string(300, 'b'), 1), Purpose::fresh))
                taken.push_back(key);
        }
        EXPECT_GT(taken.size(), budget / 1200);
        EXPECT_LT(taken.size(), budget / 300);
        for (int round = 0; round < 20; ++round)
            for (const auto& key : taken)
                ASSERT_TRUE(rig.write(Batch().put(marks, key, "out", 1)))
                    << budget << ' ' << rig.store().why();
        for (const auto& key : taken)
            ASSERT_TRUE(rig.write(Batch().erase(messages, key).erase(marks, key))) << rig.store().why();
        EXPECT_TRUE(rig.write(Batch().put(messages, "again", std::string(300, 'b'), 1), Purpose::fresh));
        EXPECT_LE(disk.most, budget);
        ASSERT_TRUE(rig.open());
        EXPECT_EQ(rig.judge(), "");
    }
}

TEST(Store, CompressedCopiesReadAsTheyWere) {
    Disk plain_disk, disk;
    auto with = options();
    with.compress = true;
    StoreRig rig(disk, with), plain(plain_disk, options());
    for (auto* const r : {&rig, &plain}) {
        ASSERT_TRUE(r->open());
        for (int i = 0; i < 60; ++i)
            r->write(Batch().put(messages, std::to_string(i), std::string(150, 'a'), 1));
        for (int i = 0; i < 60; i += 2) r->write(Batch().erase(messages, std::to_string(i)));
        ASSERT_EQ(r->store().compact_all({}), Fault::none);
        ASSERT_TRUE(r->open());
        EXPECT_EQ(r->judge(), "");
    }
    EXPECT_LT(disk.size(), plain_disk.size() / 2);
}

}  // namespace
}  // namespace brasslift::test
