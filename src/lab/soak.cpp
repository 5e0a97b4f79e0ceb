#include "lab/soak.hpp"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <new>
#include <sstream>
#include <stdexcept>

#include "http/writer.hpp"
#include "lab/site.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

constexpr int endpoints_each = 2;     // of a destination, at the start
constexpr double patience_ms = 2000;  // of a client; generous, since the rig shares the machine
constexpr double ready_ms = 10000, exit_ms = 3700, exit_slack_ms = 500;
constexpr double restart_ms = 600;         // from a kill to the next start
constexpr double new_after_term_ms = 300;  // new connections keep coming for so long
constexpr double gone_ms = 3000;           // from a drain to the endpoint's end in the list
constexpr int keys_each = 4;               // of each dispatcher's clients
constexpr std::size_t log_tail = 4000;     // bytes shown of a process that ended by itself

// A board in a file, mapped; all zero.
struct MappedBoard {
    explicit MappedBoard(const std::string& path) {
        const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd < 0 || ::ftruncate(fd, sizeof(FaultBoard)) != 0) throw std::runtime_error("no fault board");
        at = ::mmap(nullptr, sizeof(FaultBoard), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        if (at == MAP_FAILED) throw std::runtime_error("the fault board cannot be mapped");
        board = new (at) FaultBoard;
    }
    ~MappedBoard() { ::munmap(at, sizeof(FaultBoard)); }
    MappedBoard(const MappedBoard&) = delete;
    MappedBoard& operator=(const MappedBoard&) = delete;
    void* at = nullptr;
    FaultBoard* board = nullptr;
};

std::string tail_of(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    auto all = text.str();
    return all.size() <= log_tail ? all : all.substr(all.size() - log_tail);
}

}  // namespace

struct Soak::One {
    One(runtime::Scheduler& scheduler, const std::string& board_path) : board(board_path), waker(scheduler) {}
    std::string name, folder;
    std::uint16_t port = 0, admin = 0;
    Process process;
    MappedBoard board;
    std::unique_ptr<Party> agents[2];
    int agent = 0;            // that its config names
    double silent_until = 0;  // discovery says nothing
    double started_at = 0, refuses_after = 0;
    bool expected = false;  // to be running
    bool ready = false, restarting = false, stopped = false;
    int life = 0;
    runtime::Waker waker;
};

Soak::Soak(const SoakPlan& plan) : plan_(plan), random_(plan.seed), account_(plan.terms) {
    folder_ = (fs::temp_directory_path() / "brasslift-soak-XXXXXX").string();
    if (::mkdtemp(folder_.data()) == nullptr) throw std::runtime_error("no folder for the soak");
    begun_ = runtime::steady_now();
    for (int i = 0; i < plan_.destinations * endpoints_each; ++i) {
        endpoints_.emplace_back(scheduler_, account_, begun_, "s-" + std::to_string(i),
                                1 + i % plan_.destinations, random_());
        entries_.push_back({1, i, "Ready"});
    }
    for (int i = 0; i < plan_.dispatchers; ++i) {
        const auto name = "n" + std::to_string(i);
        fs::create_directories(folder_ + '/' + name + "/state");
        auto one = std::make_unique<One>(scheduler_, folder_ + '/' + name + "/board");
        one->name = name;
        one->folder = folder_ + '/' + name;
        one->port = free_port(own_host());
        one->admin = free_port(own_host());
        for (auto& agent : one->agents)
            agent = std::make_unique<Party>(
                scheduler_, [this, at = one.get()](const auto& request) { return discovery(*at, request); });
        all_.push_back(std::move(one));
    }
}

Soak::~Soak() {
    for (auto& one : all_) {
        one->process.signal(SIGCONT);
        one->process.kill();
    }
    scheduler_.drop_tasks();
    std::error_code error;
    if (!plan_.keep_folder) fs::remove_all(folder_, error);
}

double Soak::between(double low, double high) { return std::uniform_real_distribution<>(low, high)(random_); }

Soak::One& Soak::any() { return *all_[random_() % all_.size()]; }

void Soak::write_config(One& one) {
    Site site;
    site.name = one.name;
    site.discovery = local_text(one.agents[one.agent]->port());
    for (const auto& entry : entries_)
        if (entry.rev == 1) {
            const auto& endpoint = endpoints_[static_cast<std::size_t>(entry.endpoint)];
            site.hosts.push_back(
                {endpoint.uid(), endpoint.address(), static_cast<DestinationId>(endpoint.destination())});
        }
    site.workers = 16;
    site.send_cap = 12;
    site.most_held = 400;
    site.sockets = 256;
    site.instances = plan_.dispatchers;
    site.has_ordered = true;
    site.repeat_window_ms = plan_.terms.window_ms;
    // Whole or not at all, as a careful operator does.
    std::ofstream(one.folder + "/config.new") << site_config(site);
    fs::rename(one.folder + "/config.new", one.folder + "/config.json");
}

void Soak::start(One& one) {
    std::map<std::string, std::string> environment = {{"PROXY_NAME", one.name},
                                                      {"PROXY_LISTEN", local_text(one.port)},
                                                      {"PROXY_STATE", one.folder + "/state"},
                                                      {"PROXY_CONFIG", one.folder + "/config.json"},
                                                      {"PROXY_ADMIN", local_text(one.admin)},
                                                      {"PROXY_EVENTS", one.folder + "/events"},
                                                      {"TMPDIR", one.folder}};
    if (!plan_.shim.empty()) {
        const char* const asan = ::getenv("ASAN_OPTIONS");
        environment["LD_PRELOAD"] = plan_.shim;
        environment["ASAN_OPTIONS"] = std::string(asan == nullptr ? "" : asan) + ":verify_asan_link_order=0";
        environment[fault_board_variable] = one.folder + "/board";
    }
    one.process.end_with_parent();
    if (!one.process.start({plan_.program, "serve"}, environment, one.folder + "/log"))
        throw std::runtime_error("no process can be started");
    one.started_at = runtime::steady_now();
    one.refuses_after = runtime::never;
    one.expected = true;
    one.ready = one.restarting = one.stopped = false;
    ++one.life;
    account_.note(one.name + " started", now());
    scheduler_.spawn(await_ready(one));
}

runtime::Task<void> Soak::await_ready(One& one) {
    const int life = one.life;
    bool late = false;
    while (one.life == life && one.expected) {
        auto asking = ask_once(scheduler_, local(one.port),
                               http::write_request("GET", "/up", {{"Host", "soak"}}, ""), 500);
        const auto answer = co_await asking;
        if (one.life != life || !one.expected) co_return;
        if (answer.status == 200) {
            one.ready = true;
            account_.ready(one.name, now());
            co_return;
        }
        if (!late && runtime::steady_now() > one.started_at + ready_ms) {
            late = true;
            report_log_of(one, "not ready within 10 s");
        }
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + 50);
    }
}

void Soak::report_log_of(const One& one, const std::string& rule) {
    account_.broke(one.name + ": " + rule + "\n" + tail_of(one.folder + "/log"), now());
}

runtime::Task<void> Soak::after(double ms, std::function<void()> act) {
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + ms);
    act();
}

// ---- clients ---------------------------------------------------------------------------------------------

runtime::Task<void> Soak::client(One& one) {
    struct Class {
        const char* name;
        SoakRepeat repeat;
        bool ordered;
    };
    static const Class classes[] = {{"safe", SoakRepeat::safe, false},
                                    {"keyed", SoakRepeat::keyed, false},
                                    {"payment", SoakRepeat::never, false},
                                    {"ordered", SoakRepeat::never, true},
                                    {"ordered", SoakRepeat::never, true}};
    for (;;) {
        co_await runtime::sleep_until(scheduler_,
                                      scheduler_.now() + between(0.2, 1.8) * plan_.client_every_ms);
        if (!clients_on_) co_return;
        const bool welcome = runtime::steady_now() < one.refuses_after + new_after_term_ms;
        if (!one.ready || !one.process.running() || !welcome) continue;
        const auto& kind = classes[random_() % std::size(classes)];
        SoakAccount::Message message;
        message.id = "m" + std::to_string(next_message_++);
        message.dispatcher = one.name;
        message.repeat = kind.repeat;
        message.destination = 1 + static_cast<int>(random_() % static_cast<unsigned>(plan_.destinations));
        message.deadline_ms = std::floor(between(0.05, 1) * plan_.deadline_ms);
        std::string target = std::string("/") + kind.name;
        if (kind.ordered) {
            message.key = "k" + std::to_string(random_() % keys_each);
            target += "?key=" + message.key;
        }
        auto request = http::write_request(
            "POST", target,
            {{"Req-Id", message.id},
             {"Req-Owner", "acme"},
             {"Req-Deadline", std::to_string(static_cast<long>(message.deadline_ms)) + "m"},
             {"Idempotency-Key", "i" + message.id},
             {"X-Addressing", "dest=" + std::to_string(message.destination)}},
            "message " + message.id);
        auto handing = hand_in(one, message, std::move(request));
        co_await handing;
    }
}

// On a connection of its own. A client whose process was killed meanwhile, or that had to wait too long,
// knows nothing of its message; any other end without an answer is a loss.
runtime::Task<void> Soak::hand_in(One& one, SoakAccount::Message message, std::string request) {
    const int life = one.life;
    runtime::Waker waker(scheduler_);
    auto socket = runtime::connect_to(scheduler_, local(one.port), waker);
    if (!socket) co_return;
    const runtime::Time until = scheduler_.now() + patience_ms;
    auto coming = runtime::come_up(scheduler_, *socket, waker, until);
    const auto up = co_await coming;
    if (up != runtime::Io::done || socket->write(request).count != request.size()) co_return;
    const double sent = now();
    account_.submitted(message, sent);
    http::Parser parser(http::Parser::Side::response, {16 << 10, 64 << 10});
    char part[4096];
    while (!parser.complete() && scheduler_.now() < until) {
        const auto got = socket->read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            co_await waker.wait(until);
            continue;
        }
        if (got.io != runtime::Io::done) break;
        parser.feed({part, got.count});
    }
    if (parser.complete()) co_return account_.answered(message.id, parser.message().status, now());
    const bool ended = one.life != life || !one.expected || !one.process.running();
    account_.unanswered(message.id, ended || scheduler_.now() >= until, now());
}

// ---- discovery -------------------------------------------------------------------------------------------

std::string Soak::entry_of(const Entry& entry) const {
    const auto& endpoint = endpoints_[static_cast<std::size_t>(entry.endpoint)];
    return site_entry({endpoint.uid(), endpoint.address(), static_cast<DestinationId>(endpoint.destination()),
                       entry.state});
}

void Soak::list(int endpoint, const std::string& state) {
    entries_.push_back({++rev_, endpoint, state});
    account_.note("the list says " + endpoints_[static_cast<std::size_t>(endpoint)].uid() + ' ' + state,
                  now());
}

Party::Reply Soak::discovery(One& one, const http::Message& request) {
    Party::Reply reply;
    if (request.target == "/v1/outcomes") {
        std::vector<std::pair<std::string, std::string>> notices;
        for (std::string_view rest = request.body; !rest.empty();) {
            const auto line = rest.substr(0, rest.find('\n'));
            const auto from = line.find("\"id\":\"") + 6;
            const bool failed = line.find("undeliverable") != std::string_view::npos;
            notices.emplace_back(line.substr(from, line.find('"', from) - from),
                                 failed ? "undeliverable" : "deferred");
            rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        }
        reply.status = 204;
        reply.told = [this, notices](bool written) {
            if (!written) return;
            for (const auto& [id, status] : notices) account_.notice_answered(id, status, now());
        };
        return reply;
    }
    if (runtime::steady_now() < one.silent_until) {
        reply.status = -1;
        return reply;
    }
    const auto at = request.target.find("index=");
    const auto after = at == std::string::npos ? 0UL : std::strtoul(&request.target[at + 6], nullptr, 10);
    std::string targets;
    std::vector<std::string> leaving;
    for (const auto& entry : entries_) {
        if (entry.rev <= after) continue;
        targets += (targets.empty() ? "" : ",") + entry_of(entry);
        if (entry.state != "Ready")
            leaving.push_back(endpoints_[static_cast<std::size_t>(entry.endpoint)].uid());
    }
    reply.body = "\n";
    if (!targets.empty())
        reply.body = "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (after == 0 ? "true" : "false") +
                     ",\"targets\":[" + targets + "]}\n";
    reply.told = [this, leaving, name = one.name](bool written) {
        if (!written) return;
        for (const auto& uid : leaving) account_.notified_leaving(name, uid, now());
    };
    return reply;
}

// ---- processes -------------------------------------------------------------------------------------------

// Whoever is expected to run and does not has crashed.
runtime::Task<void> Soak::watch_processes() {
    while (!ending_) {
        for (auto& one : all_) {
            if (!one->expected || one->process.running()) continue;
            one->expected = one->ready = false;
            account_.restarts(one->name, now());
            report_log_of(*one, "crashed, exit " + std::to_string(one->process.exit_code()));
            start(*one);
        }
        account_.look(now());
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + 50);
    }
}

runtime::Task<void> Soak::kill_and_start(One& one) {
    one.restarting = true;
    one.expected = one.ready = false;
    account_.restarts(one.name, now());
    account_.note(one.name + " is killed", now());
    one.process.kill();
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + restart_ms);
    start(one);
}

runtime::Task<void> Soak::term_and_start(One& one) {
    one.restarting = true;
    one.refuses_after = runtime::steady_now();
    const double signalled = runtime::steady_now();
    account_.note(one.name + " gets SIGTERM", now());
    account_.restarts(one.name, now());
    one.process.signal(SIGTERM);
    while (one.process.running() && runtime::steady_now() < signalled + exit_ms + exit_slack_ms) {
        one.expected = false;
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + 5);
    }
    one.ready = false;
    if (one.process.running()) {
        report_log_of(one, "did not end within 3.7 s of SIGTERM");
        one.process.kill();
    } else if (one.process.exit_code() != 0) {
        report_log_of(one, "exit " + std::to_string(one.process.exit_code()) + " after SIGTERM");
    }
    account_.note(one.name + " has ended", now());
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + between(20, restart_ms));
    start(one);
}

runtime::Task<void> Soak::stop_for(One& one, double ms) {
    one.stopped = true;
    one.process.signal(SIGSTOP);
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + ms);
    one.process.signal(SIGCONT);
    one.stopped = false;
}

// ---- faults ----------------------------------------------------------------------------------------------

const std::vector<Soak::Kind>& Soak::kinds() {
    static const std::vector<Kind> all = {{"endpoint", 8, &Soak::trouble_an_endpoint},
                                          {"kill", 3, &Soak::kill_one},
                                          {"term", 3, &Soak::term_one},
                                          {"stop", 3, &Soak::stop_one},
                                          {"reload", 2, &Soak::reload_one},
                                          {"drain", 2, &Soak::drain_one},
                                          {"discovery", 2, &Soak::silence_discovery},
                                          {"disk", 3, &Soak::fail_a_disk},
                                          {"connections", 3, &Soak::fail_connections},
                                          {"streams", 3, &Soak::fail_streams},
                                          {"clock", 2, &Soak::step_a_clock},
                                          {"hold", 2, &Soak::hold_one}};
    return all;
}

void Soak::trouble_an_endpoint() {
    auto& endpoint = endpoints_[random_() % endpoints_.size()];
    const auto trouble = static_cast<Trouble>(1 + random_() % (troubles - 1));
    const double ms = between(200, 4000);
    account_.note(endpoint.uid() + ' ' + name_of(trouble) + " for " + std::to_string(static_cast<int>(ms)),
                  now());
    endpoint.trouble(trouble, runtime::steady_now() + ms);
}

void Soak::kill_one() {
    if (auto& one = any(); !one.restarting) scheduler_.spawn(kill_and_start(one));
}

void Soak::term_one() {
    if (auto& one = any(); !one.restarting && one.ready) scheduler_.spawn(term_and_start(one));
}

void Soak::stop_one() {
    if (auto& one = any(); !one.restarting && !one.stopped) scheduler_.spawn(stop_for(one, between(20, 140)));
}

// New configurations in a row, each with the other agent of discovery.
void Soak::reload_one() {
    auto& one = any();
    if (one.restarting || !one.ready) return;
    const int times = 1 + static_cast<int>(random_() % 3);
    for (int i = 0; i < times; ++i) {
        one.agent = 1 - one.agent;
        write_config(one);
        one.process.signal(SIGHUP);
    }
    account_.note(one.name + " reads its configuration again", now());
}

// One endpoint leaves, another one comes in its place.
void Soak::drain_one() {
    const int leaves = static_cast<int>(random_() % endpoints_.size());
    const bool is_ready = std::none_of(entries_.begin(), entries_.end(), [&](const Entry& e) {
        return e.endpoint == leaves && e.state != "Ready";
    });
    if (!is_ready) return;
    const int destination = endpoints_[static_cast<std::size_t>(leaves)].destination();
    const int comes = static_cast<int>(endpoints_.size());
    endpoints_.emplace_back(scheduler_, account_, begun_, "s-" + std::to_string(comes), destination,
                            random_());
    list(comes, "Ready");
    list(leaves, "Terminating");
    scheduler_.spawn(after(gone_ms, [this, leaves] { list(leaves, "Gone"); }));
}

void Soak::silence_discovery() {
    auto& one = any();
    const double ms = between(300, 4000);
    one.silent_until = runtime::steady_now() + ms;
    account_.note("discovery of " + one.name + " is silent for " + std::to_string(static_cast<int>(ms)),
                  now());
}

void Soak::fail_a_disk() {
    auto& one = any();
    auto& board = *one.board.board;
    board.disk.error = random_() % 2 == 0 ? ENOSPC : EIO;
    board.half_write_per_mille = random_() % 2 == 0 ? 300 : 0;
    board.disk.per_mille = random_() % 2 == 0 ? 1000 : 400;
    account_.note("the disk of " + one.name + " fails", now());
    scheduler_.spawn(after(between(100, 2000), [&board] { board.disk.per_mille = 0; }));
}

void Soak::fail_connections() {
    static const int accepts[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, ENETDOWN, EHOSTUNREACH};
    static const int connects[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNABORTED, EINTR, EAGAIN};
    static const int sockets[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
    auto& one = any();
    auto& board = *one.board.board;
    board.accept.error = accepts[random_() % std::size(accepts)];
    board.connect.error = connects[random_() % std::size(connects)];
    board.socket.error = sockets[random_() % std::size(sockets)];
    FaultShare* const shares[] = {&board.accept, &board.connect, &board.socket};
    auto& share = *shares[random_() % std::size(shares)];
    share.per_mille = random_() % 2 == 0 ? 1000 : 300;
    account_.note("connections of " + one.name + " fail", now());
    scheduler_.spawn(after(between(50, 500), [&share] { share.per_mille = 0; }));
}

void Soak::fail_streams() {
    static const int errors[] = {EINTR, ENOBUFS, ENOMEM};
    auto& one = any();
    auto& board = *one.board.board;
    board.stream.error = errors[random_() % std::size(errors)];
    board.stream.per_mille = 200;
    board.short_per_mille = 300;
    account_.note("reads and writes of " + one.name + " are short, or fail in passing", now());
    scheduler_.spawn(
        after(between(200, 1500), [&board] { board.stream.per_mille = board.short_per_mille = 0; }));
}

void Soak::step_a_clock() {
    auto& one = any();
    static const double spans[] = {3000, 60000, 3600000};
    const double span = spans[random_() % std::size(spans)];
    const auto step = static_cast<std::int64_t>(random_() % 2 == 0 ? span : -span);
    one.board.board->wall_step_ms = step;
    account_.note("the wall clock of " + one.name + " is off by " + std::to_string(step), now());
}

void Soak::hold_one() {
    auto& board = *any().board.board;
    board.hold_ms = 150;
    board.hold_per_mille = 30;
    scheduler_.spawn(after(between(300, 1500), [&board] { board.hold_per_mille = 0; }));
}

void Soak::heal() {
    for (auto& endpoint : endpoints_) endpoint.trouble(Trouble::none, 0);
    for (auto& one : all_) {
        auto& board = *one->board.board;
        for (auto* const share : {&board.disk, &board.accept, &board.socket, &board.connect, &board.stream})
            share->per_mille = 0;
        board.short_per_mille = board.hold_per_mille = 0;
        one->silent_until = 0;
    }
    account_.note("all is healed", now());
}

std::uint64_t Soak::violations_of(One& one) {
    const auto into = std::make_shared<http::Message>();
    const auto done = std::make_shared<bool>(false);
    const auto ask = [this, into, done, &one]() -> runtime::Task<void> {
        auto asking = ask_once(scheduler_, local(one.admin),
                               http::write_request("GET", "/metrics", {{"Host", "soak"}}, ""), 1000);
        *into = co_await asking;
        *done = true;
    };
    scheduler_.spawn(ask());
    for (const double until = runtime::steady_now() + 1200; !*done && runtime::steady_now() < until;)
        scheduler_.run_until(runtime::steady_now() + 5);
    static const std::string name = "app.rule_violations:";
    const auto at = into->body.find(name);
    return at == std::string::npos ? 0 : std::strtoull(&into->body[at + name.size()], nullptr, 10);
}

SoakEnd Soak::play() {
    for (auto& one : all_) {
        write_config(*one);
        start(*one);
    }
    scheduler_.spawn(watch_processes());
    const double up = runtime::steady_now() + ready_ms;
    while (runtime::steady_now() < up &&
           std::any_of(all_.begin(), all_.end(), [](const auto& one) { return !one->ready; }))
        scheduler_.run_until(runtime::steady_now() + 20);
    for (auto& one : all_) scheduler_.spawn(client(*one));
    int weights = 0;
    for (const auto& kind : kinds())
        weights += plan_.only.empty() || plan_.only == kind.name ? kind.weight : 0;
    const double healed = runtime::steady_now() + plan_.faults_ms;
    while (runtime::steady_now() < healed) {
        scheduler_.run_until(runtime::steady_now() + between(0.2, 1.8) * plan_.fault_every_ms);
        if (weights == 0) continue;
        int drawn = static_cast<int>(random_() % static_cast<unsigned>(weights));
        for (const auto& kind : kinds()) {
            if (!plan_.only.empty() && plan_.only != kind.name) continue;
            drawn -= kind.weight;
            if (drawn >= 0) continue;
            ++end_.faults[kind.name];
            (this->*kind.act)();
            break;
        }
    }
    heal();
    scheduler_.run_until(runtime::steady_now() + 1000);
    clients_on_ = false;
    const double settled = runtime::steady_now() + plan_.settle_ms;
    const auto restarting = [this] {
        return std::any_of(all_.begin(), all_.end(), [](const auto& one) { return !one->ready; });
    };
    while (runtime::steady_now() < settled && (account_.open() > 0 || restarting()))
        scheduler_.run_until(runtime::steady_now() + 50);
    account_.look(now());
    for (auto& one : all_) {
        const auto violations = violations_of(*one);
        if (violations > 0) report_log_of(*one, std::to_string(violations) + " violations counted by itself");
        end_.violations_counted += violations;
    }
    if (account_.open() > 0)
        account_.broke(std::to_string(account_.open()) + " messages have no end after the faults", now());
    ending_ = true;
    end_.broken = account_.broken();
    end_.figures = account_.figures();
    end_.folder = folder_;
    return end_;
}

}  // namespace brasslift::lab
