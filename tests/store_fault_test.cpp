// The store's disk cut, spoilt, failed and ended at every place. In CI a seeded part of the places is tried;
// BRASSLIFT_STORE_EVERY=1 tries all of them.
#include <gtest/gtest.h>

#include <cerrno>
#include <cstdlib>
#include <optional>
#include <random>

#include "store_rig.hpp"

namespace brasslift::test {
namespace {

using namespace store;
using standins::Disk;
using standins::Ended;

constexpr std::uint8_t messages = 1, marks = 2;

bool everything() { return std::getenv("BRASSLIFT_STORE_EVERY") != nullptr; }

Options options(Durability durability = Durability::none) {
    Options o;
    o.budget = 24 * 1024;
    o.segment = 3072;
    o.durability = durability;
    o.keyspaces = {{messages, "message", {}, true}, {marks, "mark", {}, false}};
    return o;
}

struct Played {
    Disk disk;
    std::vector<std::pair<std::uint64_t, State>> states;  // by the size of the last segment, oldest first
    std::string last;                                     // its name
    State end;
};

// A history over several segments, some compacted, that stops in the middle of the last one.
Played played(std::uint64_t seed, int batches = 260) {
    Played out;
    StoreRig rig(out.disk, options());
    EXPECT_TRUE(rig.open());
    History history(seed);
    for (int i = 0; i < batches; ++i) {
        const auto before = rig.acknowledged;
        EXPECT_TRUE(rig.write(history.one())) << rig.store().why();
        if (i % 4 == 0) rig.step();
        const auto last = rig.store().segments().back();
        const auto name = segment_name(last.number);
        if (name != out.last) out.states.assign(1, {segment_head, before});
        out.last = name;
        out.states.emplace_back(out.disk.names.at(name)->bytes.size(), rig.acknowledged);
    }
    EXPECT_GE(rig.store().segments().size(), 3U);
    EXPECT_GE(rig.store().stats().compacted, 2U);
    out.end = rig.acknowledged;
    return out;
}

// The state as it was when the last segment had so many bytes.
const State& state_at(const Played& p, std::uint64_t size) {
    const State* state = &p.states.front().second;
    for (const auto& [at, s] : p.states)
        if (at <= size) state = &s;
    return *state;
}

// Opens it, judges, writes, opens once more.
std::string judged(const Disk& before, const State& should, bool must_tell) {
    Disk disk = before.copy();
    StoreRig rig(disk, options());
    if (!rig.open()) return must_tell ? "" : "it does not open: " + rig.why();
    if (auto said = dishonesty(rig.store(), rig.report(), should); !said.empty()) return said;
    if (must_tell && rig.report().sound() && state_of(rig.store()) != should) return "nothing was said";
    // Until its owner has written what it concludes, the next start says the same.
    if (!rig.report().sound()) {
        if (!rig.open()) return "it does not open a second time: " + rig.why();
        if (rig.report().sound()) return "what is suspect was forgotten";
        if (auto said = dishonesty(rig.store(), rig.report(), should); !said.empty()) return "again: " + said;
    }
    rig.acknowledged = state_of(rig.store());
    rig.store().settle();
    History history(99);
    for (int i = 0; i < 12; ++i) {
        if (!rig.write(history.one())) return "it takes nothing: " + rig.store().why();
        rig.step();
    }
    if (!rig.open()) return "it does not open behind that: " + rig.why();
    if (!rig.report().sound()) return "what was settled comes again: " + rig.report().findings.front().why;
    return rig.judge();
}

TEST(StoreFaults, EveryFileCutAtEveryByte) {
    const auto p = played(3);
    std::mt19937_64 chance(1);
    std::size_t cuts = 0;
    for (const auto& [name, inode] : p.disk.names) {
        if (name == lock_name) continue;
        for (std::uint64_t at = 0; at < inode->bytes.size(); ++at) {
            if (!everything() && chance() % 17 != 0 && at > 70) continue;
            Disk disk = p.disk.copy();
            disk.names[name]->bytes.resize(at);
            // A cut in the last segment is a process that ended there; any other is damage.
            const bool last = name == p.last && at >= segment_head;
            ASSERT_EQ(judged(disk, last ? state_at(p, at) : p.end, !last), "") << name << " cut at " << at;
            ++cuts;
        }
    }
    EXPECT_GT(cuts, 300U);
}

TEST(StoreFaults, EveryBitFlipped) {
    const auto p = played(4);
    std::mt19937_64 chance(2);
    for (const auto& [name, inode] : p.disk.names) {
        for (std::uint64_t at = 0; at < inode->bytes.size(); ++at) {
            if (!everything() && chance() % 17 != 0) continue;
            Disk disk = p.disk.copy();
            disk.names[name]->bytes[at] ^= static_cast<char>(1 << (chance() % 8));
            ASSERT_EQ(judged(disk, p.end, true), "") << name << " at " << at;
        }
    }
}

TEST(StoreFaults, AFileThatIsGone) {
    const auto p = played(5);
    for (const auto& [name, inode] : p.disk.names) {
        if (name == lock_name) continue;
        Disk disk = p.disk.copy();
        disk.names.erase(name);
        EXPECT_EQ(judged(disk, p.end, true), "") << name;
    }
}

// A segment whose removal did not last comes back and is not read.
TEST(StoreFaults, ARemovedFileThatIsThereAgain) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    History history(6);
    std::map<std::string, std::string> seen;
    for (int i = 0; i < 400; ++i) {
        ASSERT_TRUE(rig.write(history.one()));
        rig.step();
        for (const auto& [name, inode] : disk.names) seen[name] = inode->bytes;
    }
    rig.close();
    std::size_t back = 0;
    for (const auto& [name, bytes] : seen)
        if (disk.names.count(name) == 0 && number_of_segment(name)) {
            disk.names[name] = std::make_shared<Disk::Inode>(Disk::Inode{bytes, bytes});
            ++back;
        }
    EXPECT_GT(back, 3U);
    ASSERT_TRUE(rig.open());
    EXPECT_TRUE(rig.report().sound());
    EXPECT_EQ(rig.judge(), "");
}

// Plays a history under a script; answers what was wrong, at the first fault too.
// `mb`: the disk's; 0: one so small that the history rolls and compacts, with works apart as in a large one.
std::string through(Disk& disk, const Disk::Script& script, Durability durability, std::uint64_t power,
                    std::size_t* calls = nullptr, int batches = 170, std::optional<int> mb = {}) {
    auto made = options(durability);
    if (mb) made.at_once = 1024;
    if (mb && *mb > 0) made.budget = static_cast<std::uint64_t>(*mb) * 800'000, made.segment = 0;
    StoreRig rig(disk, made, mb.has_value());
    History history(8);
    disk.follow(script);
    bool ended = false;
    const auto run = [&] {
        if (!rig.open()) return;
        for (int i = 0; i < batches; ++i) {
            const auto batch = history.one();
            // One that was refused is not tried again; what is in doubt stays so until the next start.
            if (!rig.write(batch) && (rig.doubt || rig.store().broken())) return;
            if (i % 3 == 0) rig.step();
        }
    };
    try {
        run();
    } catch (const Ended&) {
        ended = true;
    }
    if (calls != nullptr) *calls = disk.calls();
    disk.follow({});
    (void)ended;
    const auto acknowledged = rig.acknowledged;
    rig.close();
    if (power != 0) disk.cut_power(power);
    if (!rig.open()) return "it does not open: " + rig.why();
    if (power == 0 && !rig.report().sound())
        return "damage where none was done: " + rig.report().findings.front().why;
    return rig.judge();
}

// Before and after every file operation of making, appending, rolling, compacting and of the manifest.
TEST(StoreFaults, ACrashAtEveryCall) {
    const std::pair<Durability, std::optional<int>> makes[] = {{Durability::none, {}},
                                                               {Durability::each, {}},
                                                               {Durability::none, 0},
                                                               {Durability::none, 64},
                                                               {Durability::each, 10'000}};
    for (const auto& [durability, mb] : makes) {
        std::size_t calls = 0;
        {
            Disk disk;
            ASSERT_EQ(through(disk, {[](auto, auto, auto&) { return Disk::Fate{}; }}, durability, 0, &calls,
                              170, mb),
                      "");
        }
        EXPECT_GT(calls, 150U);
        std::mt19937_64 chance(5);
        for (std::size_t at = 0; at < calls; ++at) {
            if (!everything() && chance() % 4 != 0 && at > 30) continue;
            for (const int how : {0, 1, 2}) {
                for (const std::uint64_t power : {0U, 1U, 2U}) {
                    if (power != 0 && durability == Durability::none) continue;
                    Disk disk;
                    const auto said = through(
                        disk,
                        [&](std::size_t nth, Disk::Call, const std::string&) {
                            Disk::Fate fate;
                            if (nth != at) return fate;
                            fate.end_before = how == 0;
                            fate.end_behind = how != 0;
                            fate.half = how == 2;
                            return fate;
                        },
                        durability, power == 0 ? 0 : power * 1000 + at, nullptr, 170, mb);
                    ASSERT_EQ(said, "")
                        << mb.value_or(-1) << " MB, call " << at << " how " << how << " power " << power;
                }
            }
        }
    }
}

// Every call fails once, or from then on for a while; an append also after half of its bytes.
TEST(StoreFaults, AFailureAtEveryCall) {
    for (const auto durability : {Durability::none, Durability::each}) {
        std::size_t calls = 0;
        {
            Disk disk;
            through(disk, {[](auto, auto, auto&) { return Disk::Fate{}; }}, durability, 0, &calls);
        }
        std::mt19937_64 chance(6);
        for (std::size_t at = 0; at < calls; ++at) {
            if (!everything() && chance() % 4 != 0 && at > 30) continue;
            for (const int error : {-EIO, -ENOSPC})
                for (const std::size_t times : {1U, 5U})
                    for (const bool half : {false, true}) {
                        Disk disk;
                        const auto said = through(
                            disk,
                            [&](std::size_t nth, Disk::Call call, const std::string&) {
                                // What cannot be read at the start is another matter: damage, or no start.
                                if (nth < at || nth >= at + times || call == Disk::Call::read)
                                    return Disk::Fate{};
                                return Disk::Fate{error, half && nth == at, false, false};
                            },
                            durability, 0);
                        ASSERT_EQ(said, "") << "call " << at << " error " << error << " x" << times << half;
                    }
        }
    }
}

// A disk that cannot be read at the start: it does not open, or what it misses is told.
TEST(StoreFaults, AReadThatFailsAtTheStart) {
    const auto p = played(12);
    std::size_t calls = 0;
    for (std::size_t at = 0; at == 0 || at < calls; ++at) {
        for (const int error : {-EIO, -EACCES, -EMFILE}) {
            Disk disk = p.disk.copy();
            disk.follow([&](std::size_t nth, Disk::Call call, const std::string&) {
                const bool reads =
                    call == Disk::Call::read || call == Disk::Call::open || call == Disk::Call::list;
                return Disk::Fate{nth == at && reads ? error : 0, false, false, false};
            });
            StoreRig rig(disk, options());
            const bool opened = rig.open();
            calls = std::max(calls, disk.calls());
            disk.follow({});
            if (!opened) continue;
            ASSERT_EQ(dishonesty(rig.store(), rig.report(), p.end), "") << "call " << at;
        }
    }
    EXPECT_GT(calls, 10U);
}

TEST(StoreFaults, AFailedSyncIsNeverTakenBack) {
    Disk disk;
    StoreRig rig(disk, options(Durability::each));
    ASSERT_TRUE(rig.open());
    ASSERT_TRUE(rig.write(Batch().put(messages, "before", "v", 1)));
    bool once = true;
    disk.follow([&](std::size_t, Disk::Call call, const std::string&) {
        return Disk::Fate{call == Disk::Call::sync && std::exchange(once, false) ? -EIO : 0, false, false,
                          false};
    });
    EXPECT_FALSE(rig.write(Batch().put(messages, "lost", "v", 1)));
    EXPECT_TRUE(rig.store().broken());
    // The disk works again; what it lost it has lost.
    EXPECT_FALSE(rig.write(Batch().put(messages, "later", "v", 1)));
    EXPECT_EQ(rig.store().write(Batch().put(messages, "later", "v", 1)).fault, Fault::broken);
    EXPECT_FALSE(rig.store().next_job().has_value());
    EXPECT_TRUE(older(rig.store().durable(), rig.store().next()));
    rig.close();
    disk.follow({});
    disk.cut_power(3);
    ASSERT_TRUE(rig.open());
    EXPECT_NE(rig.store().index().find(messages, "before"), nullptr);
    EXPECT_TRUE(rig.write(Batch().put(messages, "later", "v", 1)));
}

// A disk that answers syncs of the folder and forgets names: what is missing is told, or nothing was
// promised.
TEST(StoreFaults, NamesThatDoNotLast) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Disk disk;
        StoreRig rig(disk, options(Durability::each));
        ASSERT_TRUE(rig.open());
        History history(seed);
        const auto forgetful = 20 + seed % 40;
        for (std::uint64_t i = 0; i < 80; ++i) {
            if (i == forgetful) disk.forget_names(true);
            ASSERT_TRUE(rig.write(history.one()));
            if (i % 3 == 0) rig.step();
        }
        rig.close();
        disk.forget_names(false);
        disk.cut_power(seed);
        // Either it says what it misses, or all that differs is the log's end: names of the newest segments.
        if (!rig.open()) continue;
        if (rig.report().sound()) continue;
        EXPECT_TRUE(rig.report().suspect_below.has_value());
    }
}

TEST(StoreFaults, NoSpaceInMidCompactionThatClearsNeedsNoRestart) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    History history(11);
    for (int i = 0; i < 120; ++i) ASSERT_TRUE(rig.write(history.one()));
    int refused = 0;
    disk.follow([&](std::size_t, Disk::Call call, const std::string&) {
        const bool grows = call == Disk::Call::append || call == Disk::Call::open;
        return Disk::Fate{grows ? -ENOSPC : 0, call == Disk::Call::append, false, false};
    });
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(rig.store().compact_all({}), Fault::none);
        refused += rig.write(Batch().put(messages, "new", "v", 1), Purpose::fresh) ? 0 : 1;
        rig.step();
    }
    EXPECT_EQ(refused, 20);
    disk.follow({});
    rig.doubt.reset();
    EXPECT_TRUE(rig.write(Batch().put(messages, "new", "v", 1), Purpose::fresh));
    EXPECT_EQ(rig.store().compact_all({}), Fault::none);
    for (int i = 0; i < 200; ++i) ASSERT_TRUE(rig.write(history.one())) << rig.store().why();
    ASSERT_TRUE(rig.open());
    EXPECT_TRUE(rig.report().sound());
    EXPECT_EQ(rig.judge(), "");
}

// Damage that comes to light while the store is in use: its segment stays, and the next start tells.
TEST(StoreFaults, DamageMetByCompactionIsKept) {
    Disk disk;
    StoreRig rig(disk, options());
    ASSERT_TRUE(rig.open());
    for (int i = 0; i < 12; ++i)
        rig.write(Batch().put(messages, std::to_string(i), std::string(100, 'b'), 1));
    rig.write(Batch().erase(messages, "3"));
    rig.store().seal();
    const auto name = segment_name(rig.store().segments().front().number);
    disk.names.at(name)->bytes[segment_head + 400] ^= 1;
    rig.store().compact_all({});
    EXPECT_NE(rig.store().why().find("damaged"), std::string::npos);
    EXPECT_EQ(disk.names.count(name), 1U);
    ASSERT_TRUE(rig.open());
    EXPECT_FALSE(rig.report().sound());
    rig.store().settle();
    for (int i = 0; i < 40; ++i) rig.step();
    // What can be read was copied; the damaged file is beside the store for whoever wants to look.
    EXPECT_EQ(disk.names.count(name), 0U);
    EXPECT_EQ(disk.names.count(damaged_name(*number_of_segment(name))), 1U);
    ASSERT_TRUE(rig.open());
    EXPECT_TRUE(rig.report().sound());
}

}  // namespace
}  // namespace brasslift::test
