// Answers that come while the request is still being written: they cannot belong to it.
#include <gtest/gtest.h>

#include "client/caller.hpp"
#include "lab/link.hpp"
#include "upstream/pool.hpp"

namespace brasslift::test {
namespace {

using runtime::Scheduler;

// More than the system's buffers take while nobody reads.
constexpr std::size_t large = 16U << 20;
constexpr double rested_ms = 600, answer_ms = 100;

// Takes one connection, reads nothing unless it is asked to, and writes what it is told to.
class Peer {
public:
    explicit Peer(Scheduler& scheduler) : scheduler_(scheduler), accepting_(scheduler), waker_(scheduler) {
        listener_ = lab::listen_anywhere(scheduler_, accepting_, port_);
        scheduler_.spawn(lab::accept_each(scheduler_, listener_, accepting_, [this](runtime::Descriptor fd) {
            connection_ = runtime::Socket(scheduler_, std::move(fd), waker_);
        }));
    }
    runtime::Address address() const { return lab::local(port_); }
    void write(const std::string& status) {
        const auto answer = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
        ASSERT_EQ(connection_.write(answer).count, answer.size());
    }
    void read() {
        char part[4096];
        while (connection_.read(part, sizeof part).io == runtime::Io::done) continue;
    }

private:
    Scheduler& scheduler_;
    runtime::Waker accepting_, waker_;
    runtime::Socket listener_, connection_;
    std::uint16_t port_ = 0;
};

TEST(EarlyAnswer, EndsNoCallThatIsStillBeingWritten) {
    Scheduler scheduler;
    const auto pass = [&](double ms) { scheduler.run_until(runtime::steady_now() + ms); };
    Peer peer(scheduler);
    upstream::Pool pool(scheduler, {});
    std::vector<dispatch::Verdict> verdicts;
    pool.report_to([&](dispatch::Verdict verdict) { verdicts.push_back(std::move(verdict)); });
    upstream::HostState host;
    host.id = {1, 0};
    host.address = peer.address();
    host.ready = true;
    pool.relist(host);
    const auto call = [&](MessageId id, std::size_t size) {
        dispatch::CallMessage message;
        message.id = id;
        message.name = std::to_string(id);
        message.body = std::make_shared<const std::string>(size, 'x');
        message.due = message.expires = runtime::steady_now() + 5000;
        pool.call({host.id, runtime::steady_now(), {message}, nullptr});
    };
    call(1, 5);
    pass(answer_ms);
    peer.read();
    peer.write("200");
    pass(rested_ms);
    call(2, large);
    pass(answer_ms);
    peer.write("200");
    for (const double until = runtime::steady_now() + 20 * answer_ms;
         verdicts.size() < 2 && runtime::steady_now() < until; pass(1))
        peer.read();
    EXPECT_EQ(pool.connections().reused, 1U);
    EXPECT_EQ(verdicts.size(), 2U);
    EXPECT_EQ(verdicts.front().result, Result::ok);
    EXPECT_EQ(verdicts.back().result, Result::connect_failed);
    scheduler.drop_tasks();
}

TEST(EarlyAnswer, TakesNoRequestThatIsStillBeingWritten) {
    for (const auto* const status : {"204", "413"}) {
        Scheduler scheduler;
        Peer peer(scheduler);
        client::Caller caller(scheduler);
        std::optional<http::Message> answer;
        bool ended = false;
        const auto call = [&]() -> runtime::Task<void> {
            const double until = runtime::steady_now() + 4 * answer_ms;
            auto calling = caller.call(peer.address(), std::string(large, 'x'), [until] { return until; });
            answer = co_await calling;
            ended = true;
        };
        scheduler.spawn(call());
        scheduler.run_until(runtime::steady_now() + answer_ms);
        peer.write(status);
        scheduler.run_until(runtime::steady_now() + 5 * answer_ms);
        EXPECT_TRUE(ended);
        // What the peer refuses it may refuse before it has read it.
        EXPECT_EQ(answer.has_value(), status == std::string("413"));
        scheduler.drop_tasks();
    }
}

}  // namespace
}  // namespace brasslift::test
