#include "lab/soak_endpoint.hpp"

#include "http/writer.hpp"
#include "lab/peer_connection.hpp"
#include "lab/peers.hpp"

namespace brasslift::lab {
namespace {

constexpr double least_ms = 5, usual_ms = 60, slow_ms = 1500;  // to an answer
constexpr double most_copy_ms = 200;                           // from an answer to its second copy
constexpr double least_wait_ms = 200, most_wait_ms = 900;      // that is told

}  // namespace

const char* name_of(Trouble trouble) {
    static const char* const names[troubles] = {"none",    "slow",  "hangs", "resets", "shuts",
                                                "refuses", "waits", "fails", "spoils", "doubles"};
    return names[static_cast<int>(trouble)];
}

struct SoakEndpoint::Connection : PeerConnection {
    using PeerConnection::PeerConnection;
    std::vector<std::size_t> out;  // the account's calls
};

SoakEndpoint::SoakEndpoint(runtime::Scheduler& scheduler, SoakAccount& account, double begun, std::string uid,
                           int destination, std::uint64_t seed)
    : scheduler_(scheduler),
      account_(account),
      begun_(begun),
      uid_(std::move(uid)),
      destination_(destination),
      random_(seed),
      waker_(scheduler) {
    listener_ = listen_anywhere(scheduler_, waker_, port_);
    scheduler_.spawn(
        accept_each(scheduler_, listener_, waker_, [this](runtime::Descriptor fd) { take(std::move(fd)); }));
}

void SoakEndpoint::trouble(Trouble trouble, double until) {
    trouble_ = trouble;
    troubled_until_ = until;
}

Trouble SoakEndpoint::trouble_now() const {
    return runtime::steady_now() < troubled_until_ ? trouble_ : Trouble::none;
}

double SoakEndpoint::drawn(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(random_);
}

void SoakEndpoint::take(runtime::Descriptor fd) {
    if (trouble_now() == Trouble::shuts) return;
    scheduler_.spawn(serve(std::make_shared<Connection>(scheduler_, std::move(fd))));
}

runtime::Task<void> SoakEndpoint::serve(std::shared_ptr<Connection> connection) {
    auto& c = *connection;
    char part[16384];
    bool open = true;
    while (open) {
        const auto got = c.socket.read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await c.waker.wait();
            continue;
        }
        if (got.io != runtime::Io::done) co_return;
        for (std::string_view rest(part, got.count); open && !rest.empty();) {
            rest.remove_prefix(c.parser.feed(rest));
            if (c.parser.fault() != http::Fault::none) {
                account_.broke("an endpoint was sent what is no request", now());
                co_return;
            }
            if (!c.parser.complete()) break;
            const auto request = c.parser.take();
            open = co_await answer(connection, request);
        }
    }
}

// Whether the connection is still there after so long; its end ends the calls that are out on it.
runtime::Task<bool> SoakEndpoint::stays_for(Connection& c, double ms) {
    const double until = runtime::steady_now() + ms;
    while (runtime::steady_now() < until) {
        if (c.socket.news_of_end()) co_return false;
        co_await c.waker.wait(until);
    }
    co_return !c.socket.news_of_end();
}

// Half of the copies come within a tenth of the time.
runtime::Task<void> SoakEndpoint::write_again(std::shared_ptr<Connection> connection, std::string answer) {
    const double most = random_() % 2 == 0 ? most_copy_ms : most_copy_ms / 10;
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + drawn(1, most));
    connection->socket.write(answer);
}

runtime::Task<bool> SoakEndpoint::answer(std::shared_ptr<Connection> connection,
                                         const http::Message& request) {
    auto& c = *connection;
    using End = SoakAccount::CallEnd;
    const auto trouble = trouble_now();
    const auto ids = ids_of(request);
    c.out.clear();
    for (const auto& id : ids) c.out.push_back(account_.called(id, uid_, now()));
    const auto end_all = [&](End how, double wait_ms) {
        for (const auto call : c.out) account_.call_ended(call, how, wait_ms, now());
    };
    double delay = trouble == Trouble::slow ? drawn(usual_ms, slow_ms) : drawn(least_ms, usual_ms);
    if (trouble == Trouble::hangs) delay = 1e9;
    const bool stays = co_await stays_for(c, delay);
    if (!stays || trouble == Trouble::resets) {
        end_all(End::broken, 0);
        co_return false;
    }
    http::HeaderList headers;
    double wait = 0;
    int status = 200;
    auto how = End::delivered;
    std::string body;
    if (trouble == Trouble::refuses || trouble == Trouble::waits) how = End::refused;
    if (trouble == Trouble::doubles && random_() % 2 == 0) how = End::refused;
    if (how == End::refused) status = 503;
    if (trouble == Trouble::fails) status = 500, how = End::failed;
    if (trouble == Trouble::waits) {
        status = 429;
        wait = std::floor(drawn(least_wait_ms, most_wait_ms));
        headers.emplace_back("X-RateLimit-Wait-Ms", std::to_string(static_cast<long>(wait)));
    }
    if (status == 200 && request.target == "/inbox/bulk")
        for (const auto& id : ids) body += id + " done\r\n";
    auto text = http::write_response(status, headers, body);
    if (trouble == Trouble::spoils)
        text = "HTTP/1.1 2x0 \x01\r\nContent-Length: many\r\n\r\n", how = End::broken;
    const bool written = c.socket.write(text).count == text.size();
    end_all(written ? how : End::broken, written ? wait : 0);
    if (written && trouble == Trouble::doubles) scheduler_.spawn(write_again(connection, text));
    co_return written&& trouble != Trouble::spoils;
}

}  // namespace brasslift::lab
