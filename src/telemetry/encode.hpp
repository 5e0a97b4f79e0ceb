// Spans as an OTLP export request, written straight to the wire: from the end to the beginning, so that every
// length is known when it is written and nothing is built or counted twice. No I/O.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "telemetry/trace.hpp"

namespace brasslift::telemetry {

// Who sends, the same in every batch.
struct Source {
    std::vector<Attribute> resource;  // service.name and the like
    std::string scope, version;       // of the instrumentation
};

// The bytes of an ExportTraceServiceRequest.
std::string encode(const Source& source, std::span<const Span> spans);

}  // namespace brasslift::telemetry
