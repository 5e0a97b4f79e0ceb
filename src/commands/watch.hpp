// Ties telemetry to the parts of a running dispatcher, as the operators' file says at the moment.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "dispatch/dispatcher.hpp"
#include "downstream/server.hpp"
#include "telemetry/telemetry.hpp"
#include "upstream/pool.hpp"

namespace brasslift::commands {

class Watch {
public:
    struct Parts {
        runtime::Scheduler& scheduler;
        const config::Config& config;
        dispatch::Dispatcher& dispatcher;
        dispatch::Ledger& ledger;
        store::Store& store;
        downstream::Server& server;
        upstream::Pool& pool;
    };
    Watch(Parts parts, std::string version) : parts_(parts), version_(std::move(version)) {}
    ~Watch();

    // At the start and at each reload.
    void follow(const plan::Rules* rules);
    // Nothing waits for a batch to fill any more; `last`: nothing follows, and what is owed is told of too.
    void hurry(Time until, bool last);
    bool done() const { return !telemetry_ || telemetry_->exporter().empty(); }
    std::size_t waiting() const { return telemetry_ ? telemetry_->exporter().waiting() : 0; }

private:
    void begin(const plan::TelemetryRule& rule);
    void end();

    Parts parts_;
    std::string version_;
    std::unique_ptr<telemetry::Telemetry> telemetry_;
    bool on_ = false;
};

}  // namespace brasslift::commands
