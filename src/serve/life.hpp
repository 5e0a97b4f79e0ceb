// One life of the dispatcher: its parts, put together, from the start to the end of the process. Decides
// nothing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admin/server.hpp"
#include "cluster/cluster.hpp"
#include "cluster/notices.hpp"
#include "commands/watch.hpp"
#include "config/config.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/ledger.hpp"
#include "dispatch/real_time.hpp"
#include "downstream/server.hpp"
#include "handover/decide.hpp"
#include "lifecycle/lifecycle.hpp"
#include "runtime/scheduler.hpp"
#include "serve/members.hpp"
#include "serve/shell.hpp"
#include "serve/signals.hpp"
#include "state/luggage.hpp"
#include "store/keeper.hpp"
#include "store/store.hpp"
#include "upstream/pool.hpp"

namespace brasslift::serve {

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

// What one process gives to the next, beside the store.
struct LifeState {
    bool drains = false;
    cluster::ClusterState cluster;
    dispatch::CoreState core;
    upstream::PoolState pool;
    downstream::ServerState server;
};

class Life {
public:
    // `operators`: the operators' file; empty: none. Throws where the dispatcher cannot start.
    Life(std::string operators, const std::string& version);
    // Until a signal ends it, or another process has taken over: then it leaves its remains.
    std::optional<Remains> run();

private:
    void connect_parts();
    void listen_with_patience(const std::function<bool()>& listen, const std::string& where);
    void open_admin();
    bool recover(const store::Report& report);
    bool wait_at_start(double ms);
    bool stop_requested();
    void begin();
    void start_anew();
    void resume();
    handover::Asked ask();
    bool come_into_store(store::Report& report);
    void await_successor();
    runtime::Task<void> hear_successors();
    bool give();
    void reload();
    runtime::Task<void> until_stopped();
    std::string figures() const;
    runtime::Task<admin::Reply> answer_members(const http::Message& request);

    std::string operators_;
    config::Config config_;
    std::shared_ptr<const plan::Plan> plan_;
    runtime::Address listen_, discovery_;
    lifecycle::Lifecycle lifecycle_;
    runtime::Scheduler scheduler_;
    runtime::Waker signalled_;
    Signals signals_;  // from here on a signal waits until it can be served
    std::unique_ptr<store::Files> files_;
    store::Store store_;
    dispatch::RealTime real_time_;
    dispatch::Ledger ledger_;
    store::Keeper keeper_;
    Syncs syncs_;
    upstream::Pool pool_;
    cluster::Notices notices_;
    dispatch::Dispatcher dispatcher_;
    cluster::Cluster cluster_;
    downstream::Server server_;
    admin::Server admin_;
    commands::Watch watch_;
    std::unique_ptr<Membership> membership_;  // none: it acts alone
    runtime::Waker heir_waker_;
    runtime::Socket heir_listener_;
    runtime::Descriptor heir_;  // a process that asks to take over
    struct Taken {
        LifeState state;
        state::Luggage luggage;
    };
    std::unique_ptr<Taken> taken_;  // what the process before gave, until it goes on here
    bool reload_due_ = false;       // a reload was asked for while the process started
    bool stopped_ = false;          // by a signal, before it began or at its end
    std::uint64_t configs_taken_ = 0, configs_refused_ = 0;
};

}  // namespace brasslift::serve
