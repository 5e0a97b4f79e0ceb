#include "lab/soak.hpp"

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "http/writer.hpp"
#include "lab/site.hpp"
#include "lab/soak_one.hpp"

namespace brasslift::lab {
namespace {

namespace fs = std::filesystem;

constexpr int endpoints_each = 2;                          // of a destination, at the start
constexpr int crowded = 2;                                 // dispatchers with a crowd
constexpr double most_copy_ms = 200;                       // from an answer to its second copy
constexpr double least_late_ms = 300, most_late_ms = 900;  // of answers to notices
constexpr double ready_ms = 10000, exit_ms = 3700, exit_slack_ms = 500;
constexpr double restart_ms = 600;      // from a kill to the next start
constexpr std::size_t log_tail = 4000;  // bytes shown of a process that ended by itself

std::string tail_of(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    auto all = text.str();
    return all.size() <= log_tail ? all : all.substr(all.size() - log_tail);
}

}  // namespace

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
        for (const auto& [id, status] : notices) account_.notice_came(id, status, now());
        reply.status = 204;
        if (runtime::steady_now() < one.notices_late_until)
            reply.after_ms = between(least_late_ms, most_late_ms);
        if (runtime::steady_now() < one.notices_doubled_until)
            reply.again_after_ms = between(1, most_copy_ms);
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
            one->killed_life = one->life;
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
    if (random_() % 2 == 0) one.process.signal(SIGHUP);
    one.killed_life = one.life;
    one.process.kill();
    co_await runtime::sleep_until(scheduler_, scheduler_.now() + restart_ms);
    start(one);
}

// Signals come in series, also such that change nothing any more. Half of the processes are killed as early
// as may be.
runtime::Task<void> Soak::term_and_start(One& one) {
    one.restarting = true;
    one.refuses_after = runtime::steady_now();
    const double signalled = runtime::steady_now();
    const bool killed_early = random_() % 2 == 0;
    const double until = signalled + exit_ms + (killed_early ? 0 : exit_slack_ms);
    account_.note(one.name + " gets SIGTERM", now());
    account_.restarts(one.name, now());
    if (random_() % 2 == 0) one.process.signal(SIGHUP);
    one.process.signal(SIGTERM);
    if (random_() % 2 == 0)
        scheduler_.spawn(after(between(0, 3000), [&one, life = one.life] {
            if (one.life == life && one.process.running()) one.process.signal(SIGTERM);
        }));
    while (one.process.running() && runtime::steady_now() < until) {
        one.expected = false;
        co_await runtime::sleep_until(scheduler_, std::min(until, scheduler_.now() + 5));
    }
    one.ready = false;
    if (one.process.running()) {
        if (!killed_early) report_log_of(one, "did not end within 3.7 s of SIGTERM");
        if (killed_early) ++end_.killed_at_the_limit;
        one.killed_life = one.life;
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
    for (auto& one : all_) {
        scheduler_.spawn(client(*one));
        scheduler_.spawn(resting_client(*one));
    }
    for (int i = 0; plan_.crowd && i < crowded; ++i) scheduler_.spawn(crowd_of(any()));
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
    while (runtime::steady_now() < settled && (account_.open() > 0 || handing_in_ > 0 || restarting()))
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
