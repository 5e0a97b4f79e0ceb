// The story: a new process came up at the address of one that had gone and was taken for the old one. Asked
// of endpoints and of discovery's agent; of dispatchers see handover_test.cpp (who gives what to whom).
//
// The cause, of endpoints: a connection was checked against its endpoint's address only while it rested. One
// that came up, or whose answer came, after discovery had moved its endpoint was used as if it led there. Of
// the agent: changes behind any version were applied to the list that was there.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "lab/link.hpp"
#include "lab/peers.hpp"
#include "scenario.hpp"
#include "upstream/pool.hpp"

namespace brasslift::test {
namespace {

using runtime::Scheduler;

// A pool with one endpoint that moves.
struct Moves {
    Moves() {
        pool.report_to([this](dispatch::Verdict verdict) { verdicts.push_back(std::move(verdict)); });
    }
    ~Moves() { scheduler.drop_tasks(); }
    void list_at(runtime::Address address) {
        upstream::HostState host;
        host.id = {1, 0};
        host.address = address;
        host.ready = true;
        pool.relist(host);
    }
    void call(MessageId id) {
        dispatch::CallMessage message;
        message.id = id;
        message.name = std::to_string(id);
        message.body = std::make_shared<const std::string>("hello");
        message.due = message.expires = runtime::steady_now() + 5000;
        pool.call({{1, 0}, runtime::steady_now(), {message}, nullptr});
    }
    template <class Yes>
    bool await(Yes yes, double most_ms = 3000) {
        for (const double until = runtime::steady_now() + most_ms; !yes() && runtime::steady_now() < until;)
            scheduler.run_until(runtime::steady_now() + 2);
        return yes();
    }
    Scheduler scheduler;
    upstream::Pool pool{scheduler, {}};
    std::vector<dispatch::Verdict> verdicts;
};

// Guards against a connection that is kept behind its answer though its endpoint has moved meanwhile.
TEST(FormerAddress, AConnectionThereCarriesNoFurtherCall) {
    Moves moves;
    int former = 0, present = 0;
    lab::Party old_party(moves.scheduler, [&](const http::Message&) {
        ++former;
        lab::Party::Reply reply;
        reply.after_ms = 200;
        return reply;
    });
    lab::Party new_party(moves.scheduler, [&](const http::Message&) {
        ++present;
        return lab::Party::Reply{};
    });
    moves.list_at(lab::local(old_party.port()));
    moves.call(1);
    ASSERT_TRUE(moves.await([&] { return former == 1; }));
    moves.list_at(lab::local(new_party.port()));
    ASSERT_TRUE(moves.await([&] { return moves.verdicts.size() == 1; }));
    moves.await([] { return false; }, 600);  // connections rest behind an answer
    moves.call(2);
    ASSERT_TRUE(moves.await([&] { return moves.verdicts.size() == 2; }));
    EXPECT_EQ(former, 1);
    EXPECT_EQ(present, 1);
}

// A listener whose queue is full, so that connections come up only once one has been taken out of it.
class FullListener {
public:
    FullListener() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        ::bind(listener_.get(), reinterpret_cast<sockaddr*>(&at), size);
        ::listen(listener_.get(), 0);
        ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at), &size);
        address_ = {at.sin_addr.s_addr, at.sin_port};
        for (auto& fd : fillers_) {
            fd = runtime::Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), size);
        }
    }
    runtime::Address address() const { return address_; }
    // Takes all that come; bytes that came on any of them.
    std::size_t take_all() {
        for (;;) {
            runtime::Descriptor fd(
                ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!fd) break;
            taken_.push_back(std::move(fd));
        }
        char part[4096];
        for (const auto& fd : taken_)
            if (const auto got = ::recv(fd.get(), part, sizeof part, 0); got > 0)
                bytes_ += static_cast<std::size_t>(got);
        return bytes_;
    }
    std::size_t taken() const { return taken_.size(); }

private:
    runtime::Descriptor listener_;
    runtime::Descriptor fillers_[2];
    std::vector<runtime::Descriptor> taken_;
    runtime::Address address_;
    std::size_t bytes_ = 0;
};

// Guards against a call that is written to whoever has the address by the time that its connection comes up.
TEST(FormerAddress, ACallWhoseConnectionComesUpThereLaterIsNotWritten) {
    Moves moves;
    FullListener former;
    moves.list_at(former.address());
    moves.call(1);
    moves.await([] { return false; }, 50);
    moves.list_at(lab::local(9));
    moves.await([] { return false; }, 50);
    ASSERT_EQ(former.take_all(), 0U);
    ASSERT_TRUE(moves.await([&] { return former.take_all() > 0 || !moves.verdicts.empty(); }));
    EXPECT_EQ(former.take_all(), 0U);
    ASSERT_EQ(moves.verdicts.size(), 1U);
    EXPECT_TRUE(moves.verdicts[0].unsent);
}

// Guards against an agent that began anew and tells changes to a list that this process never heard.
TEST(FormerAddress, ChangesOfAnAgentThatKnowsAnotherListAreNotTaken) {
    const std::string entry =
        R"("targets":[{"uid":"s-1","endpoint":"@h","az":"a","model":"m1","pod_group":1,"state":)";
    EXPECT_EQ(play("start\n"
                   "d1 expect index=1\n"
                   "d1 send HTTP/1.1 200 OK\\r\\n\\r\\n{\"rev\":41,\"all\":false," +
                   entry +
                   "\"Ready\"}]}\\n\n"
                   "wait 100\n"
                   "d1 close\n"
                   "d expect index=41\n"
                   "d2 send HTTP/1.1 200 OK\\r\\n\\r\\n{\"rev\":5,\"all\":false," +
                   entry +
                   "\"Gone\"}]}\\n\n"
                   "d expect index=0\n"
                   "c1 post safe m1 8000m 1\n"
                   "h expect Req-Id: m1\n"),
              "");
}

}  // namespace
}  // namespace brasslift::test
