// The story: a keyed message ran twice. A repeat was written while the network was cut, the dispatcher gave
// it up, and when the network was whole again the system still delivered what had been written, behind the
// window in which the partner drops repeats (review/3).
//
// The cause: to give a call up was to close its connection in order, which lets the system deliver what it
// holds for as long as it tries; and nothing bounded the arrival of a call that was still waited for.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "lab/link.hpp"
#include "upstream/pool.hpp"

namespace brasslift::test {
namespace {

using runtime::Scheduler;

// An endpoint that takes a connection and reads nothing.
class SilentEndpoint {
public:
    explicit SilentEndpoint(Scheduler& scheduler) : accepting_(scheduler) {
        listener_ = lab::listen_anywhere(scheduler, accepting_, port_);
        scheduler.spawn(lab::accept_each(scheduler, listener_, accepting_,
                                         [this](runtime::Descriptor fd) { fd_ = std::move(fd); }));
    }
    runtime::Address address() const { return lab::local(port_); }
    // Reads all that has come; the error behind it, 0: none.
    int read_to_end() {
        char part[4096];
        ssize_t got = 0;
        while ((got = ::recv(fd_.get(), part, sizeof part, MSG_DONTWAIT)) > 0) bytes_ += got;
        return got < 0 ? errno : 0;
    }
    ssize_t bytes() const { return bytes_; }

private:
    runtime::Waker accepting_;
    runtime::Socket listener_;
    std::uint16_t port_ = 0;
    runtime::Descriptor fd_;
    ssize_t bytes_ = 0;
};

// Guards against a call that is given up and delivered afterwards: its connection is reset.
TEST(LateArrival, ACallThatWasGivenUpIsReset) {
    Scheduler scheduler;
    SilentEndpoint endpoint(scheduler);
    upstream::Pool pool(scheduler, {});
    int verdicts = 0;
    pool.report_to([&](const dispatch::Verdict& verdict) {
        ++verdicts;
        EXPECT_EQ(verdict.result, Result::timeout);
    });
    upstream::HostState host;
    host.id = {1, 0};
    host.address = endpoint.address();
    host.ready = true;
    pool.relist(host);
    dispatch::CallMessage message;
    message.id = 1;
    message.name = "m1";
    message.body = std::make_shared<const std::string>("hello");
    message.due = message.expires = runtime::steady_now() + 200;
    pool.call({host.id, runtime::steady_now(), {message}, nullptr});
    for (const double until = runtime::steady_now() + 2000; verdicts == 0 && runtime::steady_now() < until;)
        scheduler.run_until(runtime::steady_now() + 5);
    EXPECT_EQ(verdicts, 1);
    scheduler.run_until(runtime::steady_now() + 20);
    EXPECT_EQ(endpoint.read_to_end(), ECONNRESET);
    EXPECT_GT(endpoint.bytes(), 0);
    scheduler.drop_tasks();
}

// Guards against bytes that the system delivers behind the time that the call had, also where the process was
// killed: the system itself gives them up.
TEST(LateArrival, TheSystemIsToldForHowLongACallMayArrive) {
    Scheduler scheduler;
    runtime::Waker waker(scheduler);
    SilentEndpoint endpoint(scheduler);
    auto socket = runtime::connect_to(scheduler, endpoint.address(), waker);
    ASSERT_TRUE(socket);
    socket->limit_undelivered(1234);
    unsigned limit = 0;
    socklen_t size = sizeof limit;
    ASSERT_EQ(::getsockopt(socket->fd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, &size), 0);
    EXPECT_EQ(limit, 1234U);
    socket->limit_undelivered(-5);
    ASSERT_EQ(::getsockopt(socket->fd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, &size), 0);
    EXPECT_EQ(limit, 1U);
    scheduler.drop_tasks();
}

}  // namespace
}  // namespace brasslift::test
