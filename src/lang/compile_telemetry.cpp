#include "lang/compiler.hpp"

namespace brasslift::lang {
namespace {

bool is_on(bool has, v1::Switch given) { return !has || given != v1::OFF; }

// What the exporter writes itself, or what would change how its requests are framed.
bool reserved(std::string name) {
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c); });
    for (const char* const own :
         {"host", "content-type", "content-length", "content-encoding", "transfer-encoding", "connection",
          "user-agent", "expect", "te", "trailer", "upgrade"})
        if (name == own) return true;
    return false;
}

}  // namespace

void Compiler::headers(const v1::Telemetry& t, plan::TelemetryRule& rule) {
    unique(t.header(), "header");
    unique(t.resource(), "resource attribute");
    constexpr std::size_t most_value = 4096;
    constexpr int most_headers = 32;
    for (const auto& h : t.header()) {
        if (reserved(h.name()))
            error(places_.of(h, "name"), "the dispatcher writes the header \"" + h.name() + "\" itself",
                  "remove it");
        // The value is a secret: no finding shows it.
        const auto& value = h.value();
        if (h.has_value() &&
            (value.empty() || value.size() > most_value ||
             std::any_of(value.begin(), value.end(), [](unsigned char c) { return c < 0x20 || c > 0x7e; })))
            error(places_.of(h, "value"), "this value cannot be a header's",
                  "use 1 to " + std::to_string(most_value) + " printable ASCII characters");
        rule.headers.emplace_back(h.name(), value);
    }
    if (t.header_size() > most_headers)
        error(places_.of(t.header(most_headers)), "more than " + std::to_string(most_headers) + " headers",
              "remove some");
    for (const auto& r : t.resource()) {
        if (r.name() == "service.name" || r.name() == "service.instance.id")
            error(places_.of(r, "name"), "\"" + r.name() + "\" is the dispatcher's own",
                  "remove it; its value is the platform's name for the dispatcher");
        rule.resource.emplace_back(r.name(), r.value());
    }
}

void Compiler::telemetry() {
    rules_.json_log = config_.log().format() == v1::JSON;
    if (!config_.has_telemetry()) return;
    const auto& t = config_.telemetry();
    plan::TelemetryRule rule;
    rule.collector = t.collector();
    headers(t, rule);
    rule.gzip = is_on(t.has_gzip(), t.gzip());
    if (t.has_timeout()) rule.timeout_ms = duration_ms(t.timeout());
    if (t.has_batch()) rule.batch = t.batch();
    if (t.has_batch_age()) rule.batch_age_ms = duration_ms(t.batch_age());
    if (t.has_queue()) rule.queue_bytes = bytes_of(t.queue());
    if (t.has_keep_trying()) rule.keep_trying_ms = duration_ms(t.keep_trying());

    const auto& traces = t.traces();
    rule.traces = is_on(traces.has_export_(), traces.export_());
    if (traces.has_ratio()) rule.ratio = part_of(traces.ratio());
    rule.keep_failed = is_on(traces.has_keep_failed(), traces.keep_failed());
    rule.keep_deferred = is_on(traces.has_keep_deferred(), traces.keep_deferred());
    if (traces.has_keep_attempts_above())
        rule.keep_attempts_above = static_cast<int>(traces.keep_attempts_above());
    if (traces.has_keep_longer_than()) rule.keep_longer_ms = duration_ms(traces.keep_longer_than());
    if (traces.has_pending()) rule.pending_bytes = bytes_of(traces.pending());
    if (traces.has_shortest_queue()) rule.shortest_queue_ms = duration_ms(traces.shortest_queue());

    const auto& metrics = t.metrics();
    rule.metrics = is_on(metrics.has_export_(), metrics.export_());
    if (metrics.has_interval()) rule.interval_ms = duration_ms(metrics.interval());
    rule.delta = metrics.temporality() == v1::DELTA;
    if (metrics.has_series()) rule.series = metrics.series();
    rule.logs = is_on(t.logs().has_export_(), t.logs().export_());

    if (!rule.traces && !rule.metrics && !rule.logs)
        error(places_.of(t), "telemetry exports nothing", "switch one of its signals on, or remove it");
    if (rule.timeout_ms > rule.keep_trying_ms)
        error(places_.of(t, "timeout"),
              "one request may take " + shown_ms(rule.timeout_ms) + " and a batch is tried for " +
                  shown_ms(rule.keep_trying_ms) + " only",
              "shorten timeout, or lengthen keep_trying");
    rules_.telemetry = std::move(rule);
}

}  // namespace brasslift::lang
