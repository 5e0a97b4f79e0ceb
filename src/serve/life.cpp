#include "serve/life.hpp"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <stdexcept>

#include "admin/figures.hpp"
#include "commands/platform.hpp"
#include "members/setup.hpp"
#include "runtime/log.hpp"

namespace brasslift::serve {
namespace {

// After SIGTERM clients still come for a while and the kill is 3.7 s away at the soonest.
// Idle clients hear the end of their connections early enough that what crosses it still finds its way
// elsewhere. What of a request has come by last_read_ms is answered: the process never ends over one that it
// has read.
constexpr double take_on_ms = 600, dismiss_ms = 3100, last_read_ms = 3200, last_call_ms = 3300,
                 leave_ms = 3500;
constexpr double last_answer_ms = 3600, poll_ms = 20;
// By then telemetry has had its last try, whatever became of it.
constexpr double untold_ms = 3600;
// A start that the system or the folder does not let through for a while is tried again for so long.
constexpr double start_retry_ms = 25000, listen_retry_ms = 2000, start_pause_ms = 50;
// The list in the config may be old: discovery's agent, on the same machine, has so long to add to it.
constexpr double fresh_list_ms = 100;

std::size_t part_of(double whole, double part) { return static_cast<std::size_t>(whole * part); }

plan::Bounds bounds_of(const std::shared_ptr<const plan::Plan>& plan) {
    return plan ? plan->rules().bounds : plan::Bounds{};
}

downstream::Server::Limits downstream_limits(const config::Config& config, const plan::Bounds& bounds) {
    return {part_of(static_cast<double>(config.sockets), bounds.client_descriptors),
            part_of(config.memory_mb * 1e6, bounds.request_memory),
            {bounds.head, bounds.body},
            bounds.request_ms};
}

std::size_t idle_limit(const config::Config& config, const plan::Bounds& bounds) {
    return part_of(static_cast<double>(config.sockets), bounds.idle_descriptors);
}

upstream::PoolSettings pool_settings(const config::Config& config, const plan::Bounds& bounds) {
    upstream::PoolSettings settings;
    settings.dial_timeout_ms = config.dial_timeout_ms;
    if (config.settings.conn_idle_ms > 0) settings.conn_idle_ms = config.settings.conn_idle_ms;
    settings.drain_grace_ms = config.drain_grace_ms;
    settings.report_fields = config.report_fields;
    settings.most_idle = idle_limit(config, bounds);
    return settings;
}

store::Options store_options(const config::Config& config, const std::shared_ptr<const plan::Plan>& plan) {
    const auto rule = plan ? plan->rules().store : plan::StoreRule{};
    store::Options options;
    // The folder's limit counts in millions of bytes here; the stores stay well under it.
    options.budget = static_cast<std::uint64_t>(config.disk_mb * 1e6 * members::folder_share);
    if (plan && plan->rules().members) options.budget -= members::budget_of(config.disk_mb * 1e6);
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

runtime::Address address_of(const std::string& text, const char* whose) {
    const auto address = runtime::parse_address(text);
    if (!address) throw config::BadConfig(std::string("the address ") + whose + " cannot be read");
    return *address;
}

}  // namespace

Life::Life(std::string operators, const std::string& version)
    : operators_(std::move(operators)),
      config_(config::load_config()),
      plan_(commands::load_plan(operators_, config_)),
      listen_(address_of(config_.listen, "to listen on")),
      discovery_(address_of(config_.discovery, "of discovery")),
      signalled_(scheduler_),
      signals_(scheduler_, signalled_),
      files_(store::files_in(config_.state_folder)),
      store_(*files_, store_options(config_, plan_)),
      ledger_(store_, [this] { return real_time_.now(); }),
      keeper_(scheduler_, store_, *files_, sync_interval(plan_), [this] { return real_time_.now(); }),
      syncs_(keeper_),
      pool_(scheduler_, pool_settings(config_, bounds_of(plan_))),
      notices_(scheduler_, discovery_),
      dispatcher_(scheduler_, config_.settings, config_.seed, ledger_, pool_, notices_),
      cluster_(scheduler_, config_, discovery_, pool_),
      server_(scheduler_, config_, downstream_limits(config_, bounds_of(plan_)), lifecycle_),
      admin_(scheduler_, {[this] { return lifecycle_.ready(); },
                          [this] {
                              const bool drains = lifecycle_.drain(scheduler_.now());
                              if (drains) server_.drain();
                              return drains;
                          },
                          [this] { return lifecycle_.undrain(); }, [this] { return figures(); },
                          [this] { return membership_ ? membership_->note() : std::string(); },
                          plan_ && plan_->rules().members
                              ? [this](const http::Message& request) { return answer_members(request); }
                              : std::function<runtime::Task<admin::Reply>(const http::Message&)>()}),
      watch_({scheduler_, config_, dispatcher_, ledger_, store_, server_, pool_}, version),
      heir_waker_(scheduler_) {
    connect_parts();
    open_admin();
    store::Report report;
    stopped_ = !come_into_store(report) || !recover(report);
    if (stopped_) return;
    begin();
}

void Life::connect_parts() {
    auto& core = dispatcher_.mailbox();
    pool_.report_to([&](dispatch::Verdict verdict) { core.put(std::move(verdict)); });
    pool_.call_ended_to([&](MessageId id) { core.put(dispatch::CallEnded{id}); });
    notices_.report_to([&](dispatch::Told told) { core.put(std::move(told)); });
    cluster_.departures_to(
        [&](const dispatch::DepartureChange& change) { dispatcher_.note_departures(change); });
    cluster_.tell_to([&](dispatch::Listed listed) { core.put(std::move(listed)); });
    server_.submit_to([&](dispatch::Submission submission) { core.put(std::move(submission)); });
    server_.untold_to([&](MessageId id) { core.put(dispatch::Untold{id}); });
    server_.closed_to([&](const downstream::ConnectionEnd& end) {
        dispatcher_.events().note(dispatch::ConnectionEvent{
            scheduler_.now(), end.number, downstream::name_of(end.by), end.answered, end.unanswered_bytes});
    });
    pool_.closed_to([&](const upstream::ConnectionEnd& end) {
        dispatcher_.events().note(dispatch::EndpointConnectionEvent{
            scheduler_.now(), end.number, end.host, upstream::name_of(end.by), end.calls, end.idle_ms});
    });
    server_.rejections_to([&](std::size_t message_class) { dispatcher_.throttled(message_class); });
    dispatcher_.look_up_in(&cluster_);
    keeper_.tell_to([&] { core.put(dispatch::Synced{}); });
}

// The system may have no socket for a moment.
void Life::listen_with_patience(const std::function<bool()>& listen, const std::string& where) {
    for (const Time give_up = runtime::steady_now() + listen_retry_ms; !listen();) {
        if (runtime::steady_now() >= give_up) throw std::runtime_error("cannot listen " + where);
        scheduler_.run_until(runtime::steady_now() + start_pause_ms);
    }
}

void Life::open_admin() {
    if (config_.admin.empty()) return;
    const auto address = address_of(config_.admin, "for operators");
    listen_with_patience([&] { return admin_.listen(address); }, "for operators on " + config_.admin);
    scheduler_.spawn(admin_.run());
}

// Others have their turn at a start that has to be tried again. False: told to stop meanwhile.
bool Life::wait_at_start(double ms) {
    for (const Time until = runtime::steady_now() + ms; runtime::steady_now() < until;)
        scheduler_.run_until(until);
    return !stop_requested();
}

// Looks at the signals that came before the loop serves them. A reload is kept until then.
bool Life::stop_requested() {
    for (int signal = signals_.next(); signal != 0; signal = signals_.next()) {
        if (signal == SIGTERM || signal == SIGINT) return true;
        reload_due_ = true;
    }
    return false;
}

// What outlasted the last process. What could not be read is told here. A store that takes no records for a
// while is tried again: what was taken on is owed. False: told to stop meanwhile.
bool Life::recover(const store::Report& report) {
    for (const auto& finding : report.findings)
        runtime::log("store", "%s: %s (%llu bytes)",
                     finding.number == 0 ? "store" : store::segment_name(finding.number).c_str(),
                     finding.why.c_str(), static_cast<unsigned long long>(finding.bytes));
    const Time give_up = runtime::steady_now() + start_retry_ms;
    for (;;) {
        real_time_.load(store_);
        if (ledger_.carry_over(*files_) && ledger_.recover(report, taken_ != nullptr)) return true;
        if (runtime::steady_now() >= give_up)
            throw std::runtime_error("the store takes no records: " + store_.why());
        runtime::log("store", "the start waits: the store takes no records: %s", store_.why().c_str());
        if (!wait_at_start(start_pause_ms)) return false;
    }
}

void Life::begin() {
    if (const char* const path = std::getenv("PROXY_EVENTS")) dispatcher_.events().append_to(path);
    watch_.follow(plan_ ? &plan_->rules() : nullptr);
    if (store_.options().durability != store::Durability::none) dispatcher_.sync_by(&syncs_);
    if (plan_ && plan_->rules().members) {
        membership_ =
            std::make_unique<Membership>(scheduler_, config_, *plan_->rules().members, dispatcher_, cluster_);
        membership_->begin();
    }
    const bool resumes = taken_ != nullptr;
    resumes ? resume() : start_anew();
    scheduler_.spawn(keeper_.run());
    scheduler_.spawn(dispatcher_.run());
    scheduler_.spawn(notices_.run());
    scheduler_.spawn(server_.run());
    scheduler_.spawn(until_stopped());
    // A member's folder is one process's until its end: the next one recovers.
    if (!membership_) await_successor();
    runtime::log("main", "%s serves %s; %zu messages were %s", config_.name.c_str(), config_.listen.c_str(),
                 ledger_.held(), resumes ? "handed over" : "owed");
}

void Life::start_anew() {
    listen_with_patience([this] { return server_.listen(listen_); }, "on " + config_.listen);
    cluster_.begin_with_departed(ledger_.departed(), true);
    auto first = cluster_.begin_with_known();
    first.from_config = true;
    scheduler_.spawn(cluster_.run());
    scheduler_.spawn(cluster_.watch());
    for (const Time until = runtime::steady_now() + fresh_list_ms;
         !cluster_.heard() && runtime::steady_now() < until;)
        scheduler_.run_until(runtime::steady_now() + 2);
    if (plan_ && !membership_) dispatcher_.plan_by(plan_);
    dispatcher_.recover(first);
    lifecycle_.begin();  // all that is owed is known; connections that came meanwhile wait in the queue
}

std::optional<Remains> Life::run() {
    if (stopped_) return std::nullopt;
    for (bool given = false; !given;) {
        scheduler_.run();
        // One that asks while the last turn runs must not set the loop going again.
        if (!heir_ || stopped_) {
            scheduler_.drop_tasks();
            return std::nullopt;
        }
        given = give();
        if (!given) scheduler_.go_on();
    }
    Remains remains{admin_.release(), figures()};
    scheduler_.drop_tasks();
    return remains;
}

runtime::Task<admin::Reply> Life::answer_members(const http::Message& request) {
    admin::Reply reply;
    reply.status = 503;  // not yet
    if (membership_) {
        auto answering = membership_->answer(request);
        reply = co_await answering;
    }
    co_return reply;
}

std::string Life::figures() const {
    const auto of_members = membership_ ? membership_->figures() : std::string();
    return of_members +
           admin::statsd({config_.classes, dispatcher_.figures(), dispatcher_.counts(), server_,
                          pool_.withheld(), pool_.connections(), pool_.written(), ledger_.held(),
                          cluster_.listed(), dispatcher_.avoided(), configs_taken_, configs_refused_});
}

// What a reload changes while the program runs. The rest of the config shapes the module and the store, and
// takes effect at the next start. The operators' file holds whole from now on; a fault in either file and
// both stay as they were.
void Life::reload() {
    try {
        const auto fresh = config::load_config();
        const Sender usable(fresh.settings, fresh.seed);  // throws where the module could not work with them
        const auto discovery = address_of(fresh.discovery, "of discovery");
        // Judged by what runs: classes and tenants keep their places until the next start.
        auto plan = commands::load_plan(operators_, config_);
        cluster_.move_to(discovery);
        notices_.move_to(discovery);
        server_.limit(downstream_limits(fresh, bounds_of(plan)));
        pool_.keep_at_most(idle_limit(fresh, bounds_of(plan)));
        if (!operators_.empty()) watch_.follow(&plan->rules());
        // With members, the rules are theirs.
        if (plan && !membership_) dispatcher_.mailbox().put(dispatch::Planned{std::move(plan), 0});
        if (fresh.classes != config_.classes || fresh.tenants != config_.tenants ||
            fresh.listen != config_.listen)
            runtime::log("main", "classes, customers and the address served change at the next start only");
        runtime::log("main", "config read again; discovery is at %s", fresh.discovery.c_str());
        ++configs_taken_;
    } catch (const std::exception& fault) {
        ++configs_refused_;
        runtime::log("main", "the config stays as it was: %s", fault.what());
    }
}

runtime::Task<void> Life::until_stopped() {
    if (reload_due_) reload();
    for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
        signal = signals_.next();
        if (signal == SIGHUP) reload();
        if (signal == 0) co_await signalled_.wait();
    }
    const Time told = scheduler_.now();
    runtime::log("main", "told to stop: %zu messages are owed", ledger_.held());
    lifecycle_.stop();
    if (membership_) membership_->pass_on();
    watch_.hurry(told + untold_ms, false);
    dispatcher_.mailbox().put(dispatch::Stop{told + last_call_ms});
    server_.read_until(told + last_read_ms);
    co_await runtime::sleep_until(scheduler_, told + take_on_ms);
    server_.stop_listening();
    const auto done = [&] {
        return dispatcher_.flying() == 0 && ledger_.held() == 0 && notices_.empty() && server_.over();
    };
    while (scheduler_.now() < told + leave_ms && !done()) {
        if (scheduler_.now() > told + dismiss_ms) server_.close_idle();
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + poll_ms);
    }
    while (server_.answering() > 0 && scheduler_.now() < told + last_answer_ms)
        co_await runtime::sleep_until(scheduler_, scheduler_.now() + poll_ms);
    runtime::log(
        "main",
        "stopped: %zu messages are left to the next start; of %zu clients' connections %zu wait for an "
        "answer",
        ledger_.held(), server_.open(), server_.answering());
    watch_.hurry(told + untold_ms, true);
    while (!watch_.done() && scheduler_.now() < told + untold_ms)
        co_await runtime::sleep_until(scheduler_, std::min(scheduler_.now() + poll_ms, told + untold_ms));
    if (!watch_.done())
        runtime::log("main", "the collector did not take %zu items in time", watch_.waiting());
    stopped_ = true;
    scheduler_.stop();
}

}  // namespace brasslift::serve
