// Spans, metrics and log records as OTLP export requests, written straight to the wire: from the end to the
// beginning, so that every length is known when it is written and nothing is built or counted twice. No I/O.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "telemetry/metrics.hpp"
#include "telemetry/trace.hpp"

namespace brasslift::telemetry {

// Who sends, the same in every batch.
struct Source {
    std::vector<Attribute> resource;  // service.name and the like
    std::string scope, version;       // of the instrumentation
};

enum class Severity : std::uint8_t { info = 9, warn = 13 };

// Times are nanoseconds of the Unix epoch.
struct LogRecord {
    std::uint64_t at = 0, observed = 0;
    Severity severity = Severity::info;
    std::string body;
    std::vector<Attribute> attributes;
    TraceId trace{};  // zeros: of no message
    SpanId span{};
};

// One instrument's points at a moment, with what they are counted from.
struct Metric {
    enum class Kind { gauge, sum, histogram };
    struct Point {
        const SeriesKey* key = nullptr;
        double value = 0;
        bool whole = true;  // a number without fractions
        const ExponentialHistogram* histogram = nullptr;
    };
    std::string_view name, unit, description;
    Kind kind = Kind::gauge;
    Temporality temporality = Temporality::cumulative;
    bool monotonic = true;  // of a sum
    std::uint64_t start = 0, time = 0;
    std::vector<Point> points;
};

// One span, metric or log record as it stands within a request: what waits to be exported is kept as these.
std::string encode_item(const Span& span);
std::string encode_item(const LogRecord& record);
std::string encode_item(const Metric& metric);
// The request that carries them, whichever of the three they are.
std::string request_of(const Source& source, std::span<const std::string> items);

// The bytes of an ExportTraceServiceRequest.
std::string encode(const Source& source, std::span<const Span> spans);

}  // namespace brasslift::telemetry
