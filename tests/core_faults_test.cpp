// The core on a store that fails for a while, with an upstream of the test's own: what was taken on goes on,
// by the numbers of its attempts. And the clock of records, on a wall clock that is moved.
#include <gtest/gtest.h>

#include <cerrno>

#include "config/config.hpp"
#include "disk.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/real_time.hpp"
#include "lab/site.hpp"

namespace brasslift::test {
namespace {

using standins::Disk;

struct Client : dispatch::Client {
    bool present() const override { return true; }
    void answer(const dispatch::Answer& given) override { answers.push_back(given); }
    std::vector<dispatch::Answer> answers;
};

struct Outbox : dispatch::Outbox {
    void tell(dispatch::Notice notice) override { notices.push_back(std::move(notice)); }
    std::vector<dispatch::Notice> notices;
};

struct Upstream : dispatch::Upstream {
    void call(dispatch::Call call) override { calls.push_back(std::move(call)); }
    void close_idle(EndpointId) override {}
    std::vector<dispatch::Call> calls;
};

// A life of the core alone.
struct Core {
    explicit Core(Disk& disk, int attempts = 4)
        : config(config_of(attempts)),
          files(disk.mount()),
          store(*files, options()),
          ledger(store, runtime::wall_now),
          dispatcher(scheduler, config.settings, 1, ledger, upstream, outbox) {
        store::Report report;
        if (store.open(0, report) != store::Fault::none || !ledger.recover(report))
            throw std::runtime_error("the store cannot be opened: " + store.why());
        dispatch::Listed listed;
        listed.lines.emplace_back();
        listed.lines.back().endpoint = {1, 0};
        listed.lines.back().destination = 1;
        listed.lines.back().weight = 1000;
        dispatcher.recover(listed);
        scheduler.spawn(dispatcher.run());
    }
    ~Core() { scheduler.drop_tasks(); }
    static config::Config config_of(int attempts) {
        lab::Site site;
        site.send_cap = attempts;
        site.has_ordered = true;
        return config::read_config(lab::site_config(site));
    }
    static store::Options options() {
        store::Options options;
        options.budget = 10'000'000;
        options.keyspaces = dispatch::ledger_keyspaces();
        return options;
    }
    std::shared_ptr<Client> submit(const std::string& name, std::uint16_t message_class = 0,
                                   const std::string& order_key = "", double deadline_ms = 8000) {
        auto client = clients.emplace_back(std::make_shared<Client>());
        dispatch::Submission s;
        s.name = name;
        s.order_key = order_key;
        s.message_class = message_class;
        s.destination = 1;
        s.body = std::make_shared<const std::string>("hello");
        s.due = runtime::steady_now() + deadline_ms;
        s.client = client;
        dispatcher.mailbox().put(std::move(s));
        return client;
    }
    void answer(const dispatch::Call& call, Result result, bool unsent = false) {
        for (const auto& message : call.messages) {
            dispatch::Verdict verdict;
            verdict.id = message.id;
            verdict.host = call.host;
            verdict.attempt = message.attempt;
            verdict.result = result;
            verdict.unsent = unsent;
            dispatcher.mailbox().put(verdict);
        }
    }
    template <class Yes>
    bool await(Yes yes, double most_ms = 4000) {
        for (const auto until = runtime::steady_now() + most_ms; !yes() && runtime::steady_now() < until;)
            scheduler.run_until(runtime::steady_now() + 5);
        return yes();
    }

    runtime::Scheduler scheduler;
    std::vector<std::shared_ptr<Client>> clients;
    config::Config config;
    std::unique_ptr<store::Files> files;
    store::Store store;
    dispatch::Ledger ledger;
    Upstream upstream;
    Outbox outbox;
    dispatch::Dispatcher dispatcher;
};

// An attempt whose record the store did not take never went, counts as none, and is made as soon as the store
// takes records again; its outcome is heard.
TEST(CoreFaults, AnAttemptThatCouldNotBeRecordedIsMadeLater) {
    Disk disk;
    Core core(disk);
    const auto client = core.submit("m1");
    // The message's own record is written, what follows fails.
    int records = 0;
    disk.follow([&](std::size_t, Disk::Call call, const std::string&) {
        Disk::Fate fate;
        if (call == Disk::Call::append && ++records > 1) fate.error = -ENOSPC;
        return fate;
    });
    ASSERT_TRUE(core.await([&] { return core.dispatcher.counts().records_unwritten >= 5; }, 8000));
    ASSERT_EQ(client->answers.size(), 1U);
    EXPECT_EQ(client->answers.front().reply, dispatch::Reply::taken);
    EXPECT_TRUE(core.upstream.calls.empty());
    EXPECT_TRUE(core.outbox.notices.empty());  // more tries than it may have attempts, and it is still owed
    disk.follow({});
    ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
    EXPECT_EQ(core.upstream.calls[0].messages[0].attempt, 0);
    core.answer(core.upstream.calls[0], Result::ok);
    ASSERT_TRUE(core.await([&] { return core.ledger.held() == 0; }));
    // Nothing of it is left in the module: the next message goes at once.
    core.submit("m2");
    EXPECT_TRUE(core.await([&] { return core.upstream.calls.size() == 2; }, 500));
}

// A call that was withheld before its first byte is no attempt.
TEST(CoreFaults, WhatDidNotLeaveDoesNotCount) {
    Disk disk;
    Core core(disk, 2);
    core.submit("m1");
    // Each of them after the least sleep: the endpoint is not taken for a silent one.
    for (std::size_t i = 1; i <= 5; ++i) {
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == i; }, 1500)) << i;
        EXPECT_EQ(core.upstream.calls.back().messages[0].attempt, 0);
        core.answer(core.upstream.calls.back(), Result::moot, true);
    }
    ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 6; }));
    core.answer(core.upstream.calls.back(), Result::ok);
    EXPECT_TRUE(core.await([&] { return core.ledger.held() == 0; }));
    EXPECT_EQ(core.dispatcher.counts().unsent, 5U);
}

// The next process would try a message again whose end was told and not recorded: its notice waits for the
// record, but no longer than the message's time, behind which nobody tries it again.
TEST(CoreFaults, ANoticeWaitsForItsRecordUntilTheDeadline) {
    constexpr std::uint16_t payment = 2;
    const auto no_record = [](std::size_t, Disk::Call call, const std::string&) {
        Disk::Fate fate;
        if (call == Disk::Call::append) fate.error = -EIO;
        return fate;
    };
    Disk disk;
    Core core(disk);
    core.submit("m1", payment);
    ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
    disk.follow(no_record);
    core.answer(core.upstream.calls[0], Result::error);
    EXPECT_FALSE(core.await([&] { return !core.outbox.notices.empty(); }, 400));
    disk.follow({});
    ASSERT_TRUE(core.await([&] { return core.outbox.notices.size() == 1; }, 200));
    const auto due = runtime::steady_now() + 3000;
    core.submit("m2", payment, "", 3000);
    ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 2; }));
    disk.follow(no_record);
    core.answer(core.upstream.calls[1], Result::error);
    ASSERT_TRUE(core.await([&] { return core.outbox.notices.size() == 2; }));
    EXPECT_GE(runtime::steady_now(), due - 20);
    EXPECT_LE(runtime::steady_now(), due + 150);
}

// A call that was given up just before the end of the process may still run when the next one starts.
TEST(CoreFaults, AKeyRestsOverARestart) {
    Disk disk;
    {
        Core core(disk);
        core.submit("m1", 3, "visit-1");
        core.submit("m2", 3, "visit-1");
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
        core.answer(core.upstream.calls[0], Result::reset);
        ASSERT_TRUE(core.await([&] { return core.outbox.notices.size() == 1; }));
        core.dispatcher.mailbox().put(dispatch::Told{{core.outbox.notices[0].id}});
        core.await([] { return false; }, 20);
    }
    Core next(disk);
    EXPECT_FALSE(next.await([&] { return !next.upstream.calls.empty(); }, 200));
    EXPECT_TRUE(next.await([&] { return !next.upstream.calls.empty(); }, 1000));
}

// Guards against a message that is withdrawn, as its client got no answer, and then answered as accepted to
// whoever hands it in again under its id: nobody went on with it.
TEST(CoreFaults, AnIdWhoseClientLeftIsNotToldAsTakenOnAgain) {
    constexpr std::uint16_t payment = 2;
    using dispatch::Reply;
    struct Case {
        Result result;
        Reply again;
        std::size_t calls;
    };
    for (const auto& [result, again, calls] :
         {Case{Result::error, Reply::conflict, 1}, Case{Result::full, Reply::taken, 2},
          Case{Result::ok, Reply::taken, 1}}) {
        Disk disk;
        Core core(disk);
        const auto first = core.submit("m1", payment);
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
        core.dispatcher.mailbox().put(dispatch::Untold{first->answers[0].id});
        const auto early = core.submit("m1", payment);
        ASSERT_TRUE(core.await([&] { return !early->answers.empty(); }));
        EXPECT_EQ(early->answers[0].reply, Reply::full);
        core.answer(core.upstream.calls[0], result);
        core.await([] { return false; }, 20);
        const auto late = core.submit("m1", payment);
        ASSERT_TRUE(core.await([&] { return !late->answers.empty(); }));
        EXPECT_EQ(late->answers[0].reply, again);
        core.await([] { return false; }, 100);
        EXPECT_EQ(core.upstream.calls.size(), calls);
    }
}

// The same over a restart.
TEST(CoreFaults, AnIdWhoseClientLeftIsNotToldAsTakenOnByTheNextProcess) {
    constexpr std::uint16_t payment = 2;
    Disk disk;
    {
        Core core(disk);
        const auto first = core.submit("m1", payment);
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
        core.dispatcher.mailbox().put(dispatch::Untold{first->answers[0].id});
        core.await([] { return false; }, 20);
    }
    Core next(disk);
    const auto again = next.submit("m1", payment);
    ASSERT_TRUE(next.await([&] { return !again->answers.empty(); }));
    EXPECT_EQ(again->answers[0].reply, dispatch::Reply::conflict);
    EXPECT_TRUE(next.upstream.calls.empty());
}

// What discovery said while the store took no records is kept for the next process all the same.
TEST(CoreFaults, WhoLeavesIsKeptThoughTheStoreTookNoRecord) {
    Disk disk;
    Core core(disk);
    disk.follow([](std::size_t, Disk::Call call, const std::string&) {
        Disk::Fate fate;
        if (call == Disk::Call::append) fate.error = -EIO;
        return fate;
    });
    dispatch::DepartureChange word;
    word.departed[7] = true;
    core.dispatcher.note_departures(word);
    core.await([] { return false; }, 50);
    EXPECT_EQ(core.ledger.departed().names.count(7), 0U);
    disk.follow({});
    // Without a message that would have another record written.
    EXPECT_TRUE(core.await([&] { return core.ledger.departed().names.count(7) == 1; }, 500));
}

// The module's word alone does not send: what the core knows of a key holds too, and is forgotten with it.
TEST(CoreFaults, TurnsAreLeftWithTheirMessages) {
    Disk disk;
    Core core(disk);
    for (int i = 0; i < 3; ++i) core.submit("m" + std::to_string(i), 3, "visit-1");
    for (std::size_t i = 1; i <= 3; ++i) {
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == i; })) << i;
        EXPECT_EQ(core.upstream.calls.back().messages.size(), 1U);
        core.answer(core.upstream.calls.back(), Result::ok);
    }
    EXPECT_TRUE(core.await([&] { return core.ledger.held() == 0; }));
    EXPECT_EQ(core.dispatcher.counts().stale_turns, 0U);
}

TEST(RealTime, AnAnchorHoldsWithinItsBoot) {
    const dispatch::ClockAnchor kept{5000, 100, "boot-1"};
    EXPECT_TRUE(dispatch::still_holds(kept, {100, 9999999, "boot-1"}));
    EXPECT_FALSE(dispatch::still_holds(kept, {99, 5099, "boot-1"}));  // another steady clock
    EXPECT_FALSE(dispatch::still_holds(kept, {200, 5200, "boot-2"}));
    EXPECT_FALSE(dispatch::still_holds({5000, 100, ""}, {200, 5200, ""}));
}

// A process that starts after a step of the wall clock goes by the clock of the one before.
TEST(RealTime, GoesOnOverAStepOfTheWallClock) {
    Disk disk;
    const auto files = disk.mount();
    store::Store store(*files, Core::options());
    store::Report report;
    ASSERT_EQ(store.open(0, report), store::Fault::none);
    dispatch::RealTime first;
    first.load(store);
    EXPECT_NEAR(first.now(), runtime::wall_now(), 100);
    // As if that process had begun when the wall clock was an hour behind.
    std::string value;
    ASSERT_EQ(store.read(dispatch::meta_keyspace, "clock", value), store::Fault::none);
    store::ValueReader in(value);
    const double offset = in.number<double>() - 3600000, steady = in.number<double>();
    store::Batch batch;
    batch.put(dispatch::meta_keyspace, "clock",
              store::ValueWriter().number(offset).number(steady).text(in.text()).take(), 0);
    ASSERT_TRUE(store.write(batch));
    dispatch::RealTime second;
    second.load(store);
    EXPECT_NEAR(second.now(), runtime::wall_now() - 3600000, 100);
}

// A start on a folder that fails for a moment is made again by the same store, lock and all.
TEST(CoreFaults, AStoreThatCouldNotBeOpenedOpensLater) {
    Disk disk;
    {
        Core core(disk);
        core.submit("m1");
        ASSERT_TRUE(core.await([&] { return core.upstream.calls.size() == 1; }));
    }
    for (std::size_t nth = 0; nth < 12; ++nth) {
        Disk copy = disk.copy();
        const auto files = copy.mount();
        store::Store store(*files, Core::options());
        store::Report report;
        copy.follow([nth](std::size_t n, Disk::Call call, const std::string&) {
            Disk::Fate fate;
            if (n == nth && call != Disk::Call::lock) fate.error = -ENOMEM;
            return fate;
        });
        const auto first = store.open(0, report, true);
        copy.follow({});
        if (first != store::Fault::none) {
            ASSERT_EQ(first, store::Fault::io) << nth;
            ASSERT_EQ(store.open(0, report, true), store::Fault::none) << nth << store.why();
        }
        EXPECT_EQ(dispatch::owed_in(store).size(), 1U) << nth;
    }
}

}  // namespace
}  // namespace brasslift::test
