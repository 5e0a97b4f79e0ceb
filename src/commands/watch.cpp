#include "commands/watch.hpp"

#include <cstdio>
#include <random>

#include "config/json.hpp"
#include "runtime/log.hpp"

namespace brasslift::commands {
namespace {

std::string json_line(const runtime::LogLine& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%.3f", line.wall_ms / 1000);
    std::string out = std::string("{\"time\":") + time +
                      ",\"part\":" + config::quoted(std::string(line.part)) +
                      ",\"message\":" + config::quoted(std::string(line.text));
    if (const auto context = telemetry::read_traceparent(line.trace))
        out += ",\"trace_id\":\"" + telemetry::hex_of(context->trace) + "\",\"span_id\":\"" +
               telemetry::hex_of(context->span) + '"';
    return out + '}';
}

}  // namespace

Watch::~Watch() {
    runtime::pass_log_to({});
    runtime::write_log_as({});
}

void Watch::follow(const plan::Rules* rules) {
    runtime::write_log_as(rules != nullptr && rules->json_log ? json_line : decltype (&json_line)(nullptr));
    if (rules == nullptr || !rules->telemetry) return end();
    if (telemetry_)
        telemetry_->change(*rules->telemetry);
    else
        begin(*rules->telemetry);
    on_ = true;
    parts_.dispatcher.watch_by(&telemetry_->recorder());
    parts_.server.trace(rules->telemetry->traces);
    runtime::pass_log_to([this](const runtime::LogLine& line) {
        telemetry_->log(line.wall_ms, line.part, line.text, line.trace);
    });
}

void Watch::begin(const plan::TelemetryRule& rule) {
    // Ids must differ from those of an earlier life and of other dispatchers, whatever seed the platform
    // gave.
    std::random_device device;
    const auto seed = std::uint64_t{device()} << 32 ^ device();
    telemetry_ = std::make_unique<telemetry::Telemetry>(
        parts_.scheduler,
        telemetry::Telemetry::Who{
            parts_.config.name, version_, {parts_.config.classes, parts_.config.tenants}, seed},
        rule);
    telemetry_->recorder().say_to([](const auto& trace, const auto& span, const std::string& text) {
        runtime::log_about(telemetry::write_traceparent({trace, span, true, {}}), "message", "%s",
                           text.c_str());
    });
    telemetry_->levels_by([this](telemetry::Meters& meters) {
        meters.level("brasslift.messages.held", static_cast<double>(parts_.ledger.held()));
        meters.level("brasslift.messages.flying", static_cast<double>(parts_.dispatcher.flying()));
        meters.level("brasslift.journal.size", static_cast<double>(parts_.store.room().used));
        meters.level("brasslift.connections.downstream", static_cast<double>(parts_.server.open()));
        meters.level("brasslift.connections.upstream_idle", static_cast<double>(parts_.pool.idle()));
        meters.windows(parts_.dispatcher.windows());
    });
    parts_.scheduler.spawn(telemetry_->run());
    parts_.scheduler.spawn(telemetry_->watch());
    parts_.scheduler.spawn(telemetry_->settle());
}

// What is recorded is still sent; nothing more is recorded.
void Watch::end() {
    if (!on_) return;
    on_ = false;
    parts_.dispatcher.watch_by(nullptr);
    parts_.server.trace(false);
    runtime::pass_log_to({});
    telemetry_->recorder().forget();
}

void Watch::hurry(Time until, bool last) {
    if (telemetry_) telemetry_->hurry(until, last);
}

}  // namespace brasslift::commands
