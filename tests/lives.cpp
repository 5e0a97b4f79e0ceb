#include "lives.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

#include "http/parser.hpp"
#include "runtime/descriptor.hpp"
#include "site.hpp"

namespace brasslift::test {
namespace {

namespace fs = std::filesystem;
using runtime::Descriptor;

double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

Descriptor listener(std::uint16_t& port) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    auto at = loopback(0);
    socklen_t size = sizeof at;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd.get(), 512) != 0)
        throw std::runtime_error("a peer cannot listen");
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

std::string local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

enum class Role { client, host, discovery };

struct Connection {
    Connection(Descriptor d, Role r)
        : fd(std::move(d)),
          role(r),
          parser(r == Role::client ? http::Parser::Side::response : http::Parser::Side::request,
                 {16 << 10, 1 << 20}) {}
    Descriptor fd;
    Role role;
    http::Parser parser;
    std::string id;     // of the message that a client waits for
    std::string later;  // a host's answer that is still to be written
    double later_at = 0;
    std::vector<std::size_t> calls;  // that it answers
    bool ended = false;
};

class World {
public:
    World(std::string path, const LivesPlan& plan) : path_(std::move(path)), plan_(plan), random_(plan.seed) {
        folder_ = (fs::temp_directory_path() / "brasslift-lives-XXXXXX").string();
        if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder");
        fs::create_directory(folder_ + "/state");
        Site site;
        for (int i = 0; i < plan.hosts; ++i) {
            std::uint16_t port = 0;
            listeners_.push_back({listener(port), Role::host});
            site.hosts.push_back(
                {"s-" + std::to_string(i), local(port), 1 + static_cast<DestinationId>(i) % 2});
        }
        std::uint16_t discovery = 0;
        listeners_.push_back({listener(discovery), Role::discovery});
        listener(port_);
        site.discovery = local(discovery);
        discovery_ = site.discovery;
        site.workers = 64;
        site.send_cap = 64;
        site.most_held = 2000;
        site.sockets = 1024;
        site.disk_mb = plan.disk_mb;
        std::ofstream(folder_ + "/config.json") << site_config(site);
        std::string operators = "bounds { head: \"16KiB\" }\n";
        if (plan.trouble) operators += "limit { name: \"each\" by: TENANT held: 150 }\n";
        if (!plan.telemetry.empty()) {
            collector_ = std::make_unique<standins::Collector>();
            if (!plan.collector.empty()) collector_->behave(standins::behaviour_of(plan.collector));
            auto text = plan.telemetry;
            text.replace(text.find("@k"), 2, collector_->address());
            operators += text;
        }
        operators += plan.operators;
        std::ofstream(folder_ + "/operator.textproto") << operators;
    }
    ~World() {
        if (child_ > 0) ::kill(child_, SIGKILL), ::waitpid(child_, nullptr, 0);
        std::error_code error;
        fs::remove_all(folder_, error);
    }

    LivesAccount run() {
        start();
        const double begun = now_ms();
        constexpr double settle_ms = 20000;
        int next = 0;
        bool restarted = plan_.restart_after == 0;
        double offset = 0;  // that the restart took
        int kills = 0;
        double next_kill = plan_.kills > 0 ? begun + chance(plan_.kill_ms) : 0;
        for (;;) {
            const double now = now_ms();
            while (next < plan_.messages && begun + offset + next * 1000 / plan_.per_second <= now) {
                hand_in(next, begun + offset + next * 1000 / plan_.per_second);
                ++next;
                if (!restarted && next == plan_.restart_after) {
                    restarted = true;
                    const double from = now_ms();
                    restart();
                    offset += now_ms() - from;
                }
            }
            turn();
            if (kills < plan_.kills && now_ms() >= next_kill) {
                ++kills;
                kill_and_start();
                next_kill = now_ms() + chance(plan_.kill_ms);
            }
            if (next == plan_.messages && kills == plan_.kills &&
                (over() || now_ms() > begun + offset + next * 1000 / plan_.per_second + settle_ms))
                break;
        }
        account_.resident_kb = resident();
        stop();
        if (collector_) account_.kept = collector_->kept();
        return std::move(account_);
    }

private:
    struct Listening {
        Descriptor fd;
        Role role;
    };

    void start() {
        child_ = ::fork();
        if (child_ == 0) {
            ::setenv("PROXY_NAME", "n1", 1);
            ::setenv("PROXY_LISTEN", local(port_).c_str(), 1);
            ::setenv("PROXY_DISCOVERY", discovery_.c_str(), 1);
            ::setenv("PROXY_STATE", (folder_ + "/state").c_str(), 1);
            ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
            const int nowhere = ::open("/dev/null", O_WRONLY);
            ::dup2(nowhere, 2);
            ::execl(path_.c_str(), path_.c_str(), "serve", "--operator",
                    (folder_ + "/operator.textproto").c_str(), nullptr);
            ::_exit(127);
        }
        const auto at = loopback(port_);
        for (const double until = now_ms() + 10000; now_ms() < until; turn()) {
            Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return;
        }
        throw std::runtime_error("the program does not listen");
    }

    long resident() const {
        std::ifstream in("/proc/" + std::to_string(child_) + "/status");
        for (std::string line; std::getline(in, line);)
            if (line.starts_with("VmRSS:")) return std::stol(line.substr(6));
        return 0;
    }

    void note_cpu() {
        std::ifstream in("/proc/" + std::to_string(child_) + "/schedstat");
        double nanoseconds = 0;
        in >> nanoseconds;
        account_.cpu_ms += nanoseconds / 1e6;
    }

    void stop() {
        note_cpu();
        // Clients with nothing under way leave, or the program would wait for them.
        connections_.remove_if([](const auto& c) { return c.role == Role::client && c.id.empty(); });
        ::kill(child_, SIGTERM);
        int status = 0;
        // Its peers go on meanwhile.
        while (::waitpid(child_, &status, WNOHANG) == 0) turn();
        child_ = 0;
        if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) throw std::runtime_error("the program failed");
    }

    void restart() {
        stop();
        start();
    }

    double chance(double most) { return most * static_cast<double>(random_() % 10000) / 10000; }

    void kill_and_start() {
        note_cpu();
        account_.kills.push_back(now_ms());
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
        start();
    }

    bool over() const {
        return std::none_of(connections_.begin(), connections_.end(),
                            [](const auto& c) { return !c.id.empty(); }) &&
               open_.empty();
    }

    void hand_in(int number, double due) {
        static const char* const classes[] = {"safe", "keyed", "payment"};
        static const char* const tenants[] = {"acme", "bolt", "coop"};
        const auto id = "m" + std::to_string(number);
        account_.handed[id].at = due;
        auto free = std::find_if(connections_.begin(), connections_.end(), [](const auto& c) {
            return c.role == Role::client && c.id.empty() && !c.ended;
        });
        if (free == connections_.end()) {
            Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            const auto at = loopback(port_);
            if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return;
            connections_.emplace_back(std::move(fd), Role::client);
            free = std::prev(connections_.end());
        }
        free->id = id;
        const std::string body = "message " + std::to_string(number);
        char parent[80];
        std::snprintf(parent, sizeof parent, "traceparent: 00-%016llx%016llx-00000000000000ff-01\r\n",
                      static_cast<unsigned long long>(plan_.seed) + 1,
                      static_cast<unsigned long long>(number) + 1);
        put(*free, std::string("POST /") + classes[number % 3] + " HTTP/1.1\r\nReq-Id: " + id +
                       "\r\nReq-Owner: " + tenants[number / 3 % 3] +
                       "\r\nReq-Deadline: 8000m\r\nIdempotency-Key: k" + id + "\r\n" + parent +
                       "X-Addressing: dest=" + std::to_string(1 + number % 2) +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    static void put(Connection& c, const std::string& text) {
        for (std::size_t done = 0; done < text.size();) {
            const auto n = ::send(c.fd.get(), text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0) return;
            done += static_cast<std::size_t>(n);
        }
    }

    void turn() {
        std::vector<pollfd> polled;
        for (const auto& l : listeners_) polled.push_back({l.fd.get(), POLLIN, 0});
        std::vector<Connection*> owners;
        for (auto& c : connections_) {
            polled.push_back({c.fd.get(), POLLIN, 0});
            owners.push_back(&c);
        }
        ::poll(polled.data(), polled.size(), 1);
        for (std::size_t i = 0; i < owners.size(); ++i)
            if (polled[listeners_.size() + i].revents != 0) hear(*owners[i]);
        for (std::size_t i = 0; i < listeners_.size(); ++i)
            if (polled[i].revents != 0)
                if (const int fd = ::accept4(listeners_[i].fd.get(), nullptr, nullptr, SOCK_CLOEXEC); fd >= 0)
                    connections_.emplace_back(Descriptor(fd), listeners_[i].role);
        connections_.remove_if([](const auto& c) { return c.ended; });
        if (plan_.answer_ms > 0) answer_late();
    }

    void hear(Connection& c) {
        char part[65536];
        const auto got = ::recv(c.fd.get(), part, sizeof part, MSG_DONTWAIT);
        if (got < 0 && errno == EAGAIN) return;
        if (got <= 0) {
            c.ended = true;
            c.id.clear();
            return;
        }
        std::string_view rest(part, static_cast<std::size_t>(got));
        while (!rest.empty() && !c.ended) {
            rest.remove_prefix(c.parser.feed(rest));
            if (!c.parser.complete()) return;
            const auto message = c.parser.take();
            if (c.role == Role::client)
                answered(c, message);
            else if (c.role == Role::host)
                serve(c, message);
            else
                take_notices(c, message);
        }
    }

    void answered(Connection& c, const http::Message& answer) {
        account_.handed[c.id].status = answer.status;
        // A host may have been faster than this answer was read.
        if (answer.status == 202 && ended_.count(c.id) == 0) open_.insert(c.id);
        c.id.clear();
        c.ended = !answer.keeps_alive();
    }

    void over_with(const std::string& id) {
        ended_.insert(id);
        open_.erase(id);
    }

    void serve(Connection& c, const http::Message& request) {
        std::vector<std::string> ids;
        LivesAccount::Call call;
        if (request.target == "/inbox/bulk") {
            for (std::string_view frames = request.body; !frames.empty();) {
                const auto line = frames.substr(0, frames.find("\r\n"));
                ids.emplace_back(line.substr(0, line.find(' ')));
                frames.remove_prefix(line.size() + 4 +
                                     std::stoul(std::string(line.substr(line.rfind(' ') + 1))));
            }
        } else {
            ids.push_back(*request.headers.find("Req-Id"));
            if (const auto* const parent = request.headers.find("traceparent"); parent != nullptr) {
                call.trace = parent->substr(3, 32);
                call.span = parent->substr(36, 16);
            }
        }
        const auto roll = plan_.trouble ? random_() % 100 : 100;
        call.status = roll < 3 ? 500 : roll < 5 ? 503 : roll < 6 ? 429 : roll < 7 ? 0 : 200;
        std::string body;
        for (const auto& id : ids) {
            if (first_.insert(id).second) account_.delivery_ms.push_back(now_ms() - account_.handed[id].at);
            call.id = id;
            call.at = now_ms();
            account_.calls.push_back(call);
            body += id + " done\r\n";
        }
        const auto first = account_.calls.size() - ids.size();
        if (plan_.answer_ms > 0 && call.status != 0) {
            if (ids.size() == 1 && request.target != "/inbox/bulk") body.clear();
            if (call.status != 200) body.clear();
            c.later = answer_of(call.status, body);
            c.later_at = now_ms() + chance(plan_.answer_ms);
            c.calls.clear();
            for (auto i = first; i < account_.calls.size(); ++i) c.calls.push_back(i);
            return;
        }
        for (auto i = first; i < account_.calls.size(); ++i) answered_call(i);
        if (call.status == 0) {
            c.ended = true;
            return;
        }
        if (ids.size() == 1 && request.target != "/inbox/bulk") body.clear();
        if (call.status != 200) body.clear();
        put(c, answer_of(call.status, body));
    }

    static std::string answer_of(int status, const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
               (status == 429 ? "X-RateLimit-Wait-Ms: 30\r\n" : "") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void answered_call(std::size_t index) {
        auto& call = account_.calls[index];
        call.answered = now_ms();
        if (call.status == 200) over_with(call.id);
    }

    // Answers whose time has come; the call has run whoever still listens.
    void answer_late() {
        for (auto& c : connections_) {
            if (c.later.empty() || c.later_at > now_ms()) continue;
            put(c, std::exchange(c.later, {}));
            for (const auto index : c.calls) answered_call(index);
        }
    }

    void take_notices(Connection& c, const http::Message& request) {
        if (request.target != "/v1/outcomes") return;
        std::string_view rest = request.body;
        while (!rest.empty()) {
            const auto line = rest.substr(0, rest.find('\n'));
            const auto from = line.find("\"id\":\"") + 6;
            const std::string id(line.substr(from, line.find('"', from) - from));
            account_.notices[id] =
                line.find("undeliverable") != std::string_view::npos ? "undeliverable" : "deferred";
            account_.told[id].insert(account_.notices[id]);
            over_with(id);
            rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        }
        put(c, "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n");
    }

    std::string path_;
    LivesPlan plan_;
    std::mt19937_64 random_;
    std::string folder_, discovery_;
    std::uint16_t port_ = 0;
    std::vector<Listening> listeners_;
    std::list<Connection> connections_;
    std::unique_ptr<standins::Collector> collector_;
    std::set<std::string> open_, ended_, first_;
    LivesAccount account_;
    pid_t child_ = 0;
};

}  // namespace

LivesAccount live(const std::string& path, const LivesPlan& plan) { return World(path, plan).run(); }

std::vector<std::string> broken_rules(const LivesAccount& account) {
    std::vector<std::string> found;
    std::map<std::string, std::vector<const LivesAccount::Call*>> calls;
    for (const auto& call : account.calls) calls[call.id].push_back(&call);
    // A kill cuts an answer that its process had no time to read.
    constexpr double reading_ms = 100;
    const auto cut = [&](const LivesAccount::Call& call) {
        const auto at = std::lower_bound(account.kills.begin(), account.kills.end(), call.at);
        return at != account.kills.end() && (call.answered == 0 || *at <= call.answered + reading_ms);
    };
    for (const auto& [id, handed] : account.handed) {
        const bool payment = std::stoi(id.substr(1)) % 3 == 2;
        bool delivered = false, may_have_run = false, cleanly = false;
        for (const auto* const call : calls[id]) {
            if (payment && may_have_run)
                found.push_back(id + ": a payment was sent again after it may have run");
            const bool refused = call->status == 429 || call->status == 503;
            may_have_run = may_have_run || !refused || call->answered == 0;
            delivered = delivered || (call->status == 200 && call->answered > 0);
            cleanly = cleanly || (call->status == 200 && call->answered > 0 && !cut(*call));
        }
        const auto told = account.told.find(id);
        if (handed.status == 202 && !delivered && told == account.told.end())
            found.push_back(id + ": taken on and never ended");
        if (told != account.told.end() && told->second.size() > 1)
            found.push_back(id + ": two different notices");
        if (told != account.told.end() && cleanly) found.push_back(id + ": delivered, and a notice as well");
    }
    return found;
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size() - 1)))];
}

std::vector<std::string> differences(const LivesAccount& account) {
    std::vector<std::string> found;
    const auto say = [&](std::string what) { found.push_back(std::move(what)); };
    std::map<std::string, const standins::Span*> by_id, roots, refusals;
    std::map<std::string, std::vector<const standins::Span*>> attempts;  // by message
    const auto& spans = account.kept.spans;
    const auto name = [](const standins::Span& s) {
        const auto found_at = s.attributes.find("messaging.message.id");
        return found_at == s.attributes.end() ? std::string() : found_at->second;
    };
    for (const auto& s : spans) {
        if (!by_id.emplace(s.trace + s.id, &s).second) say(s.name + " " + s.id + " came twice");
        if (s.name == "deliver" && !roots.emplace(name(s), &s).second) say(name(s) + " has two lives");
        if (s.name == "refuse" && !refusals.emplace(name(s), &s).second) say(name(s) + " was refused twice");
        if (s.start > s.end) say(s.name + " ends before it begins");
    }
    for (const auto& s : spans) {
        if (s.name == "deliver" || s.name == "refuse") continue;
        const auto parent = by_id.find(s.trace + s.parent);
        if (parent == by_id.end() || parent->second->name != "deliver") {
            say(s.name + " " + s.id + " has no parent");
            continue;
        }
        if (s.name == "attempt") attempts[name(*parent->second)].push_back(&s);
    }
    for (const auto& [id, handed] : account.handed) {
        const auto root = roots.find(id);
        if (handed.status == 202 && root == roots.end()) say(id + " was taken on and has no span");
        if (handed.status == 429 && refusals.count(id) == 0) say(id + " was refused and has no span");
        if (handed.status == 429 && root != roots.end()) say(id + " was refused and has a life");
    }
    std::map<std::string, std::vector<const LivesAccount::Call*>> calls;
    for (const auto& call : account.calls) calls[call.id].push_back(&call);
    for (const auto& [id, root] : roots) {
        const auto outcome = root->attributes.at("brasslift.outcome");
        const auto notice = account.notices.find(id);
        const auto delivered =
            std::any_of(calls[id].begin(), calls[id].end(), [](const auto* c) { return c->status == 200; });
        if (outcome == "delivered" ? !delivered || notice != account.notices.end()
                                   : notice == account.notices.end() || notice->second != outcome)
            say(id + " ended " + outcome + ", and its peers know otherwise");
        const auto& told = attempts[id];
        if (std::to_string(told.size()) != root->attributes.at("brasslift.attempts"))
            say(id + " tells of " + root->attributes.at("brasslift.attempts") + " attempts and has " +
                std::to_string(told.size()));
        // Calls that reached a host, one for one; others have no status and no host that knows them.
        std::map<std::string, int> statuses, at_hosts;
        for (const auto* const a : told) {
            const auto status = a->attributes.find("http.response.status_code");
            const auto progress = a->attributes.find("brasslift.progress");
            const auto result = a->attributes.at("brasslift.result");
            if (status != a->attributes.end())
                ++statuses[status->second];
            else if (result == "interrupted" ||
                     (progress != a->attributes.end() && progress->second == "fully_written"))
                ++statuses["0"];
        }
        for (const auto* const c : calls[id]) {
            ++at_hosts[std::to_string(c->status)];
            if (c->span.empty()) continue;
            const auto span = by_id.find(c->trace + c->span);
            if (span == by_id.end())
                say(id + ": the host was told of a span that is not there");
            else if (span->second->name != "attempt")
                say(id + ": the host was told of another span");
        }
        if (statuses != at_hosts) {
            std::string text = id + ": spans say";
            for (const auto& [status, n] : statuses) text += ' ' + status + 'x' + std::to_string(n);
            text += ", hosts say";
            for (const auto& [status, n] : at_hosts) text += ' ' + status + 'x' + std::to_string(n);
            say(text);
        }
    }
    for (const auto& [id, list] : calls)
        if (roots.count(id) == 0) say(id + " was at a host and has no life");
    return found;
}

}  // namespace brasslift::test
