// brasslift: the real dispatcher. Puts the parts together; decides nothing.
#include <signal.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <map>
#include <string>

#include "cluster/cluster.hpp"
#include "cluster/notices.hpp"
#include "commands/config_command.hpp"
#include "commands/platform.hpp"
#include "commands/store_command.hpp"
#include "commands/watch.hpp"
#include "config/config.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/ledger.hpp"
#include "downstream/server.hpp"
#include "runtime/log.hpp"
#include "runtime/scheduler.hpp"
#include "store/keeper.hpp"
#include "store/store.hpp"
#include "upstream/pool.hpp"

namespace {

using namespace brasslift;

// After SIGTERM clients still come for a while and the kill is 3.7 s away at the soonest.
constexpr double take_on_ms = 600, last_call_ms = 3300, leave_ms = 3500, poll_ms = 20;
// By then telemetry has had its last try, whatever became of it.
constexpr double untold_ms = 3600;
// The list in the config may be old: discovery's agent, on the same machine, has so long to add to it.
constexpr double fresh_list_ms = 100;
// The folder's limit counts in millions of bytes here; the store stays well under it.
constexpr double disk_share = 0.8;

std::size_t part_of(double whole, double part) { return static_cast<std::size_t>(whole * part); }

downstream::Server::Limits downstream_limits(const config::Config& config, const plan::Bounds& bounds) {
    return {part_of(static_cast<double>(config.sockets), bounds.client_descriptors),
            part_of(config.memory_mb * 1e6, bounds.request_memory),
            {bounds.head, bounds.body},
            bounds.request_ms};
}

std::size_t idle_limit(const config::Config& config, const plan::Bounds& bounds) {
    return part_of(static_cast<double>(config.sockets), bounds.idle_descriptors);
}

plan::Bounds bounds_of(const std::shared_ptr<const plan::Plan>& plan) {
    return plan ? plan->rules().bounds : plan::Bounds{};
}

class Signals {
public:
    Signals(runtime::Scheduler& scheduler, runtime::Waker& waker) {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        signal(SIGPIPE, SIG_IGN);
        signal(SIGXFSZ, SIG_IGN);  // a journal that may not grow is a failed write, not the end
        fd_ = runtime::Descriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
        if (!fd_ || scheduler.watch(fd_.get(), waker) == 0) throw std::runtime_error("signals cannot be had");
    }
    // The next signal that came, 0 if there is none.
    int next() const {
        signalfd_siginfo info;
        return ::read(fd_.get(), &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
    }

private:
    runtime::Descriptor fd_;
};

// What a reload changes while the program runs. The rest of the config shapes the module and the journal, and
// takes effect at the next start. The operators' file holds whole from now on; a fault in either file and
// both stay as they were.
void reload(const config::Config& running, const std::string& operators, dispatch::Dispatcher& dispatcher,
            cluster::Cluster& cluster, cluster::Notices& notices, downstream::Server& server,
            upstream::Pool& pool, commands::Watch& watch) {
    try {
        const auto fresh = config::load_config();
        const Sender usable(fresh.settings, fresh.seed);  // throws where the module could not work with them
        const auto discovery = runtime::parse_address(fresh.discovery);
        if (!discovery) throw config::BadConfig("the address of discovery cannot be read");
        // Judged by what runs: classes and tenants keep their places until the next start.
        auto plan = commands::load_plan(operators, running);
        cluster.move_to(*discovery);
        notices.move_to(*discovery);
        server.limit(downstream_limits(fresh, bounds_of(plan)));
        pool.keep_at_most(idle_limit(fresh, bounds_of(plan)));
        if (!operators.empty()) watch.follow(&plan->rules());
        if (plan) dispatcher.mailbox().put(dispatch::Planned{std::move(plan)});
        if (fresh.classes != running.classes || fresh.tenants != running.tenants ||
            fresh.listen != running.listen)
            runtime::log("main", "classes, customers and the address served change at the next start only");
        runtime::log("main", "config read again; discovery is at %s", fresh.discovery.c_str());
    } catch (const std::exception& fault) {
        runtime::log("main", "the config stays as it was: %s", fault.what());
    }
}

runtime::Task<void> until_stopped(runtime::Scheduler& scheduler, runtime::Waker& waker,
                                  const Signals& signals, std::function<void()> reload,
                                  dispatch::Dispatcher& dispatcher, dispatch::Ledger& ledger,
                                  cluster::Notices& notices, downstream::Server& server,
                                  commands::Watch& watch) {
    for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
        signal = signals.next();
        if (signal == SIGHUP) reload();
        if (signal == 0) co_await waker.wait();
    }
    const Time told = scheduler.now();
    runtime::log("main", "told to stop: %zu messages are owed", ledger.held());
    server.wind_down();
    watch.hurry(told + untold_ms, false);
    dispatcher.mailbox().put(dispatch::Stop{told + last_call_ms});
    co_await runtime::sleep_until(scheduler, told + take_on_ms);
    server.stop_listening();
    const auto done = [&] {
        return dispatcher.flying() == 0 && ledger.held() == 0 && notices.empty() && server.open() == 0;
    };
    while (scheduler.now() < told + leave_ms && !done()) {
        if (scheduler.now() > told + last_call_ms) server.close_idle();
        co_await runtime::sleep_until(scheduler, scheduler.now() + poll_ms);
    }
    runtime::log("main", "stopped: %zu messages are left to the next start", ledger.held());
    watch.hurry(told + untold_ms, true);
    while (!watch.done() && scheduler.now() < told + untold_ms)
        co_await runtime::sleep_until(scheduler, std::min(scheduler.now() + poll_ms, told + untold_ms));
    if (!watch.done()) runtime::log("main", "the collector did not take %zu items in time", watch.waiting());
    scheduler.stop();
}

store::Options store_options(const config::Config& config, const std::shared_ptr<const plan::Plan>& plan) {
    const auto rule = plan ? plan->rules().store : plan::StoreRule{};
    store::Options options;
    options.budget = static_cast<std::uint64_t>(config.disk_mb * 1e6 * disk_share);
    options.durability = rule.durability == plan::StoreRule::Durability::none   ? store::Durability::none
                         : rule.durability == plan::StoreRule::Durability::each ? store::Durability::each
                                                                                : store::Durability::interval;
    options.compress = rule.compress;
    options.id = config.seed;
    options.keyspaces = dispatch::ledger_keyspaces();
    return options;
}

double sync_interval(const std::shared_ptr<const plan::Plan>& plan) {
    return plan ? plan->rules().store.interval_ms : 0;
}

// The store's actor as the core's port; neither knows the other.
class Syncs : public dispatch::Durable {
public:
    explicit Syncs(store::Keeper& keeper) : keeper_(keeper) {}
    bool reached(store::Version version) const override { return keeper_.reached(version); }
    bool failed() const override { return keeper_.failed(); }
    void want() override { keeper_.want(); }

private:
    store::Keeper& keeper_;
};

// What outlasted the last process. What could not be read is told here.
void recover(store::Store& store, dispatch::Ledger& ledger, store::Files& files) {
    store::Report report;
    const auto now = static_cast<store::Stamp>(runtime::wall_now());
    if (const auto fault = store.open(now, report); fault != store::Fault::none)
        throw std::runtime_error("the store cannot be opened: " + store.why());
    for (const auto& finding : report.findings)
        runtime::log("store", "%s: %s (%llu bytes)",
                     finding.number == 0 ? "store" : store::segment_name(finding.number).c_str(),
                     finding.why.c_str(), static_cast<unsigned long long>(finding.bytes));
    if (!ledger.carry_over(files))
        throw std::runtime_error("the journal cannot be carried over: " + store.why());
    if (!ledger.recover(report)) throw std::runtime_error("the store takes no records: " + store.why());
}

int serve(const std::string& operators) {
    const auto config = config::load_config();
    const auto plan = commands::load_plan(operators, config);
    const auto listen = runtime::parse_address(config.listen);
    const auto discovery = runtime::parse_address(config.discovery);
    if (!listen) throw config::BadConfig("the address to listen on cannot be read");
    if (!discovery) throw config::BadConfig("the address of discovery cannot be read");

    runtime::Scheduler scheduler;
    runtime::Waker signalled(scheduler);
    const Signals signals(scheduler, signalled);  // from here on a signal waits until it can be served
    const auto files = store::files_in(config.state_folder);
    store::Store store(*files, store_options(config, plan));
    dispatch::Ledger ledger(store, runtime::wall_now);
    recover(store, ledger, *files);
    store::Keeper keeper(scheduler, store, *files, sync_interval(plan));

    upstream::PoolSettings limits;
    limits.dial_timeout_ms = config.dial_timeout_ms;
    if (config.settings.conn_idle_ms > 0) limits.conn_idle_ms = config.settings.conn_idle_ms;
    limits.drain_grace_ms = config.drain_grace_ms;
    limits.most_idle = idle_limit(config, bounds_of(plan));
    upstream::Pool pool(scheduler, limits);
    cluster::Notices notices(scheduler, *discovery);
    dispatch::Dispatcher dispatcher(scheduler, config.settings, config.seed, ledger, pool, notices);
    cluster::Cluster cluster(scheduler, config, *discovery, pool);
    downstream::Server server(scheduler, config, downstream_limits(config, bounds_of(plan)));

    auto& core = dispatcher.mailbox();
    pool.report_to([&](dispatch::Verdict verdict) { core.put(std::move(verdict)); });
    notices.report_to([&](dispatch::Told told) { core.put(std::move(told)); });
    cluster.tell_to([&](dispatch::Listed listed) { core.put(std::move(listed)); });
    server.submit_to([&](dispatch::Submission submission) { core.put(std::move(submission)); });
    server.untold_to([&](MessageId id) { core.put(dispatch::Untold{id}); });

    commands::Watch watch({scheduler, config, dispatcher, ledger, store, server, pool}, BRASSLIFT_VERSION);
    watch.follow(plan ? &plan->rules() : nullptr);

    if (!server.listen(*listen)) throw std::runtime_error("cannot listen on " + config.listen);
    const auto known = cluster::read_news(config.known, config);
    auto first = known ? cluster.apply(*known) : dispatch::Listed{};
    first.from_config = true;
    scheduler.spawn(cluster.run());
    scheduler.spawn(cluster.watch());
    for (const Time until = scheduler.now() + fresh_list_ms;
         !cluster.heard() && runtime::steady_now() < until;)
        scheduler.run_until(runtime::steady_now() + 2);
    if (plan) dispatcher.plan_by(plan);
    Syncs syncs(keeper);
    if (store.options().durability != store::Durability::none) dispatcher.sync_by(&syncs);
    keeper.tell_to([&] { core.put(dispatch::Synced{}); });
    dispatcher.recover(first);
    scheduler.spawn(keeper.run());
    scheduler.spawn(dispatcher.run());
    scheduler.spawn(notices.run());
    server.ready(true);  // all that is owed is known; connections that came meanwhile wait in the queue
    scheduler.spawn(server.run());
    const auto reread = [&] { reload(config, operators, dispatcher, cluster, notices, server, pool, watch); };
    scheduler.spawn(
        until_stopped(scheduler, signalled, signals, reread, dispatcher, ledger, notices, server, watch));
    runtime::log("main", "%s serves %s; %zu messages were owed", config.name.c_str(), config.listen.c_str(),
                 ledger.held());
    scheduler.run();
    scheduler.drop_tasks();
    return 0;
}

// What a dispatcher would be told, or the reason for which it could not start.
int check_config(const std::string& path) {
    const auto config = path.empty() ? config::load_config() : config::read_config(config::read_file(path));
    const auto known = cluster::read_news(config.known, config);
    const Sender module(config.settings, config.seed);  // throws where the module cannot work with them
    std::printf("name %s, listen %s, discovery %s\n", config.name.c_str(), config.listen.c_str(),
                config.discovery.c_str());
    std::printf("%zu classes, %zu customers, %zu hosts known; %d slots, %d messages held at most\n",
                config.classes.size(), config.tenants.size(), known ? known->lines.size() : 0,
                config.settings.slots, config.settings.max_held);
    return 0;
}

constexpr const char* commands_text =
    "usage: brasslift [COMMAND ...]\n"
    "  serve [--operator FILE]   dispatch messages (the default)\n"
    "  config COMMAND ...        check, format, compare and explain operators' files\n"
    "  check-config [FILE]       read a platform's config as a start would\n"
    "  store COMMAND ...         look into a store, check, compact, copy and restore it\n"
    "  journal [FOLDER]          what a store says is owed\n"
    "  version\n"
    "Each has its own --help.\n";

// Runs a command with options of its own; `act` gets what was given.
template <class Act>
int with_options(cxxopts::Options& options, int argc, char** argv, Act act) {
    try {
        options.add_options()("h,help", "print this text");
        const auto given = options.parse(argc, argv);
        if (!given.unmatched().empty()) throw cxxopts::exceptions::exception("too many arguments");
        if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
        return act(given);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "%s: %s (--help tells more)\n", options.program().c_str(), fault.what());
        return 2;
    }
}

// A command with one argument, which may be left out.
template <class Act>
int with_argument(const char* name, const char* text, const char* argument, int argc, char** argv, Act act) {
    cxxopts::Options options(std::string("brasslift ") + name, text);
    options.positional_help(std::string("[") + argument + ']');
    options.add_options()("argument", argument, cxxopts::value<std::string>()->default_value(""));
    options.parse_positional({"argument"});
    return with_options(options, argc, argv,
                        [&](const auto& given) { return act(given["argument"].template as<std::string>()); });
}

int run(int argc, char** argv) {
    const std::string first = argc > 1 ? argv[1] : "";
    if (first == "--help" || first == "-h") return std::printf("%s", commands_text) < 0 ? 1 : 0;
    const bool named = !first.empty() && first[0] != '-';
    const std::string command = named ? first : "serve";
    if (named) --argc, ++argv;
    if (command == "serve") {
        cxxopts::Options options(
            "brasslift serve",
            "Takes messages on and delivers them. The environment tells it the rest (README).");
        options.add_options()("operator", "the operators' file: routes, pools, limits, policies, bounds",
                              cxxopts::value<std::string>()->default_value(""));
        return with_options(options, argc, argv, [](const auto& given) {
            return serve(given["operator"].template as<std::string>());
        });
    }
    if (command == "config") return commands::config(argc, argv);
    if (command == "store") return commands::store(argc, argv);
    if (command == "version") return std::printf("brasslift %s\n", BRASSLIFT_VERSION) < 0 ? 1 : 0;
    if (command == "check-config")
        return with_argument("check-config", "Reads a platform's config as a start would.", "FILE", argc,
                             argv, check_config);
    if (command == "journal")
        return with_argument("journal", "Lists what a store says is owed; changes nothing.", "FOLDER", argc,
                             argv, commands::list_owed);
    std::fprintf(stderr, "brasslift: no command '%s'\n%s", command.c_str(), commands_text);
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift: %s\n", fault.what());
        return 1;
    }
}
