#include "telemetry/telemetry.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace brasslift::telemetry {
namespace {

constexpr double probe_ms = 100;     // between two looks at the loop
constexpr double anchor_ms = 10000;  // between two looks at the wall clock

ExporterSettings exporter_settings(const plan::TelemetryRule& rule) {
    ExporterSettings settings;
    const auto address = runtime::parse_address(rule.collector);
    if (!address) throw std::invalid_argument("the collector's address cannot be read");
    settings.collector = *address;
    settings.host = rule.collector;
    settings.headers = rule.headers;
    settings.gzip = rule.gzip;
    settings.timeout_ms = rule.timeout_ms;
    settings.batch = rule.batch;
    settings.batch_age_ms = rule.batch_age_ms;
    settings.metrics_ms = rule.metrics ? rule.interval_ms : 0;
    settings.span_bytes = rule.queue_bytes;
    settings.record_bytes = rule.queue_bytes / 4;
    settings.batch_bytes = std::min(settings.batch_bytes, rule.queue_bytes / 4);
    settings.delivery.give_up_ms = rule.keep_trying_ms;
    return settings;
}

RecorderSettings recorder_settings(const plan::TelemetryRule& rule) {
    return {rule.traces,
            rule.ratio,
            {rule.keep_failed, rule.keep_deferred, rule.keep_attempts_above, rule.keep_longer_ms},
            rule.pending_bytes,
            rule.shortest_queue_ms};
}

Meters::Settings meter_settings(const plan::TelemetryRule& rule) {
    return {rule.series, rule.delta ? Temporality::delta : Temporality::cumulative};
}

Source source_of(const Telemetry::Who& who, const plan::TelemetryRule& rule) {
    Source source{{{"service.name", std::string("brasslift")},
                   {"service.instance.id", who.name},
                   {"service.version", who.version}},
                  "brasslift",
                  who.version};
    for (const auto& [name, value] : rule.resource) source.resource.push_back({interned(name), value});
    return source;
}

std::uint64_t nanoseconds(double ms) {
    return static_cast<std::uint64_t>(std::max(0.0, std::round(ms * 1000))) * 1000;
}

}  // namespace

Telemetry::Telemetry(runtime::Scheduler& scheduler, const Who& who, const plan::TelemetryRule& rule)
    : scheduler_(scheduler),
      who_(who),
      rule_(rule),
      meters_(who.labels, meter_settings(rule), nanoseconds(runtime::wall_now())),
      exporter_(scheduler, exporter_settings(rule), source_of(who, rule), who.seed, meters_),
      recorder_(who.labels, recorder_settings(rule), who.seed, meters_, exporter_.spans()),
      told_(scheduler) {
    offset_ = runtime::wall_now() - runtime::steady_now();
    recorder_.set_offset(offset_);
    exporter_.collect_by([this] { return collect(); });
    recorder_.tell_to([this] { told_.notify(); });
}

void Telemetry::change(const plan::TelemetryRule& rule) {
    exporter_.change(exporter_settings(rule), source_of(who_, rule));
    meters_.change(meter_settings(rule), wall_ns());
    recorder_.change(recorder_settings(rule));
    rule_ = rule;
}

std::uint64_t Telemetry::wall_ns() const { return nanoseconds(scheduler_.now() + offset_); }

Meters::Collected Telemetry::collect() {
    recorder_.settle();
    if (levels_) levels_(meters_);
    const auto lost = recorder_.dropped();
    meters_.exported(Signal::traces, Exported::undecided, lost - undecided_);
    undecided_ = lost;
    meters_.level("brasslift.telemetry.queue.size", static_cast<double>(exporter_.waiting()));
    meters_.level("brasslift.telemetry.queue.bytes",
                  static_cast<double>(exporter_.spans().bytes() + exporter_.records().bytes()));
    return meters_.collect(wall_ns());
}

void Telemetry::log(double wall_ms, std::string_view part, std::string_view text, std::string_view trace) {
    if (!rule_.logs) return;
    LogRecord record;
    record.at = record.observed = nanoseconds(wall_ms);
    record.body = text;
    record.attributes = {{"brasslift.part", std::string(part)}};
    if (const auto context = read_traceparent(trace)) {
        record.trace = context->trace;
        record.span = context->span;
        record.severity = Severity::warn;
    }
    exporter_.records().put(scheduler_.now(), encode_item(record));
}

void Telemetry::hurry(Time until, bool last) {
    if (last) recorder_.interrupt(scheduler_.now());
    exporter_.hurry(until, last);
}

runtime::Task<void> Telemetry::settle() {
    constexpr std::size_t notes_at_once = 16;  // some 50 us
    runtime::Waker pause(scheduler_);
    for (;;) {
        co_await told_.wait();
        do {
            // Hosts' actors that were woken in the same turn come first.
            co_await pause.wait(scheduler_.now());
        } while (!recorder_.settle(notes_at_once));
    }
}

runtime::Task<void> Telemetry::watch() {
    Time due = scheduler_.now() + probe_ms, anchored = scheduler_.now();
    for (;;) {
        co_await runtime::sleep_until(scheduler_, due);
        const Time now = runtime::steady_now();
        meters_.lag(std::max(0.0, now - due));
        if (now >= anchored + anchor_ms) {
            // Spans that are open keep the offset that they began with.
            offset_ = runtime::wall_now() - now;
            recorder_.set_offset(offset_);
            anchored = now;
        }
        due = std::max(due + probe_ms, now);
    }
}

}  // namespace brasslift::telemetry
