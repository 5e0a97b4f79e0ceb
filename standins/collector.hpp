// A stand-in for an OpenTelemetry collector, written from the public OTLP/HTTP specification: takes traces,
// metrics and log records on loopback, decodes and keeps them, and misbehaves as it is told. For tests and
// measurements.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "opentelemetry/proto/collector/logs/v1/logs_service.pb.h"
#include "opentelemetry/proto/collector/metrics/v1/metrics_service.pb.h"
#include "opentelemetry/proto/collector/trace/v1/trace_service.pb.h"

namespace brasslift::standins {

// What becomes of one request.
struct Behaviour {
    enum class Kind {
        take,     // kept, 200
        slow,     // kept, and answered 200 after `ms`
        silent,   // not kept, and never answered
        reset,    // not kept: reset after half of the body has come
        status,   // not kept: `status`, with Retry-After where `text` says
        partial,  // kept, 200 with a partial success that rejects `rejected` and says `text`
        garbage,  // kept, and answered with bytes that are no HTTP
        spoilt,   // kept, 200 with a body that is no protobuf
    };
    Kind kind = Kind::take;
    double ms = 0;
    int status = 0;
    std::int64_t rejected = 0;
    std::string text;
};
// "take", "slow 300", "silent", "reset", "status 503", "status 429 2" (Retry-After: 2), "partial 3",
// "garbage", "spoilt".
Behaviour behaviour_of(const std::string& words);

struct Span {
    std::string trace, id, parent, name, state;  // ids in hexadecimal
    int kind = 0, status = 0;
    std::uint64_t start = 0, end = 0;
    std::map<std::string, std::string> attributes;
    std::vector<std::string> events;
    std::vector<std::pair<std::string, std::string>> links;  // trace and span
};

struct Point {
    std::string metric;
    std::map<std::string, std::string> attributes;
    bool cumulative = false;
    std::uint64_t start = 0, time = 0;
    double value = 0;         // of a gauge or sum
    std::uint64_t count = 0;  // of a histogram
    double sum = 0;
};

struct Record {
    std::string body, trace, span, severity;
};

struct Kept {
    std::vector<Span> spans;
    std::vector<Point> points;
    std::vector<Record> records;
    std::map<std::string, std::string> resource;  // of the latest request
    std::vector<std::string> requests;            // every one, kept or not: its path, and what became of it
    std::map<std::string, std::string> headers;   // of the latest, names in small letters
    std::size_t connections = 0, most_open = 0;
    std::size_t bytes = 0, body_bytes = 0, whole_bytes = 0;  // read; of bodies; of bodies before compression
    std::size_t faults = 0;  // requests that were none, or could not be decoded

    // The latest value of a point with these attributes among its own; -1: there is none.
    double latest(const std::string& metric, const std::map<std::string, std::string>& attributes = {}) const;
};

class Collector {
public:
    // `file`: where each kept request is appended as a line of JSON; empty: nowhere.
    explicit Collector(std::string file = "");
    ~Collector();
    Collector(const Collector&) = delete;
    Collector& operator=(const Collector&) = delete;

    std::string address() const;
    // From now on; `times`: for so many requests, then as it was told before.
    void behave(const Behaviour& behaviour, int times = -1);
    // Nobody listens, and what was open is closed; or listens again at the same address.
    void down();
    void up();

    Kept kept() const;
    // Whether it came to be so within the time.
    bool until(const std::function<bool(const Kept&)>& so, int ms = 5000) const;

private:
    using Clock = std::chrono::steady_clock;
    struct Connection;
    void listen();
    void run();
    void hear(Connection& c);
    void take(Connection& c, const std::string& path, const std::string& body);
    void answer(Connection& c, const Behaviour& behaviour);
    Behaviour next();
    bool keep(const std::string& path, const std::string& body);
    void keep(const opentelemetry::proto::collector::trace::v1::ExportTraceServiceRequest& request);
    void keep(const opentelemetry::proto::collector::metrics::v1::ExportMetricsServiceRequest& request);
    void keep(const opentelemetry::proto::collector::logs::v1::ExportLogsServiceRequest& request);

    std::string file_;
    mutable std::mutex mutex_;
    Kept kept_;
    Behaviour standing_;
    std::deque<Behaviour> script_;
    int listener_ = -1, wake_ = -1;
    std::uint16_t port_ = 0;
    bool down_ = false, over_ = false;
    std::list<Connection> connections_;
    std::thread thread_;
};

}  // namespace brasslift::standins
