#include "flood.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <list>
#include <queue>
#include <set>

#include "http/parser.hpp"
#include "runtime/descriptor.hpp"

namespace brasslift::test {
namespace {

using runtime::Descriptor;

double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct Due {
    double at = 0;
    std::size_t tenant = 0;
    int number = 0;  // of the message, the same when it comes again
    int tries = 0;
    bool operator<(const Due& o) const { return at > o.at; }
};

struct Connection {
    explicit Connection(Descriptor d, http::Parser::Side side) : fd(std::move(d)), parser(side) {}
    Descriptor fd;
    http::Parser parser;
    bool busy = false, ended = false;
    Due message;
    std::string id;
};

void put(int fd, const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
        const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0) return;
        done += static_cast<std::size_t>(n);
    }
}

class Load {
public:
    Load(std::uint16_t port, int listener, const std::vector<Tenant>& tenants)
        : port_(port), listener_(listener), tenants_(tenants) {
        for (std::size_t t = 0; t < tenants.size(); ++t)
            for (int i = 0; i * 1000 / tenants[t].per_second < tenants[t].ms; ++i)
                due_.push({i * 1000 / tenants[t].per_second, t, i, 0});
    }

    Flood run(const std::function<void(double)>& at) {
        constexpr double most_ms = 20000, settle_ms = 500;
        const double start = now_ms();
        double quiet_since = 0;
        for (;;) {
            const double now = now_ms() - start;
            at(now);
            while (!due_.empty() && due_.top().at <= now && hand_in(due_.top())) due_.pop();
            listen(now);
            const bool idle = due_.empty() && std::none_of(clients_.begin(), clients_.end(),
                                                           [](const auto& c) { return c.busy; });
            if (!idle) quiet_since = now;
            if (now > most_ms || (idle && now > quiet_since + settle_ms)) break;
        }
        for (const auto& id : taken_) flood_.delivered += seen_.count(id) != 0 ? 1 : 0;
        flood_.taken = static_cast<int>(taken_.size());
        return flood_;
    }

private:
    bool hand_in(const Due& message) {
        constexpr std::size_t most_clients = 100;
        auto free = std::find_if(clients_.begin(), clients_.end(), [](const auto& c) { return !c.busy; });
        if (free == clients_.end()) {
            if (clients_.size() >= most_clients) return false;
            Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            sockaddr_in to{};
            to.sin_family = AF_INET;
            to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            to.sin_port = htons(port_);
            if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return false;
            clients_.emplace_back(std::move(fd), http::Parser::Side::response);
            free = std::prev(clients_.end());
        }
        const auto& tenant = tenants_[message.tenant].name;
        const auto body = tenant + " message " + std::to_string(message.number);
        free->busy = true;
        free->message = message;
        free->id = tenant + '-' + std::to_string(message.number) + '-' + std::to_string(message.tries);
        auto& tally = flood_.tenants[tenant];
        (message.tries == 0 ? tally.offered : tally.returned) += 1;
        put(free->fd.get(), "POST /safe HTTP/1.1\r\nReq-Id: " + free->id + "\r\nReq-Owner: " + tenant +
                                "\r\nReq-Deadline: 8000m\r\nX-Addressing: dest=1\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body);
        return true;
    }

    void listen(double now) {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        std::vector<Connection*> owners{nullptr};
        for (auto* const list : {&clients_, &hosts_})
            for (auto& c : *list) {
                polled.push_back({c.fd.get(), POLLIN, 0});
                owners.push_back(&c);
            }
        ::poll(polled.data(), polled.size(), 1);
        for (std::size_t i = 1; i < polled.size(); ++i)
            if (polled[i].revents != 0) hear(*owners[i], now);
        if (polled[0].revents != 0)
            hosts_.emplace_back(Descriptor(::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)),
                                http::Parser::Side::request);
        for (auto* const list : {&clients_, &hosts_}) list->remove_if([](const auto& c) { return c.ended; });
    }

    void hear(Connection& c, double now) {
        char part[16384];
        const auto got = ::recv(c.fd.get(), part, sizeof part, MSG_DONTWAIT);
        if (got <= 0) {
            c.ended = true;
            if (c.busy) ++flood_.tenants[tenants_[c.message.tenant].name].failed;
            return;
        }
        std::string_view rest(part, static_cast<std::size_t>(got));
        while (!rest.empty()) {
            rest.remove_prefix(c.parser.feed(rest));
            if (!c.parser.complete()) return;
            const auto message = c.parser.take();
            message.status == 0 ? serve(c, message) : answered(c, message, now);
        }
    }

    // A host: takes each message at once, one or several in a call.
    void serve(Connection& c, const http::Message& request) {
        std::string body;
        const auto got = [&](const std::string& id) {
            if (!seen_.insert(id).second) ++flood_.twice;
        };
        if (request.target != "/inbox/bulk") {
            got(*request.headers.find("Req-Id"));
        } else {
            std::string_view frames = request.body;
            while (!frames.empty()) {
                const auto line = frames.substr(0, frames.find("\r\n"));
                const std::string id(line.substr(0, line.find(' ')));
                const auto size = std::stoul(std::string(line.substr(line.rfind(' ') + 1)));
                frames.remove_prefix(line.size() + 2 + size + 2);
                got(id);
                body += id + " done\r\n";
            }
        }
        put(c.fd.get(),
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void answered(Connection& c, const http::Message& answer, double now) {
        auto& tally = flood_.tenants[tenants_[c.message.tenant].name];
        c.busy = false;
        const auto* const pause = answer.headers.find("Retry-After");
        if (answer.status == 202) {
            (c.message.tries == 0 ? tally.taken_at_once : tally.taken_on_return) += 1;
            taken_.insert(c.id);
        } else if ((answer.status == 429 || answer.status == 503) && pause != nullptr) {
            const double ms = std::stod(*pause) * 1000;
            ++tally.refused;
            tally.longest_pause_ms = std::max(tally.longest_pause_ms, ms);
            due_.push({now + ms, c.message.tenant, c.message.number, c.message.tries + 1});
        } else {
            ++tally.failed;
        }
        if (!answer.keeps_alive()) c.ended = true;
    }

    std::uint16_t port_;
    int listener_;
    std::vector<Tenant> tenants_;
    std::priority_queue<Due> due_;
    std::list<Connection> clients_, hosts_;
    std::set<std::string> taken_, seen_;
    Flood flood_;
};

}  // namespace

Flood flood(std::uint16_t port, int host_listener, const std::vector<Tenant>& tenants,
            const std::function<void(double)>& at) {
    return Load(port, host_listener, tenants).run(at);
}

}  // namespace brasslift::test
