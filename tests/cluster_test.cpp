// The cluster's list through endless new hosts, and large lists from an agent that writes as fast as it can.
#include "cluster/cluster.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <stdexcept>
#include <thread>

namespace brasslift::cluster {
namespace {

News one_host(const std::string& uid, ListingState state) {
    News news;
    News::Line line;
    line.uid = uid;
    line.address = *runtime::parse_address("127.0.0.1:9");
    line.listing.state = state;
    news.lines.push_back(line);
    return news;
}

TEST(Cluster, LeavesNothingBehindOfHostsThatHaveGone) {
    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool(scheduler, {});
    Cluster cluster(scheduler, config, *runtime::parse_address("127.0.0.1:9"), pool, 20);
    std::size_t forgotten = 0;
    cluster.tell_to([&](const dispatch::Listed& listed) { forgotten += listed.forgotten.size(); });
    std::set<std::uint32_t> ids;
    for (int i = 0; i < 100; ++i) {
        const auto uid = "s-" + std::to_string(i);
        const auto came = cluster.apply(one_host(uid, ListingState::ready));
        ids.insert(came.lines.front().endpoint.address);
        if (i < 99) cluster.apply(one_host(uid, ListingState::gone));
        // Each takes the address of the one before: nothing may go there for that one any more.
        if (i % 10 == 9) {
            scheduler.spawn(cluster.run());
            scheduler.run_until(scheduler.now() + 60);
            scheduler.drop_tasks();
        }
    }
    EXPECT_EQ(ids.size(), 100u);  // no id is given twice, or verdicts of one would be another's
    EXPECT_EQ(cluster.known(), 1u);
    EXPECT_EQ(pool.known(), 1u);
    EXPECT_EQ(forgotten, 99u);
}

TEST(Cluster, AnAddressBelongsToTheLatestHostThatHasIt) {
    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool(scheduler, {});
    Cluster cluster(scheduler, config, *runtime::parse_address("127.0.0.1:9"), pool);
    const auto first = cluster.apply(one_host("s-1", ListingState::ready)).lines.at(0).endpoint;
    const auto listed = cluster.apply(one_host("s-2", ListingState::ready));
    ASSERT_EQ(listed.lines.size(), 2u);
    EXPECT_EQ(listed.lines[0].endpoint, first);
    EXPECT_EQ(listed.lines[0].state, ListingState::gone);
    EXPECT_NE(listed.lines[1].endpoint, first);
}

// An agent: for each connection, an answer and then the connection's end. Written by a thread of its own, so
// that there is always more to read than the loop has read.
class Agent {
public:
    explicit Agent(std::vector<std::string> answers, int after_ms = 0)
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        auto* const address = reinterpret_cast<sockaddr*>(&at);
        if (::bind(listener_.get(), address, size) != 0 || ::listen(listener_.get(), 4) != 0 ||
            ::getsockname(listener_.get(), address, &size) != 0)
            throw std::runtime_error("the agent cannot listen");
        address_ = {at.sin_addr.s_addr, at.sin_port};
        thread_ = std::thread([this, after_ms, answers = std::move(answers)] {
            for (const auto& answer : answers) {
                const runtime::Descriptor peer(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
                char request[4096];
                if (!peer || ::recv(peer.get(), request, sizeof request, 0) <= 0) return;
                std::this_thread::sleep_for(std::chrono::milliseconds(after_ms));
                for (std::string_view rest = answer; !rest.empty();) {
                    const auto count = ::send(peer.get(), rest.data(), rest.size(), MSG_NOSIGNAL);
                    if (count <= 0) break;
                    rest.remove_prefix(static_cast<std::size_t>(count));
                }
            }
        });
    }
    ~Agent() {
        ::shutdown(listener_.get(), SHUT_RDWR);
        thread_.join();
    }
    runtime::Address address() const { return address_; }

private:
    runtime::Descriptor listener_;
    runtime::Address address_;
    std::thread thread_;
};

std::string answer_of(const std::string& lists) { return "HTTP/1.1 200 OK\r\n\r\n" + lists; }

std::string entries_of(int count) {
    std::string text;
    for (int i = 0; i < count; ++i)
        text += (i > 0 ? ",{\"uid\":\"s-" : "{\"uid\":\"s-") + std::to_string(i) +
                "\",\"endpoint\":\"10.0.0.1:80\",\"pod_group\":" + std::to_string(i % 100) +
                ",\"az\":\"a\",\"model\":\"many\",\"state\":\"Terminating\",\"capacity_hint\":50.0}";
    return text;
}

double thread_ms() {
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

// A cluster that watches an agent until `done` or for ten seconds.
struct Watching {
    explicit Watching(const Agent& agent)
        : pool(scheduler, {}), cluster(scheduler, config, agent.address(), pool) {
        cluster.tell_to([this](const dispatch::Listed& listed) {
            told.push_back(listed.lines.size());
            held.push_back(cluster.listed());
        });
        scheduler.spawn(cluster.run());
        scheduler.spawn(cluster.watch());
    }
    ~Watching() { scheduler.drop_tasks(); }
    template <class Done>
    bool await(Done done) {
        for (const Time until = runtime::steady_now() + 10000; !done() && runtime::steady_now() < until;)
            scheduler.run_until(runtime::steady_now() + 5);
        return done();
    }

    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool;
    Cluster cluster;
    std::vector<std::size_t> told;  // lines of each list, of hosts whose destinations are awake
    std::vector<std::size_t> held;  // hosts listed as each was told
};

TEST(Cluster, HearsAWholeListOfAnySizeAndTheChangesRoundIt) {
    constexpr int count = 22000;  // more than were ever read of a list
    Agent agent(
        {answer_of("{\"rev\":1,\"all\":false,\"targets\":[" + entries_of(1) +
                   "]}\n{\"rev\":2,\"all\":true,"
                   "\"targets\":[" +
                   entries_of(count) + "]}\n{\"rev\":3,\"all\":false,\"targets\":[" + entries_of(2) + "]}\n"),
         answer_of("{\"rev\":4,\"all\":true,\"targets\":[]}\n"),
         answer_of("{\"rev\":5,\"all\":true,\"targets\":[" + entries_of(5) + "]}\n")});
    Watching watching(agent);
    ASSERT_TRUE(watching.await([&] { return watching.told.size() == 5; }));
    EXPECT_EQ(watching.held, (std::vector<std::size_t>{1, count, count, 0, 5}));
    // Of the one destination of a hundred that is awake, which the first change named.
    EXPECT_EQ(watching.told, (std::vector<std::size_t>{1, count / 100, 1, count / 100, 1}));
}

// A start that took long before the loop runs, as with a large list in the config, is not the agent's delay.
TEST(Cluster, TheFirstCallHasItsWholeTimeHoweverLateTheLoopBegins) {
    Agent agent({answer_of("{\"rev\":1,\"all\":true,\"targets\":[" + entries_of(7) + "]}\n")}, 300);
    runtime::Scheduler scheduler;
    const config::Config config;
    upstream::Pool pool(scheduler, {});
    while (runtime::steady_now() < scheduler.now() + WatchPace::most_limit_ms) {}
    Cluster cluster(scheduler, config, agent.address(), pool);
    std::size_t told = 0;
    cluster.tell_to([&](const dispatch::Listed& listed) { told += listed.lines.size(); });
    scheduler.spawn(cluster.run());
    scheduler.spawn(cluster.watch());
    for (const Time until = runtime::steady_now() + 3000; told == 0 && runtime::steady_now() < until;)
        scheduler.run_until(runtime::steady_now() + 5);
    EXPECT_EQ(told, 7u);
    scheduler.drop_tasks();
}

TEST(Cluster, OfAListThatIsCutOffOrTooLargeTheOldOneStays) {
    const auto whole = "{\"rev\":2,\"all\":true,\"targets\":[" + entries_of(50);
    Agent agent({answer_of("{\"rev\":1,\"all\":true,\"targets\":[" + entries_of(7) + "]}\n"),
                 answer_of(whole), "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n" + whole,
                 answer_of("{\"rev\":3,\"all\":false,\"targets\":[" + entries_of(1) + "]}\n")});
    Watching watching(agent);
    ASSERT_TRUE(watching.await([&] { return watching.told.size() == 2; }));
    EXPECT_EQ(watching.told, (std::vector<std::size_t>{7, 1}));
    EXPECT_EQ(watching.cluster.listed(), 7u);
}

// By the time of the thread, so that a busy machine is not taken for a held loop.
TEST(Cluster, ALargeListHoldsTheLoopInSlicesOnly) {
    Agent agent({answer_of("{\"rev\":1,\"all\":true,\"targets\":[" + entries_of(40000))});
    Watching watching(agent);
    double longest = 0, last = thread_ms();
    const double from = last;
    int turns = 0;
    const auto tick = [&]() -> runtime::Task<void> {
        for (;;) {
            const double now = thread_ms();
            longest = std::max(longest, now - std::exchange(last, now));
            ++turns;
            co_await runtime::next_turn(watching.scheduler);
        }
    };
    watching.scheduler.spawn(tick());
    // It is cut off, and the watch asks again.
    bool over = false;
    const auto enough = [&]() -> runtime::Task<void> {
        co_await runtime::sleep_until(watching.scheduler, watching.scheduler.now() + 1500);
        over = true;
    };
    watching.scheduler.spawn(enough());
    ASSERT_TRUE(watching.await([&] { return over; }));
    EXPECT_GT(turns, 10);
    EXPECT_LT(longest, 40);
    RecordProperty("longest_ms", std::to_string(longest));
    RecordProperty("thread_ms", std::to_string(thread_ms() - from));
}

TEST(Scheduler, WhoLeavesTheTurnLetsDescriptorsAndTimersBeServedFirst) {
    runtime::Scheduler scheduler;
    runtime::Waker waker(scheduler);
    auto listener = runtime::listen_on(scheduler, *runtime::parse_address("127.0.0.1:0"), waker);
    ASSERT_TRUE(listener);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ASSERT_EQ(::getsockname(listener->fd(), reinterpret_cast<sockaddr*>(&at), &size), 0);
    std::string order;
    const auto accepts = [&]() -> runtime::Task<void> {
        for (;;) {
            runtime::Descriptor peer;
            if (runtime::accept_from(*listener, peer) == runtime::Accepted::one) order += 'a';
            co_await waker.wait();
        }
    };
    const auto sleeps = [&]() -> runtime::Task<void> {
        co_await runtime::sleep_until(scheduler, scheduler.now() + 1);
        order += 't';
    };
    const auto works = [&]() -> runtime::Task<void> {
        runtime::Waker own(scheduler);
        auto socket = runtime::connect_to(scheduler, {at.sin_addr.s_addr, at.sin_port}, own);
        while (scheduler.turn_ms() < 3) {}
        order += 'w';
        co_await runtime::next_turn(scheduler);
        EXPECT_LT(order.find('a'), order.size());
        EXPECT_LT(order.find('t'), order.size());
        order += 'x';
        scheduler.stop();
    };
    scheduler.spawn(accepts());
    scheduler.spawn(sleeps());
    scheduler.spawn(works());
    scheduler.run();
    EXPECT_EQ(order.front(), 'w');
    EXPECT_EQ(order.back(), 'x');
    EXPECT_EQ(order.size(), 4u);
    scheduler.drop_tasks();
}

}  // namespace
}  // namespace brasslift::cluster
