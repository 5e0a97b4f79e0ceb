// Random operations with a crash, a power cut or a fault after any of them, against a reference that knows
// what was acknowledged. BRASSLIFT_STORE_SEQUENCES says how many sequences; a few hundred in CI.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cerrno>
#include <cstdlib>

#include "store_rig.hpp"

namespace brasslift::test {
namespace {

using namespace store;
using standins::Disk;
using standins::Ended;

struct Step {
    int what = 0, a = 0, b = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
    return out << '(' << s.what << ' ' << s.a << ' ' << s.b << ')';
}

// What a store is made with. 0 MB: so small that a few dozen writes roll and compact it, with the limit for
// what is done on the loop as small; a process has its works apart.
struct Make {
    Durability durability = Durability::none;
    bool compress = false, apart = false;
    int disk_mb = 0;
};

Options options(const Make& make) {
    Options o;
    o.budget = static_cast<std::uint64_t>(make.disk_mb) * 800'000;
    if (make.disk_mb == 0) {
        o.budget = 12 * 1024;
        o.segment = 1536;
        o.at_once = 1024;
    }
    o.durability = make.durability;
    o.compress = make.compress;
    o.keyspaces = {{1, "message", {}, true}, {2, "mark", {}, false}};
    return o;
}

Batch batch_of(const Step& s, int serial) {
    Batch batch;
    const auto key = [](int n) { return "k" + std::to_string(n % 12); };
    for (int i = 0; i <= s.b % 3; ++i) {
        const auto space = static_cast<std::uint8_t>(1 + (s.a + i) % 2);
        if ((s.a + s.b + i) % 4 == 0)
            batch.erase(space, key(s.a + i));
        else
            batch.put(space, key(s.a + i),
                      std::string(static_cast<std::size_t>(s.a * 7 % 200), 'v') + std::to_string(serial),
                      900);
    }
    return batch;
}

std::string play(const std::vector<Step>& steps, const Make& make) {
    Disk disk;
    StoreRig rig(disk, options(make), make.apart);
    if (!rig.open()) return "it does not open at first: " + rig.why();
    const bool power = make.durability != Durability::none;
    int serial = 0;
    bool known = false;  // a segment that a power cut spoilt is still there, for want of room to copy it
    const auto again = [&](bool cut, int seed) -> std::string {
        disk.follow({});
        rig.close();
        if (cut) disk.cut_power(static_cast<std::uint64_t>(seed) + 1);
        if (!rig.open()) return "it does not open: " + rig.why();
        if (!rig.report().sound() && !cut && !known)
            return "damage where none was done: " + rig.report().findings.front().why;
        auto said = rig.judge();
        rig.store().settle();
        rig.sync();  // what was found counts from now on
        for (int i = 0; i < 60 && !rig.report().sound() && rig.step(); ++i) {}  // the damaged segment goes
        known = false;
        for (const auto& extent : rig.store().extents()) known = known || extent.damaged;
        return said;
    };
    for (const auto& s : steps) {
        ++serial;
        try {
            const bool took = s.what < 10 ? rig.write(batch_of(s, serial)) : true;
            if (!took && !rig.store().broken() && !power) rig.doubt.reset();
            if (s.what == 10) rig.step(1000, 512);
            if (s.what == 11) rig.store().seal();
            if (s.what == 12) rig.store().compact_all({});
            if (s.what == 13)
                if (auto said = again(false, 0); !said.empty()) return said;
            if (s.what == 14)
                if (auto said = again(power, s.a); !said.empty()) return said;
            if (s.what == 15)  // ends at one of the next calls
                disk.follow([s](std::size_t nth, Disk::Call, const std::string&) {
                    Disk::Fate fate;
                    if (nth < static_cast<std::size_t>(s.a % 8)) return fate;
                    fate.end_before = s.b % 3 == 0;
                    fate.end_behind = s.b % 3 != 0;
                    fate.half = s.b % 3 == 2;
                    return fate;
                });
            if (s.what == 16)  // some of the next calls fail
                disk.follow([s](std::size_t nth, Disk::Call call, const std::string&) {
                    const auto from = static_cast<std::size_t>(s.a % 6);
                    if (nth < from || nth > from + static_cast<std::size_t>(s.b % 4) ||
                        call == Disk::Call::read)
                        return Disk::Fate{};
                    return Disk::Fate{s.a % 2 == 0 ? -ENOSPC : -EIO, s.b % 2 == 0, false, false};
                });
            if (rig.store().broken())
                if (auto said = again(true, s.a); !said.empty()) return said;
            if (!power && !rig.doubt && s.what < 13)
                if (state_of(rig.store()) != rig.acknowledged)
                    return "in use it is not what was acknowledged";
        } catch (const Ended&) {
            if (auto said = again(power && s.a % 2 == 0, s.a); !said.empty()) return said;
        }
    }
    return again(power, 7);
}

// Found by 82,978 random sequences.
TEST(StoreRandom, AnEndOutlastsACompactionThatAKillCutShort) {
    const std::vector<Step> steps{{0, 13, 44}, {0, 23, 38}, {0, 22, 47}, {0, 26, 23}, {0, 11, 2}, {0, 24, 17},
                                  {0, 0, 0},   {0, 17, 8},  {0, 23, 2},  {0, 20, 5},  {0, 1, 10}, {0, 44, 8},
                                  {0, 23, 14}, {15, 0, 34}, {0, 33, 43}, {0, 0, 0},   {14, 0, 0}};
    EXPECT_EQ(play(steps, {Durability::each, true}), "");
}

rc::Gen<std::vector<Step>> sequences() {
    const auto what = rc::gen::weightedElement<int>(
        {{60, 0}, {8, 10}, {3, 11}, {3, 12}, {4, 13}, {4, 14}, {6, 15}, {6, 16}});
    const auto step = rc::gen::construct<Step>(what, rc::gen::inRange(0, 60), rc::gen::inRange(0, 60));
    return rc::gen::container<std::vector<Step>>(step);
}

TEST(StoreRandom, IsWhatItsReferenceIsAfterAnyCrash) {
    const char* const more = std::getenv("BRASSLIFT_STORE_SEQUENCES");
    const std::string count = more == nullptr ? "600" : more;
    ::setenv("RC_PARAMS", ("seed=7 max_size=120 max_success=" + count).c_str(), 1);
    EXPECT_TRUE(rc::check("random operations", [] {
        const auto steps = *sequences();
        const auto synced = *rc::gen::arbitrary<bool>();
        const auto compress = *rc::gen::arbitrary<bool>();
        const auto apart = *rc::gen::arbitrary<bool>();
        const auto disk_mb = *rc::gen::weightedElement<int>(
            {{16, 0}, {1, 1}, {1, 3}, {1, 8}, {1, 32}, {1, 63}, {1, 64}, {1, 200}, {1, 10000}});
        const auto durability = synced ? Durability::each : Durability::none;
        const auto said = play(steps, {durability, compress, apart, disk_mb});
        if (!said.empty()) RC_FAIL(said);
    }));
}

}  // namespace
}  // namespace brasslift::test
