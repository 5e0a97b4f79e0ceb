// Sends what was recorded to a collector over OTLP/HTTP: one connection, one request at a time. Source: the
// OTLP specification, version 1. A collector that is slow, silent or gone costs its queue and nothing else.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "client/caller.hpp"
#include "runtime/mailbox.hpp"
#include "telemetry/delivery.hpp"
#include "telemetry/encode.hpp"
#include "telemetry/meters.hpp"
#include "telemetry/queue.hpp"

namespace brasslift::telemetry {

struct ExporterSettings {
    runtime::Address collector;
    std::string host;                                          // as the Host header names it
    std::vector<std::pair<std::string, std::string>> headers;  // may be secret: never logged
    bool gzip = true;
    double timeout_ms = 10000;  // of one request
    std::size_t batch = 512;    // items in one
    std::size_t batch_bytes = 256 << 10;
    double batch_age_ms = 5000;                                // after which a smaller one goes
    double metrics_ms = 10000;                                 // between collections; 0: none
    std::size_t span_bytes = 4 << 20, record_bytes = 1 << 20;  // that may wait
    DeliverySettings delivery;
};

class Deflater;

class Exporter {
public:
    Exporter(runtime::Scheduler& scheduler, ExporterSettings settings, Source source, std::uint64_t seed,
             Meters& meters);
    ~Exporter();

    Queue& spans() { return spans_; }
    Queue& records() { return records_; }
    // Asked for the metrics of the moment.
    using Collect = std::function<Meters::Collected()>;
    void collect_by(Collect collect) { collect_ = std::move(collect); }

    // Another collector or other bounds: what waits goes there, and so does a batch that is out.
    void change(ExporterSettings settings, Source source);
    // The process ends at that time: nothing waits for a batch to fill or for this side's own pauses any
    // more. `last`: nothing follows, and the metrics are collected once more.
    void hurry(Time until, bool last);
    bool empty() const;
    // Items that wait or are out.
    std::size_t waiting() const;
    runtime::Task<void> run();

private:
    struct Batch {
        std::string body;
        std::size_t items = 0;
        bool begun = false, gzipped = false;
    };
    struct Lane {
        Signal signal;
        Delivery delivery;
        std::optional<Batch> batch;
        std::uint64_t crowded_out = 0;  // of its queue, as told so far
    };
    Queue* queue_of(Signal signal);
    Time ready_at(const Lane& lane) const;
    Time due_at(const Lane& lane) const;
    void fill(Lane& lane);
    void settle(Lane& lane, const CallEnd& end);
    void tell_crowded_out(Lane& lane);
    void on_news(const Queue& queue);
    runtime::Task<void> compress(Batch& batch);
    runtime::Task<CallEnd> post(const Lane& lane);
    std::string request_of(const Lane& lane) const;
    CallEnd read(Signal signal, const http::Message& answer);
    void note(const CallEnd& end);

    runtime::Scheduler& scheduler_;
    ExporterSettings settings_;
    Source source_;
    Meters& meters_;
    runtime::Waker waker_;
    client::Caller caller_;
    Queue spans_, records_;
    Collect collect_;
    std::array<Lane, 3> lanes_;
    std::unique_ptr<Deflater> deflater_;
    Time next_collection_ = 0, last_until_ = runtime::never;
    bool moved_ = false, stopping_ = false, last_ = false, last_collected_ = false, out_ = false;
    bool well_ = true;  // as the log was told
};

}  // namespace brasslift::telemetry
