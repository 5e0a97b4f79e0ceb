// What a collector's answer says beyond its status. Source: the OTLP specification's Export*ServiceResponse,
// of which all three kinds have the same shape. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace brasslift::telemetry {

struct PartialSuccess {
    std::int64_t rejected = 0;  // spans, points or records; 0 with a text is a warning
    std::string text;           // 200 bytes of it at most, without control characters
};

// Garbage, as far as it goes, says nothing.
PartialSuccess read_partial_success(std::string_view body);

}  // namespace brasslift::telemetry
