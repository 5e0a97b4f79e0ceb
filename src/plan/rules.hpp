// What a configuration says, as plain values: already checked, names of destinations resolved to numbers.
// Times are milliseconds, rates are per second, shares are parts of one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::plan {

constexpr int none = -1;

struct Pattern {
    std::string text;
    bool prefix = false;  // of a name; else the whole of it
    bool matches(const std::string& name) const { return prefix ? name.starts_with(text) : name == text; }
};

// Destinations from..to. `exactness` orders them by how they were said: greater is more exact.
struct Span {
    DestinationId from = 0, to = 0;
    std::uint64_t exactness = 0;
};
// Numbers and whole names before ranges, narrower ranges first, before beginnings of names, longer first.
constexpr std::uint64_t all_destinations = std::uint64_t{1} << 32;  // how many there can be
constexpr std::uint64_t exact_number = all_destinations << 2;
constexpr std::uint64_t exactness_of_range(std::uint64_t width) {
    return all_destinations << 1 | (all_destinations - width);
}
constexpr std::uint64_t exactness_of_prefix(std::size_t length) { return 1 + length; }

// An empty list matches everything.
struct Match {
    std::vector<Pattern> classes, tenants;
    std::vector<Span> destinations;
    bool nothing = false;  // names and labels that no destination has
};

struct PoolRule {
    std::string name;
    std::optional<std::uint32_t> connections_per_host, calls_per_host, idle_total;
    std::optional<double> dial_timeout_ms, idle_ms;
};

struct RouteRule {
    std::string name;
    Match match;
    int priority = 0;
    int pool = none;
    std::optional<double> refuse_pause_ms;
};

enum class Dimension : std::uint8_t { tenant, message_class, destination, route };

struct Guarantee {
    Dimension of = Dimension::tenant;  // a tenant, a class or a route
    std::string name;
    double part = 0;
};

struct LimitRule {
    std::string name;
    Match match;
    int route = none;           // only messages of that route
    std::vector<Dimension> by;  // sorted, each once
    double rate = 0;            // 0: not limited
    double burst = 0;
    std::uint64_t held = 0, held_bytes = 0;  // 0: not limited
    std::vector<Guarantee> guarantees;
    double lend = 0.5;
    double horizon_ms = 30000;
    bool shared = false;  // the rate and its burst are all members' together
};

struct RetryBudget {
    double part = 0, least = 1, saved = 100;
};

struct PolicyRule {
    std::string name;
    Match match;
    int route = none;
    std::optional<double> deadline_ms;
    std::optional<int> attempts;
    std::optional<RetryBudget> budget;
};

// What the entries of a named list are and do; the values are the schema's, and travel between members.
enum class ListKind : std::uint8_t {
    none,
    destinations_shut,
    tenants_barred,
    tenants_capped,
    endpoints_kept_out
};

struct ListRule {
    std::string name;
    ListKind kind = ListKind::none;
    double pause_ms = 1000;  // after which to come again
};

struct Bounds {
    std::size_t head = 16 * 1024, body = 64 * 1024;
    double request_ms = 2600;
    double client_descriptors = 0.5, idle_descriptors = 0.25, request_memory = 0.0625;
    std::size_t limiter_keys = 20000, bookings = 1024;
};

// What is told to a collector, and how; absent: nothing is.
struct TelemetryRule {
    std::string collector;  // "127.0.0.1:4318"
    std::vector<std::pair<std::string, std::string>> headers, resource;
    bool gzip = true;
    double timeout_ms = 10000, batch_age_ms = 5000, keep_trying_ms = 300000;
    std::size_t batch = 512, queue_bytes = 4 << 20;
    bool traces = true, keep_failed = true, keep_deferred = true;
    double ratio = 1, keep_longer_ms = 0, shortest_queue_ms = 10;
    int keep_attempts_above = 3;
    std::size_t pending_bytes = 2 << 20;
    bool metrics = true, delta = false;
    double interval_ms = 10000;
    std::size_t series = 1000;
    bool logs = true;
};

// How the store keeps what it is given; at the next start.
struct StoreRule {
    // What a machine's end may take: all since its start; nothing that was acknowledged (the other two).
    enum class Durability : std::uint8_t { none, interval, each } durability = Durability::none;
    double interval_ms = 10;
    bool compress = false;
};

// The dispatchers that agree on rules; absent: this one acts alone.
struct MembersRule {
    struct Member {
        std::string name, address;
        bool voter = false;
    };
    std::string cluster;
    std::vector<Member> members;
    static constexpr int most_members = 1000;
    double contradiction_ms = 3000;
    bool refuse_routes = true, refuse_limits = true, refuse_policies = false,
         refuse_lists = true;  // without a lease
    bool synced = false;
    bool shares_list = false, shares_hosts = false;  // of discovery: states; endpoints that are not known too
};
struct Rules {
    std::vector<PoolRule> pools;
    std::vector<RouteRule> routes;
    std::vector<LimitRule> limits;
    std::vector<PolicyRule> policies;
    std::vector<ListRule> lists;
    Bounds bounds;
    std::optional<TelemetryRule> telemetry;
    StoreRule store;
    std::optional<MembersRule> members;
    bool json_log = false;
};

// The classes and tenants that there are, by their place in the dispatcher's settings.
struct Names {
    std::vector<std::string> classes, tenants;
};

struct Subject {
    std::uint16_t message_class = 0, tenant = 0;
    DestinationId destination = 0;
};

}  // namespace brasslift::plan
