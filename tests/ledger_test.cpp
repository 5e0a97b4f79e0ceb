// The ledger on a disk that fails: what is owed, what may have run, and journals of the version before.
#include "dispatch/ledger.hpp"

#include <gtest/gtest.h>
#include <zlib.h>

#include <cerrno>

#include "disk.hpp"
#include "dispatch/old_journal.hpp"
#include "store/snapshot.hpp"

namespace brasslift::test {
namespace {

using namespace dispatch;
using standins::Disk;
using standins::Ended;

constexpr double now = 1'000'000;

// One life of a dispatcher's ledger.
struct Life {
    explicit Life(Disk& disk, std::uint64_t budget = 256 * 1024, std::uint64_t segment = 8192,
                  bool adopts = false) {
        store::Options options;
        options.budget = budget;
        options.segment = segment;
        options.keyspaces = ledger_keyspaces();
        files = disk.mount();
        store = std::make_unique<store::Store>(*files, options);
        if (segment == 0) store->work_apart();  // large ones, as in the program
        opened = store->open(static_cast<store::Stamp>(now), report) == store::Fault::none;
        ledger = std::make_unique<Ledger>(*store, [] { return now; });
        carried = opened && ledger->carry_over(*files);
        recovered = carried && ledger->recover(report, adopts);
    }
    Owed* take(const std::string& name) {
        Owed m;
        m.id = ledger->reserve_id();
        m.name = name;
        m.key = "key-" + name;
        m.message_class = 2;
        m.destination = 9;
        m.due_wall = now + 4000;
        m.body = std::make_shared<const std::string>("body of " + name);
        return ledger->take(std::move(m), 77);
    }
    Owed* named(const std::string& name) {
        for (auto& [id, m] : ledger->all())
            if (m.name == name) return &m;
        return nullptr;
    }
    std::unique_ptr<store::Files> files;
    std::unique_ptr<store::Store> store;
    store::Report report;
    bool opened = false, carried = false, recovered = false;
    std::unique_ptr<Ledger> ledger;
};

// The order key goes with the message and with the notice of its end; records without one are read as before.
TEST(Ledger, KeepsTheOrderKeyOfAMessageAndOfItsNotice) {
    Disk disk;
    {
        Life life(disk);
        life.take("without");
        Owed m;
        m.id = life.ledger->reserve_id();
        m.name = "with";
        m.order_key = 0xfedcba9876543210U;
        m.due_wall = now + 4000;
        m.body = std::make_shared<const std::string>("body");
        life.ledger->take(m, 78);
        m.id = life.ledger->reserve_id();
        m.name = "ended";
        life.ledger->end(*life.ledger->take(m, 79), Ending::failed, 0);
    }
    Life next(disk);
    EXPECT_EQ(next.named("without")->order_key, 0U);
    EXPECT_EQ(next.named("with")->order_key, 0xfedcba9876543210U);
    EXPECT_EQ(next.named("ended")->order_key, 0xfedcba9876543210U);
    EXPECT_EQ(next.named("ended")->ending, Ending::failed);
}

// What discovery said of an entry outlasts the process that heard it, and a word that takes it back too.
TEST(Ledger, KeepsWhatDeparted) {
    Disk disk;
    {
        Life life(disk);
        dispatch::DepartureChange change;
        change.departed = {{1, true}, {2, true}, {3, true}};
        life.ledger->note_departures(change);
        change.departed = {{3, false}};
        life.ledger->note_departures(change);
    }
    {
        Life next(disk);
        EXPECT_EQ(next.ledger->departed().names, (std::set<std::uint64_t>{1, 2}));
        EXPECT_TRUE(next.ledger->departed().complete);
        dispatch::DepartureChange change;
        change.incomplete = true;
        next.ledger->note_departures(change);
        EXPECT_FALSE(next.ledger->departed().complete);
    }
    Life next(disk);
    EXPECT_FALSE(next.ledger->departed().complete);
    dispatch::DepartureChange change;
    change.cleared = true;
    change.departed = {{4, true}};
    next.ledger->note_departures(change);
    EXPECT_TRUE(next.ledger->departed().complete);
    EXPECT_EQ(next.ledger->departed().names, (std::set<std::uint64_t>{4}));
}

// Guards against a call that was out at a kill and counts as still out, or as never sent, for the process
// after the next one: what a start concludes is written.
TEST(Ledger, WritesThatACallWasCutOff) {
    Disk disk;
    {
        Life life(disk);
        auto* const out = life.take("out");
        ASSERT_TRUE(life.ledger->attempt(*out, 0, now + 1, 3));
    }
    {
        Life next(disk);
        EXPECT_TRUE(next.named("out")->cut);
    }
    Life adopting(disk, 256 * 1024, 8192, true);
    const auto* const out = adopting.named("out");
    EXPECT_FALSE(out->flying);
    EXPECT_TRUE(out->may_have_run);
    EXPECT_EQ(out->risky_wall, now + 1);
}

// Guards against an attempt that was never recorded and takes back the one that is out.
TEST(Ledger, AnAttemptThatNeverWentTakesNoOtherBack) {
    Disk disk;
    {
        Life life(disk);
        auto* const m = life.take("m");
        ASSERT_TRUE(life.ledger->attempt(*m, 0, now + 1, 3));
        life.ledger->unsent(*m, 1);
        EXPECT_TRUE(m->flying);
        EXPECT_EQ(m->attempts, 1);
    }
    Life next(disk);
    EXPECT_TRUE(next.named("m")->may_have_run);
}

TEST(Ledger, KnowsInItsNextLifeWhatIsOwedAndHowFarItCame) {
    Disk disk;
    {
        Life life(disk);
        ASSERT_TRUE(life.recovered);
        life.take("fresh");
        auto* const out = life.take("out");
        ASSERT_TRUE(life.ledger->attempt(*out, out->attempts, now + 1, 3));
        auto* const refused = life.take("refused");
        ASSERT_TRUE(life.ledger->attempt(*refused, refused->attempts, now + 2, 4));
        life.ledger->outcome(*refused, Result::full);
        auto* const risky = life.take("risky");
        ASSERT_TRUE(life.ledger->attempt(*risky, risky->attempts, now + 3, 5));
        life.ledger->outcome(*risky, Result::timeout);
        ASSERT_TRUE(life.ledger->attempt(*risky, risky->attempts, now + 9, 6));
        life.ledger->outcome(*risky, Result::full);
        auto* const done = life.take("done");
        ASSERT_TRUE(life.ledger->attempt(*done, done->attempts, now + 3, 5));
        life.ledger->outcome(*done, Result::ok);
        life.ledger->end(*done, Ending::done, 0);
        life.ledger->end(*life.take("failed"), Ending::failed, 0);
        life.ledger->end(*life.take("deferred"), Ending::deferred, 700);
        auto* const told = life.take("told");
        life.ledger->end(*told, Ending::failed, 0);
        life.ledger->told(told->id);
    }
    Life life(disk);
    ASSERT_TRUE(life.recovered);
    EXPECT_TRUE(life.report.sound());
    EXPECT_EQ(life.ledger->held(), 4U);
    EXPECT_EQ(life.ledger->all().size(), 6U);
    EXPECT_EQ(*life.named("fresh")->body, "body of fresh");
    EXPECT_EQ(life.named("fresh")->key, "key-fresh");
    EXPECT_FALSE(life.named("fresh")->may_have_run);
    EXPECT_TRUE(life.named("out")->cut);
    EXPECT_TRUE(life.named("out")->may_have_run);
    EXPECT_EQ(life.named("out")->risky_zone, 3);
    EXPECT_EQ(life.named("refused")->attempts, 1);
    EXPECT_FALSE(life.named("refused")->may_have_run);
    EXPECT_EQ(life.named("risky")->attempts, 2);
    EXPECT_EQ(life.named("risky")->risky_wall, now + 3);
    EXPECT_EQ(life.named("risky")->risky_zone, 5);
    EXPECT_EQ(life.named("failed")->ending, Ending::failed);
    EXPECT_EQ(life.named("deferred")->again_ms, 700U);
    EXPECT_EQ(life.named("told"), nullptr);
    EXPECT_EQ(life.named("done"), nullptr);
    // Ids are remembered past the end, in the next life too.
    EXPECT_EQ(life.ledger->seen().size(), 8U);
    EXPECT_GE(life.ledger->next_id(), 7U);
}

// What has happened waits until it can be written; what has not, does not happen.
TEST(Ledger, RefusesWorkAndKeepsEndsWhileNothingCanBeWritten) {
    Disk disk;
    {
        Life life(disk);
        auto* const m = life.take("out");
        ASSERT_TRUE(life.ledger->attempt(*m, m->attempts, now, 1));
        auto* const other = life.take("other");
        disk.follow([](std::size_t, Disk::Call call, const std::string&) {
            return Disk::Fate{call == Disk::Call::append ? -ENOSPC : 0, false, false, false};
        });
        EXPECT_EQ(life.take("new"), nullptr);
        EXPECT_FALSE(life.ledger->attempt(*other, other->attempts, now, 1));
        EXPECT_EQ(other->attempts, 0);
        life.ledger->outcome(*m, Result::full);
        life.ledger->end(*m, Ending::failed, 0);
        disk.follow({});
        EXPECT_NE(life.take("later"), nullptr);
    }
    Life life(disk);
    EXPECT_EQ(life.named("out")->ending, Ending::failed);
    EXPECT_EQ(life.named("new"), nullptr);
    EXPECT_NE(life.named("later"), nullptr);
}

// A record of an attempt that cannot be read any more: its message must not look unsent.
TEST(Ledger, DamageMakesMessagesOnesThatMayHaveRun) {
    Disk disk;
    std::string segment;
    std::size_t before = 0, behind = 0;
    {
        Life life(disk);
        auto* const m = life.take("paid");
        segment = store::segment_name(life.store->segments().back().number);
        before = disk.names.at(segment)->bytes.size();
        ASSERT_TRUE(life.ledger->attempt(*m, m->attempts, now, 1));
        behind = disk.names.at(segment)->bytes.size();
        life.take("taken on behind it");
    }
    for (auto at = before; at < behind; ++at) {
        Disk spoilt = disk.copy();
        spoilt.names.at(segment)->bytes[at] ^= 4;
        for (int lives = 0; lives < 3; ++lives) {
            Life life(spoilt);
            ASSERT_TRUE(life.recovered);
            ASSERT_TRUE(life.named("paid")->may_have_run) << at << " life " << lives;
            EXPECT_GE(life.named("paid")->attempts, 1);
            if (lives == 0) {
                EXPECT_FALSE(life.report.sound());
                EXPECT_EQ(life.named("paid")->risky_zone, unknown_zone);
            }
            // What came later cannot have had a record there.
            EXPECT_FALSE(life.named("taken on behind it")->may_have_run);
        }
    }
}

// A crash between the start that finds damage and the records of what follows from it.
TEST(Ledger, ACrashWhileDamageIsWrittenDownForgetsNothing) {
    Disk disk;
    std::string first;
    {
        Life life(disk);
        for (int i = 0; i < 20; ++i) life.take("m" + std::to_string(i));
        first = store::segment_name(life.store->segments().front().number);
        auto* const m = life.named("m3");
        ASSERT_TRUE(life.ledger->attempt(*m, m->attempts, now, 1));
        life.store->seal();
    }
    auto& bytes = disk.names.at(first)->bytes;
    bytes[bytes.size() - 5] ^= 1;  // in the record of the attempt
    std::size_t calls = 0;
    for (std::size_t at = 0; at == 0 || at < calls; ++at)
        for (const bool behind : {false, true}) {
            Disk spoilt = disk.copy();
            spoilt.follow([&](std::size_t nth, Disk::Call, const std::string&) {
                return Disk::Fate{0, false, nth == at && !behind, nth == at && behind};
            });
            try {
                Life life(spoilt);
                calls = std::max(calls, spoilt.calls());
            } catch (const Ended&) {}
            spoilt.follow({});
            Life life(spoilt);
            ASSERT_TRUE(life.recovered);
            ASSERT_TRUE(life.named("m3")->may_have_run) << "call " << at;
            EXPECT_EQ(life.ledger->held(), 20U);
        }
    EXPECT_GT(calls, 40U);
}

// Messages as they were written, and read, when destinations were 16 bits wide.
std::string narrow_record(const Owed& m) {
    store::ValueWriter out;
    out.number(m.due_wall)
        .number(std::uint16_t{m.message_class})
        .number(std::uint16_t{m.tenant})
        .number(static_cast<std::uint16_t>(m.destination))
        .text(m.name)
        .text(m.key)
        .text(*m.body);
    if (!m.mark.empty()) out.text(m.mark);
    return out.take();
}
std::optional<std::uint16_t> narrow_reading(std::string_view bytes) {
    store::ValueReader in(bytes);
    in.number<double>();
    in.number<std::uint16_t>();
    in.number<std::uint16_t>();
    const auto destination = in.number<std::uint16_t>();
    for (int text = 0; text < 3; ++text) in.text();
    return in.good() ? std::optional(destination) : std::nullopt;
}

Owed message_to(DestinationId destination, const std::string& name, const std::string& mark = "") {
    Owed m;
    m.name = name;
    m.key = "key-" + name;
    m.message_class = 2;
    m.tenant = 3;
    m.destination = destination;
    m.due_wall = now + 4000;
    m.body = std::make_shared<const std::string>("body of " + name);
    m.mark = mark;
    return m;
}

constexpr DestinationId last_destination = 4294967295U;

TEST(Records, KeepEveryDestinationWhole) {
    for (const DestinationId d :
         {0U, 9U, 65534U, 65535U, 65536U, 70000U, 131071U, last_destination - 1, last_destination})
        for (const std::string name : {"", "m", "a-name-of-some-length"})
            for (const std::string mark : {"", "a mark"}) {
                const auto m = message_to(d, name, mark);
                const auto bytes = MessageCodec::value(m);
                const auto read = MessageCodec::value(std::string_view(bytes));
                ASSERT_TRUE(read) << d;
                EXPECT_EQ(read->destination, d);
                EXPECT_EQ(read->due_wall, m.due_wall);
                EXPECT_EQ(read->message_class, m.message_class);
                EXPECT_EQ(read->tenant, m.tenant);
                EXPECT_EQ(read->name, m.name);
                EXPECT_EQ(read->key, m.key);
                EXPECT_EQ(*read->body, *m.body);
                EXPECT_EQ(read->mark, m.mark);
                // One that is cut is not read, up to where the mark begins.
                const auto most = bytes.size() - (mark.empty() ? 0 : mark.size() + 4);
                for (std::size_t size = 0; size < most; ++size)
                    ASSERT_FALSE(MessageCodec::value(std::string_view(bytes).substr(0, size)))
                        << d << ' ' << size;
                // A reader of 16 bits has the same number or none.
                if (d <= 65535) {
                    EXPECT_EQ(bytes, narrow_record(m));
                    EXPECT_EQ(narrow_reading(bytes), d);
                } else {
                    EXPECT_EQ(narrow_reading(bytes), std::nullopt) << d;
                }
            }
}

TEST(Records, OfSixteenBitsAreRead) {
    Disk disk;
    {
        Life life(disk);
        ASSERT_TRUE(life.recovered);
        store::Batch batch;
        MessageId id = 0;
        for (const DestinationId d : {0U, 9U, 4464U, 65535U})
            batch.put(MessageCodec::id, MessageCodec::key(++id),
                      narrow_record(message_to(d, std::to_string(d))), static_cast<store::Stamp>(now));
        ASSERT_EQ(life.store->write(batch, store::Purpose::owed).fault, store::Fault::none);
    }
    Life life(disk);
    ASSERT_TRUE(life.recovered);
    EXPECT_EQ(life.ledger->held(), 4U);
    for (const DestinationId d : {0U, 9U, 4464U, 65535U}) {
        ASSERT_NE(life.named(std::to_string(d)), nullptr);
        EXPECT_EQ(life.named(std::to_string(d))->destination, d);
        EXPECT_EQ(*life.named(std::to_string(d))->body, "body of " + std::to_string(d));
    }
}

TEST(Ledger, KnowsInItsNextLifeWhereToWithAllBits) {
    Disk disk;
    const DestinationId wide[] = {4464, 65535, 65536, 70000, last_destination};
    {
        Life life(disk);
        ASSERT_TRUE(life.recovered);
        for (const auto d : wide) {
            auto m = message_to(d, std::to_string(d));
            m.id = life.ledger->reserve_id();
            auto* const owed = life.ledger->take(std::move(m), 77);
            ASSERT_NE(owed, nullptr);
            if (d == 70000) {
                ASSERT_TRUE(life.ledger->attempt(*owed, owed->attempts, now + 1, 3));
            }
        }
    }
    Life life(disk);
    ASSERT_TRUE(life.recovered);
    EXPECT_EQ(life.ledger->held(), std::size(wide));
    for (const auto d : wide) {
        ASSERT_NE(life.named(std::to_string(d)), nullptr);
        EXPECT_EQ(life.named(std::to_string(d))->destination, d);
    }
    EXPECT_TRUE(life.named("70000")->may_have_run);
}

// A record that cannot be read is kept, so its number is no other message's.
TEST(Ledger, GivesNoMessageTheNumberOfOneThatCannotBeRead) {
    Disk disk;
    {
        Life life(disk);
        ASSERT_TRUE(life.recovered);
        life.take("first");
        store::Batch batch;
        batch.put(MessageCodec::id, MessageCodec::key(40), "of a later version",
                  static_cast<store::Stamp>(now));
        ASSERT_EQ(life.store->write(batch, store::Purpose::owed).fault, store::Fault::none);
    }
    Life life(disk);
    ASSERT_TRUE(life.recovered);
    EXPECT_EQ(life.ledger->held(), 1U);
    EXPECT_EQ(life.take("second")->id, 41U);
    std::string kept;
    EXPECT_EQ(life.store->read(MessageCodec::id, MessageCodec::key(40), kept), store::Fault::none);
    EXPECT_EQ(kept, "of a later version");
}

// Journals as the version before wrote them, by its description.
class OldJournal {
public:
    OldJournal& accept(MessageId id, const std::string& name, const std::string& body) {
        store::ValueWriter out;
        out.number('A').number(id).number(now + 4000.0);
        out.number(std::uint16_t{2}).number(std::uint16_t{0}).number(std::uint16_t{9});
        return add(out.text(name).text("").text(body).take());
    }
    OldJournal& sent(MessageId id, int attempts) {
        return add(store::ValueWriter()
                       .number('S')
                       .number(id)
                       .number(attempts)
                       .number(now)
                       .number(std::uint16_t{3})
                       .take());
    }
    OldJournal& outcome(MessageId id, bool risky) {
        return add(
            store::ValueWriter().number('O').number(id).number(static_cast<std::uint8_t>(risky)).take());
    }
    OldJournal& end(MessageId id, Ending ending, std::uint32_t again) {
        return add(store::ValueWriter().number('E').number(id).number(ending).number(again).take());
    }
    std::string text = "dispatch-log-01\n";

private:
    OldJournal& add(const std::string& record) {
        const std::uint32_t head[2] = {
            static_cast<std::uint32_t>(record.size()),
            static_cast<std::uint32_t>(
                ::crc32(0, reinterpret_cast<const Bytef*>(record.data()), static_cast<uInt>(record.size())))};
        text.append(reinterpret_cast<const char*>(head), sizeof head).append(record);
        return *this;
    }
};

OldJournal old_journal() {
    OldJournal old;
    old.accept(1, "fresh", "b1").accept(2, "out", "b2").sent(2, 1).accept(3, "risky", "b3").sent(3, 1);
    old.outcome(3, true).accept(4, "done", "b4").sent(4, 1).end(4, Ending::done, 0).accept(5, "failed", "b5");
    old.end(5, Ending::failed, 0).accept(6, "refused", "b6").sent(6, 2).outcome(6, false);
    for (MessageId id = 10; id < 40; ++id) old.accept(id, "many" + std::to_string(id), std::string(400, 'x'));
    return old;
}

void expect_carried(Life& life, const std::string& when) {
    ASSERT_TRUE(life.recovered) << when;
    EXPECT_EQ(life.ledger->held(), 34U) << when;
    EXPECT_EQ(*life.named("fresh")->body, "b1") << when;
    EXPECT_FALSE(life.named("fresh")->may_have_run) << when;
    EXPECT_TRUE(life.named("out")->may_have_run) << when;
    EXPECT_TRUE(life.named("risky")->may_have_run) << when;
    EXPECT_EQ(life.named("refused")->attempts, 2) << when;
    EXPECT_FALSE(life.named("refused")->may_have_run) << when;
    EXPECT_EQ(life.named("failed")->ending, Ending::failed) << when;
    EXPECT_EQ(life.named("done"), nullptr) << when;
}

Disk disk_with(const std::string& name, const std::string& text) {
    Disk disk;
    disk.names[name] = std::make_shared<Disk::Inode>(Disk::Inode{text, text});
    return disk;
}

TEST(OldJournal, IsCarriedOverOnceAndGoes) {
    auto disk = disk_with("journal.3", old_journal().text + "torn");
    disk.names["journal.4.part"] = std::make_shared<Disk::Inode>();
    disk.names["journal.2"] =
        std::make_shared<Disk::Inode>(Disk::Inode{OldJournal().accept(9, "old", "b").text, ""});
    {
        Life life(disk);
        expect_carried(life, "first");
        EXPECT_FALSE(any_old_journal(*life.files));
        life.ledger->end(*life.named("fresh"), Ending::done, 0);
    }
    {
        Life life(disk);
        EXPECT_EQ(life.ledger->held(), 33U);
    }
    // A version before that was started in between leaves another one, which is carried over too.
    disk.names["journal.1"] =
        std::make_shared<Disk::Inode>(Disk::Inode{OldJournal().accept(99, "between", "b").text, ""});
    Life later(disk);
    ASSERT_TRUE(later.recovered);
    EXPECT_NE(later.named("between"), nullptr);
    EXPECT_EQ(later.ledger->held(), 34U);
}

TEST(OldJournal, SurvivesAKillAtEveryCallOfItsCarryingOver) {
    const auto text = old_journal().text;
    std::size_t calls = 0;
    for (std::size_t at = 0; at == 0 || at < 2 * calls; ++at)
        for (const int how : {0, 1, 2}) {
            const bool large = at % 2 != 0;  // a disk of 64 MB, whose manifests are a keeper's
            auto disk = disk_with("journal.7", text);
            disk.follow([&](std::size_t nth, Disk::Call, const std::string&) {
                const bool here = nth == at / 2;
                return Disk::Fate{0, here && how == 2, here && how == 0, here && how != 0};
            });
            try {
                Life life(disk, large ? 51'200'000 : 256 * 1024, large ? 0 : 8192);
                calls = std::max(calls, disk.calls());
            } catch (const Ended&) {}
            disk.follow({});
            Life life(disk, large ? 51'200'000 : 256 * 1024, large ? 0 : 8192);
            expect_carried(life, "call " + std::to_string(at / 2) + " how " + std::to_string(how));
            if (HasFatalFailure()) return;
        }
    EXPECT_GT(calls, 20U);
}

TEST(OldJournal, StaysWhereTheStoreCannotTakeIt) {
    auto disk = disk_with("journal.7", old_journal().text);
    disk.follow([](std::size_t nth, Disk::Call call, const std::string& name) {
        return Disk::Fate{call == Disk::Call::append && nth > 12 && name.starts_with("seg") ? -ENOSPC : 0,
                          false, false, false};
    });
    {
        Life life(disk);
        EXPECT_FALSE(life.recovered);
    }
    disk.follow({});
    EXPECT_EQ(disk.names.count("journal.7"), 1U);
    Life life(disk);
    expect_carried(life, "with room again");
}

TEST(Snapshot, OfAStoreInUseIsWholeAndConsistent) {
    Disk disk, copy, back;
    Life life(disk);
    for (int i = 0; i < 50; ++i) life.take("m" + std::to_string(i));
    store::Options options;
    options.read_only = true;
    options.keyspaces = ledger_keyspaces();
    const auto files = disk.mount();
    store::Store source(*files, options);
    store::Report report;
    ASSERT_EQ(source.open(1, report), store::Fault::none);
    // Its process goes on, compacts, and removes what the snapshot is to have.
    for (int i = 0; i < 50; ++i) life.ledger->end(*life.named("m" + std::to_string(i)), Ending::done, 0);
    ASSERT_EQ(life.store->compact_all({}), store::Fault::none);
    const auto to = copy.mount();
    std::uint64_t last = 0;
    const auto taken =
        store::take_snapshot(source, *to, [&](std::uint64_t done, std::uint64_t) { last = done; });
    ASSERT_EQ(taken.fault, store::Fault::none) << taken.why;
    EXPECT_EQ(last, taken.bytes);
    const auto into = back.mount();
    ASSERT_EQ(store::restore_snapshot(*to, *into, {}).fault, store::Fault::none);
    Disk restored = back.copy();
    Life second(restored);
    ASSERT_TRUE(second.recovered);
    EXPECT_TRUE(second.report.sound());
    EXPECT_EQ(second.ledger->held(), 50U);
    EXPECT_NE(second.take("more"), nullptr);
}

TEST(Snapshot, ACrashAtEveryCallLeavesNoHalfSnapshotThatRestores) {
    Disk disk;
    Life life(disk);
    for (int i = 0; i < 30; ++i) life.take("m" + std::to_string(i));
    std::size_t calls = 0;
    for (std::size_t at = 0; at == 0 || at < calls; ++at)
        for (const bool behind : {false, true}) {
            Disk copy, back;
            copy.follow([&](std::size_t nth, Disk::Call, const std::string&) {
                return Disk::Fate{0, false, nth == at && !behind, nth == at && behind};
            });
            bool whole = false;
            try {
                const auto to = copy.mount();
                whole = store::take_snapshot(*life.store, *to, {}).fault == store::Fault::none;
                calls = std::max(calls, copy.calls());
            } catch (const Ended&) {}
            copy.follow({});
            copy.cut_power(at + 1);
            const auto from = copy.mount();
            bool restored = false;
            {
                const auto into = back.mount();
                restored = store::restore_snapshot(*from, *into, {}).fault == store::Fault::none;
            }
            EXPECT_TRUE(restored || !whole);
            if (!restored) continue;
            Life second(back);
            ASSERT_TRUE(second.recovered);
            EXPECT_TRUE(second.report.sound());
            ASSERT_EQ(second.ledger->held(), 30U) << at;
        }
    EXPECT_GT(calls, 10U);
}

TEST(Snapshot, ARestoreThatWasCutShortOpensNoStoreAndIsRunAgain) {
    Disk disk, copy;
    Life life(disk);
    for (int i = 0; i < 30; ++i) life.take("m" + std::to_string(i));
    const auto from = copy.mount();
    ASSERT_EQ(store::take_snapshot(*life.store, *from, {}).fault, store::Fault::none);
    std::size_t calls = 0, refused = 0;
    for (std::size_t at = 0; at == 0 || at < calls; ++at)
        for (const bool behind : {false, true}) {
            Disk back;
            back.follow([&](std::size_t nth, Disk::Call, const std::string&) {
                return Disk::Fate{0, false, nth == at && !behind, nth == at && behind};
            });
            try {
                const auto into = back.mount();
                store::restore_snapshot(*from, *into, {});
                calls = std::max(calls, back.calls());
            } catch (const Ended&) {}
            back.follow({});
            {
                Life second(back);
                // Nothing yet, everything, or a folder that says why not.
                if (second.opened) {
                    EXPECT_TRUE(second.ledger->held() == 30 || second.report.made) << at;
                    continue;
                }
                ++refused;
            }
            const auto into = back.mount();
            ASSERT_EQ(store::restore_snapshot(*from, *into, {}).fault, store::Fault::none) << at;
        }
    EXPECT_GT(refused, 10U);
}

// Every byte of a snapshot that is spoilt or missing keeps it from being restored.
TEST(Snapshot, RefusesWhatIsIncompleteOrDamaged) {
    Disk disk, copy;
    Life life(disk);
    for (int i = 0; i < 10; ++i) life.take("m" + std::to_string(i));
    ASSERT_EQ(store::take_snapshot(*life.store, *copy.mount(), {}).fault, store::Fault::none);
    for (const auto& [name, inode] : copy.names)
        for (std::size_t at = 0; at < inode->bytes.size(); at += 7)
            for (const bool cut : {false, true}) {
                Disk spoilt = copy.copy(), back;
                auto& bytes = spoilt.names.at(name)->bytes;
                if (cut)
                    bytes.resize(at);
                else
                    bytes[at] ^= 2;
                const auto restored = store::restore_snapshot(*spoilt.mount(), *back.mount(), {});
                ASSERT_NE(restored.fault, store::Fault::none) << name << " at " << at;
                EXPECT_FALSE(restored.why.empty());
                ASSERT_EQ(back.names.size(), 0U) << "nothing may be begun";
            }
}

}  // namespace
}  // namespace brasslift::test
