// The story: many clients that wrote slowly or stopped half way took a process past its memory limit; one
// client that sent small or unsound requests at full speed kept the others waiting; requests of a client that
// had left were sent on.
//
// The causes: of a request that was being read its body was counted and its head was not; the parts of a
// chunked body had no bound together; a connection that had had its last answer kept its place for 0.3 s
// whoever needed it; and a client that had left counted as there for as long as bytes of it waited to be
// read.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "downstream/server.hpp"
#include "lab/link.hpp"
#include "lab/site.hpp"
#include "lifecycle/lifecycle.hpp"
#include "runtime/descriptor.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

using downstream::Server;

// A client's connection, from outside.
class Caller {
public:
    explicit Caller(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        const auto address = lab::local(port);
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = address.host;
        at.sin_port = address.port;
        if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
            throw std::runtime_error("cannot connect");
    }
    // What the system takes of it at once.
    void send(const std::string& bytes) {
        static_cast<void>(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    }
    // All that has come so far.
    const std::string& seen() {
        char part[4096];
        for (ssize_t got = 0; (got = ::recv(fd_.get(), part, sizeof part, MSG_DONTWAIT)) > 0;)
            seen_.append(part, static_cast<std::size_t>(got));
        return seen_;
    }
    bool has(const std::string& text) { return seen().find(text) != std::string::npos; }

private:
    runtime::Descriptor fd_;
    std::string seen_;
};

// The clients' side alone; streams are counted and not answered.
struct Front {
    explicit Front(Server::Limits limits) : server(scheduler, config, limits, lifecycle) {
        server.submit_to([this](dispatch::Submission) { ++submitted; });
        server.untold_to([](MessageId) {});
        server.rejections_to([this](std::size_t) { ++rejected; });
        lifecycle.begin();
        port = lab::free_port();
        if (!server.listen(lab::local(port))) throw std::runtime_error("cannot listen");
        scheduler.spawn(server.run());
    }
    ~Front() { scheduler.drop_tasks(); }
    void run_for(double ms) { scheduler.run_until(runtime::steady_now() + ms); }
    template <class Yes>
    bool await(Yes yes, double most_ms = 1000) {
        for (const double until = runtime::steady_now() + most_ms; !yes() && runtime::steady_now() < until;)
            run_for(2);
        return yes();
    }
    config::Config config = config::read_config(lab::site_config({}));
    lifecycle::Lifecycle lifecycle;
    runtime::Scheduler scheduler;
    Server server;
    std::uint16_t port = 0;
    int submitted = 0, rejected = 0;
};

Server::Limits limits_of(std::size_t connections, std::size_t request_bytes) {
    Server::Limits limits;
    limits.connections = connections;
    limits.request_bytes = request_bytes;
    limits.request_ms = 2600;
    return limits;
}

std::string head_of(std::size_t length) {
    return "POST /safe HTTP/1.1\r\nReq-Id: m1\r\nReq-Owner: acme\r\nReq-Deadline: 8000m\r\n"
           "Idempotency-Key: k1\r\nX-Addressing: dest=1\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

std::string many_fields(int count, std::size_t value) {
    std::string head = "POST /safe HTTP/1.1\r\n";
    for (int i = 0; i < count; ++i) head += 'f' + std::to_string(i) + ": " + std::string(value, 'v') + "\r\n";
    return head;
}

int count_with(std::vector<Caller>& callers, const std::string& text) {
    int count = 0;
    for (auto& caller : callers) count += caller.has(text) ? 1 : 0;
    return count;
}

// Guards against heads that take memory which no bound counts: of short fields the fields themselves most.
TEST(BadClients, HeadsCountForTheMemoryOfAllRequests) {
    for (const auto& head : {many_fields(95, 1), many_fields(90, 150)}) {
        constexpr int clients = 40;
        Front front(limits_of(64, 100'000));
        std::vector<Caller> callers;
        for (int i = 0; i < clients; ++i) callers.emplace_back(front.port).send(head);
        front.run_for(100);
        const int refused = count_with(callers, "HTTP/1.1 503");
        EXPECT_GT(refused, 0);
        EXPECT_LT(refused, clients);
        const auto counted = [&] {
            return static_cast<int>(
                front.server.closed()[static_cast<std::size_t>(downstream::ClosedBy::no_memory)]);
        };
        EXPECT_TRUE(front.await([&] { return counted() == refused; })) << counted() << ' ' << refused;
    }
}

// Guards against requests that were refused and keep their memory while their clients take the refusal.
TEST(BadClients, ARefusedRequestGivesItsMemoryBack) {
    constexpr std::size_t limit = 100'000;
    Front front(limits_of(64, limit));
    std::vector<Caller> callers;
    for (int i = 0; i < 40; ++i)
        callers.emplace_back(front.port).send(head_of(60'000) + std::string(40'000, 'x'));
    ASSERT_TRUE(front.await([&] { return count_with(callers, "HTTP/1.1 503") > 20; }));
    EXPECT_GT(front.server.open(), 20U);
    EXPECT_LE(front.server.request_memory(), limit);
}

// Guards against half requests that keep all memory from those that get on.
TEST(BadClients, HalfRequestsGiveTheirMemoryToThoseThatGetOn) {
    Front front(limits_of(64, 100'000));
    std::vector<Caller> halves;
    for (int i = 0; i < 6; ++i)
        halves.emplace_back(front.port).send(head_of(60'000) + std::string(15'000, 'x'));
    front.run_for(450);
    Caller other(front.port);
    other.send(head_of(30'000) + std::string(20'000, 'x'));
    front.run_for(50);
    other.send(std::string(10'000, 'x'));
    EXPECT_TRUE(front.await([&] { return front.submitted == 1; }));
    EXPECT_EQ(other.seen(), "");
    EXPECT_GT(count_with(halves, "HTTP/1.1 408"), 0);
    EXPECT_GT(front.rejected, 0);
}

// Guards against connections that have had their last answer and keep new ones out.
TEST(BadClients, ThoseThatHadTheirLastAnswerMakeRoom) {
    Front front(limits_of(8, 1 << 20));
    std::vector<Caller> unsound;
    // More follows than is read, so that the end of the connection waits for its client.
    for (int i = 0; i < 8; ++i)
        unsound.emplace_back(front.port).send("POST /nothing HTTP/1.1\r\n\r\n" + std::string(40'000, 'x'));
    ASSERT_TRUE(front.await([&] { return count_with(unsound, "HTTP/1.1 404") == 8; }, 200));
    std::vector<Caller> sound;
    for (int i = 0; i < 8; ++i) sound.emplace_back(front.port).send("GET /up HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(front.await([&] { return count_with(sound, "HTTP/1.1 200") == 8; }, 100));
}

// Guards against a body whose parts bring bytes without end: nobody else has a turn meanwhile.
TEST(BadClients, APartedBodyIsBoundedWithAllThatItsPartsBring) {
    http::Parser parser(http::Parser::Side::request);
    parser.feed("POST /safe HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::size_t taken = 0;
    const auto part = "1;" + std::string(4000, 'x') + "\r\na\r\n";
    for (int i = 0; i < 100 && parser.fault() == http::Fault::none; ++i) taken += parser.feed(part);
    EXPECT_EQ(http::status_of(parser.fault()), 431);
    EXPECT_LE(taken, http::Limits{}.head + part.size());
    http::Parser zeros(http::Parser::Side::request);
    zeros.feed("POST /safe HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 100 && zeros.fault() == http::Fault::none; ++i)
        zeros.feed(std::string(4000, '0') + "1\r\na\r\n");
    EXPECT_EQ(http::status_of(zeros.fault()), 431);
    http::Parser plain(http::Parser::Side::request);
    plain.feed("POST /safe HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 64 * 1024; ++i) plain.feed("1\r\na\r\n");
    plain.feed("0\r\n\r\n");
    EXPECT_TRUE(plain.complete());
}

// Guards against requests that are sent on though their client has left, while bytes of it wait to be read.
TEST(BadClients, NothingIsSentOnForAClientThatLeftWithMuchUnread) {
    EXPECT_EQ(play(R"(
        start
        stop
        c1 post payment m1 8000m 1 12000
        c1 post payment m2 8000m 1 12000
        c1 post payment m3 8000m 1 12000
        c1 close
        go
        h absent Req-Id 500
        c2 post payment m1 8000m 1 12000
        c2 expect 202
        h expect Req-Id: m1
        h answer 200
        h absent Req-Id 500
    )"),
              "");
}

// The same where the id comes again at the process that took over.
TEST(BadClients, AnIdThatComesAgainAtTheNextProcessRunsOnce) {
    EXPECT_EQ(play(R"(
        start
        c0 call GET /up
        c0 expect 200
        stop
        c1 post payment m1 8000m 1 12000
        c1 post payment m2 8000m 1 12000
        c1 close
        go
        replace
        c2 post payment m1 8000m 1 12000
        c2 expect 202
        h expect Req-Id: m1
        h answer 200
        c3 post payment m1 8000m 1 12000
        c3 expect 202
        h absent Req-Id 500
    )"),
              "");
}

}  // namespace
}  // namespace brasslift::test
