// Trace context and spans as values. Source: W3C Trace Context (level 1) and the OTLP specification's model.
// No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace brasslift::telemetry {

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;

// What one hop tells the next. `state` is passed on as it came.
struct Context {
    TraceId trace{};
    SpanId span{};
    bool sampled = false;
    std::string state;
};

// The longest tracestate that is passed on (the recommendation's 512 bytes and 32 members), and the longest
// header that is looked at at all. What is longer is dropped from its end, member by member; the trace goes
// on without it.
constexpr std::size_t most_state = 512, most_state_members = 32, most_header = 8192;

// Nothing where the header is malformed: then a new trace begins. Versions from 01 on are read as far as 00
// goes.
std::optional<Context> read_traceparent(std::string_view header);
std::string write_traceparent(const Context& context);
std::string hex_of(const TraceId& id);
std::string hex_of(const SpanId& id);
// What may be passed on of a tracestate: well-formed members, each key once, within the bounds; empty where
// the header is not well-formed as a whole.
std::string read_tracestate(std::string_view header);

// Ids from a seed that differs with each process. Never zero.
class Ids {
public:
    explicit Ids(std::uint64_t seed) : random_(seed) {}
    TraceId trace();
    SpanId span();

private:
    std::mt19937_64 random_;
};

using Value = std::variant<std::string, std::int64_t, double, bool>;
// Keys are the conventions' and outlive whatever carries them; a key from elsewhere is interned first.
struct Attribute {
    std::string_view key;
    Value value;
};
// The same text for as long as the process lives; for the few keys that settings bring.
std::string_view interned(std::string_view text);

// Times are nanoseconds of the Unix epoch.
struct SpanEvent {
    std::uint64_t at = 0;
    std::string name;
    std::vector<Attribute> attributes;
};

struct Link {
    TraceId trace{};
    SpanId span{};
    std::vector<Attribute> attributes;
};

enum class SpanKind : std::uint8_t { internal = 1, server = 2, client = 3, producer = 4, consumer = 5 };
enum class Status : std::uint8_t { unset = 0, ok = 1, error = 2 };

struct Span {
    TraceId trace{};
    SpanId id{}, parent{};  // a parent of zeros: none
    std::string name, state;
    SpanKind kind = SpanKind::internal;
    std::uint64_t start = 0, end = 0;
    Status status = Status::unset;
    std::string message;  // of the status
    std::vector<Attribute> attributes;
    std::vector<SpanEvent> events;
    std::vector<Link> links;

    // What it holds of the memory that spans share.
    std::size_t bytes() const;
};

}  // namespace brasslift::telemetry
