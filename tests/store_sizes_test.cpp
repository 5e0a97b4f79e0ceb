// Stores as large as other installations have them: segments of several megabytes, whose manifests and
// removals are a keeper's work. Each start is a process that made, wrote or compacted and was killed there.
#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>
#include <vector>

#include "store/snapshot.hpp"
#include "store_rig.hpp"

namespace brasslift::test {
namespace {

using namespace store;
using standins::Disk;

constexpr int all_mb[] = {1, 3, 8, 32, 63, 64, 200, 10'000};

Options options(int disk_mb, Durability durability) {
    Options o;
    o.budget = static_cast<std::uint64_t>(disk_mb) * 800'000;
    o.durability = durability;
    o.keyspaces = {{1, "message", {}, true}, {2, "mark", {}, false}};
    return o;
}

TEST(StoreSizes, AStoreOfAnySizeIsMadeAndFoundAgain) {
    for (const int mb : all_mb)
        for (const auto durability : {Durability::none, Durability::interval, Durability::each})
            for (const bool apart : {false, true}) {
                SCOPED_TRACE(std::to_string(mb) + (apart ? " MB, apart" : " MB"));
                Disk disk;
                StoreRig rig(disk, options(mb, durability), apart);
                ASSERT_TRUE(rig.open()) << rig.why();
                EXPECT_TRUE(rig.report().made);
                // Killed before anything was written, and again behind a write.
                ASSERT_TRUE(rig.open()) << rig.why();
                ASSERT_TRUE(rig.write(Batch().put(1, "m", "body", 900)));
                ASSERT_TRUE(rig.open()) << rig.why();
                EXPECT_TRUE(rig.report().sound());
                EXPECT_EQ(rig.judge(), "");
            }
}

// Every call that making a store needs, failed once: the error says which and why, and the next start is
// good.
TEST(StoreSizes, AFailedStartNamesWhatWasTriedAndItsErrno) {
    for (const int mb : {3, 64}) {
        bool told_of_manifest = false;
        for (std::size_t at = 0; at < 40; ++at) {
            Disk disk;
            StoreRig rig(disk, options(mb, Durability::none), true);
            bool failed = false;
            disk.follow([&](std::size_t nth, Disk::Call call, const std::string&) {
                if (nth < at || call == Disk::Call::read) return Disk::Fate{};
                failed = true;
                return Disk::Fate{-ENOSPC, false, false, false};
            });
            const bool opened = rig.open();
            disk.follow({});
            if (!failed) break;
            if (opened) continue;
            EXPECT_NE(rig.why().find("No space left"), std::string::npos) << rig.why();
            told_of_manifest = told_of_manifest || rig.why().starts_with("the manifest cannot be ");
            EXPECT_TRUE(rig.open()) << rig.why();
        }
        EXPECT_TRUE(told_of_manifest) << mb << " MB";
    }
}

// Killed at every turn of a life that fills, overwrites and compacts segments of 6.4 MB.
TEST(StoreSizes, LargeSegmentsCompactedApartOutlastKillsAndTravel) {
    Disk disk;
    StoreRig rig(disk, options(64, Durability::none), true);
    ASSERT_TRUE(rig.open()) << rig.why();
    const std::string body(60'000, 'b');
    for (int i = 0; i < 1600; ++i) {
        ASSERT_TRUE(
            rig.write(Batch().put(1, "k" + std::to_string(i * 7 % 200), body + std::to_string(i), 900)))
            << i << ": " << rig.store().why();
        for (int turn = 0; turn < 4; ++turn) rig.step(1000, 256 * 1024);
        if (i % 400 != 399) continue;
        EXPECT_GT(rig.store().stats().segments, 1U);
        ASSERT_TRUE(rig.open()) << rig.why();
        EXPECT_TRUE(rig.report().sound());
        EXPECT_EQ(rig.judge(), "");
    }
    EXPECT_LE(rig.store().stats().used, rig.store().stats().budget);
    Disk kept, other;
    const auto copy = kept.mount(), target = other.mount();
    ASSERT_EQ(take_snapshot(rig.store(), *copy, {}).fault, Fault::none);
    const auto restored = restore_snapshot(*copy, *target, {});
    ASSERT_EQ(restored.fault, Fault::none) << restored.why;
}

}  // namespace
}  // namespace brasslift::test
