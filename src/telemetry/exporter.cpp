#include "telemetry/exporter.hpp"

#include <algorithm>
#include <utility>

#include "http/writer.hpp"
#include "runtime/log.hpp"
#include "telemetry/answer.hpp"
#include "telemetry/deflate.hpp"

namespace brasslift::telemetry {
namespace {

// What is compressed in one go: well under a millisecond.
constexpr std::size_t slice_bytes = 16 << 10;
// While the process ends, the pause between two tries; a wait that the collector told is kept.
constexpr double last_pause_ms = 50;

std::string_view path_of(Signal signal) {
    return signal == Signal::traces ? "/v1/traces" : signal == Signal::metrics ? "/v1/metrics" : "/v1/logs";
}

}  // namespace

Exporter::Exporter(runtime::Scheduler& scheduler, ExporterSettings settings, Source source,
                   std::uint64_t seed, Meters& meters)
    : scheduler_(scheduler),
      settings_(std::move(settings)),
      source_(std::move(source)),
      meters_(meters),
      waker_(scheduler),
      caller_(scheduler),
      spans_(settings_.span_bytes),
      records_(settings_.record_bytes),
      lanes_{Lane{Signal::traces, Delivery(settings_.delivery, seed), std::nullopt, 0},
             Lane{Signal::metrics, Delivery(settings_.delivery, seed + 1), std::nullopt, 0},
             Lane{Signal::logs, Delivery(settings_.delivery, seed + 2), std::nullopt, 0}},
      deflater_(std::make_unique<Deflater>()),
      next_collection_(scheduler.now() + settings_.metrics_ms) {
    spans_.tell_to([this] { on_news(spans_); });
    records_.tell_to([this] { on_news(records_); });
}

Exporter::~Exporter() = default;

// A first item starts the clock of its batch, a full batch goes at once; in between there is nothing to do.
void Exporter::on_news(const Queue& queue) {
    if (queue.size() == 1 || queue.size() == settings_.batch || queue.bytes() >= settings_.batch_bytes ||
        stopping_)
        waker_.notify();
}

void Exporter::change(ExporterSettings settings, Source source) {
    source_ = std::move(source);
    moved_ = moved_ || settings.collector != settings_.collector;
    next_collection_ = std::min(next_collection_, scheduler_.now() + settings.metrics_ms);
    settings_ = std::move(settings);
    spans_.limit(settings_.span_bytes);
    records_.limit(settings_.record_bytes);
    waker_.notify();
    caller_.nudge();
}

void Exporter::hurry(Time until, bool last) {
    stopping_ = true;
    last_ = last;
    last_until_ = until;
    waker_.notify();
    caller_.nudge();
}

bool Exporter::empty() const {
    return waiting() == 0 && (last_collected_ || !collect_ || settings_.metrics_ms <= 0) && !out_;
}

std::size_t Exporter::waiting() const {
    std::size_t sum = spans_.size() + records_.size();
    for (const auto& lane : lanes_) sum += lane.batch ? lane.batch->items : 0;
    return sum;
}

Queue* Exporter::queue_of(Signal signal) {
    return signal == Signal::traces ? &spans_ : signal == Signal::logs ? &records_ : nullptr;
}

// When a batch is due to be made of what waits.
Time Exporter::ready_at(const Lane& lane) const {
    const Time now = scheduler_.now();
    if (lane.signal == Signal::metrics) {
        if (!collect_ || settings_.metrics_ms <= 0) return runtime::never;
        return last_ ? (last_collected_ ? runtime::never : now) : next_collection_;
    }
    const auto& queue = lane.signal == Signal::traces ? spans_ : records_;
    if (queue.size() == 0) return runtime::never;
    if (stopping_ || queue.size() >= settings_.batch || queue.bytes() >= settings_.batch_bytes) return now;
    return queue.oldest() + settings_.batch_age_ms;
}

Time Exporter::due_at(const Lane& lane) const {
    const Time ready = lane.batch ? scheduler_.now() : ready_at(lane);
    Time allowed = lane.delivery.not_before();
    if (stopping_) allowed = std::max(lane.delivery.told_until(), std::min(allowed, scheduler_.now()));
    return std::max(ready, allowed);
}

void Exporter::fill(Lane& lane) {
    std::vector<std::string> items;
    std::size_t points = 0;
    if (lane.signal == Signal::metrics) {
        // Of counts that failed to be exported this much is known: they are in what is collected now.
        for (auto& other : lanes_) tell_crowded_out(other);
        auto collected = collect_();
        items = std::move(collected.items);
        points = collected.points;
        next_collection_ = scheduler_.now() + settings_.metrics_ms;
        last_collected_ = last_;
        if (items.empty()) return;
    } else {
        items = queue_of(lane.signal)->take(settings_.batch, settings_.batch_bytes);
    }
    lane.batch.emplace();
    lane.batch->items = points > 0 ? points : items.size();
    lane.batch->body = telemetry::request_of(source_, items);
}

void Exporter::tell_crowded_out(Lane& lane) {
    const auto* const queue = queue_of(lane.signal);
    if (queue == nullptr) return;
    meters_.exported(lane.signal, Exported::crowded_out, queue->dropped() - lane.crowded_out);
    lane.crowded_out = queue->dropped();
}

runtime::Task<void> Exporter::compress(Batch& batch) {
    std::string packed;
    bool good = deflater_->begin();
    const std::string_view whole = batch.body;
    for (std::size_t at = 0; good && at < whole.size(); at += slice_bytes) {
        good = deflater_->add(whole.substr(at, slice_bytes), at + slice_bytes >= whole.size(), packed);
        co_await waker_.wait(scheduler_.now());  // whoever else is ready has its turn
    }
    if (!good) co_return;
    packed.shrink_to_fit();
    batch.body = std::move(packed);
    batch.gzipped = true;
}

std::string Exporter::request_of(const Lane& lane) const {
    http::HeaderList headers{{"Host", settings_.host},
                             {"Content-Type", "application/x-protobuf"},
                             {"User-Agent", "brasslift/" + source_.version}};
    if (lane.batch->gzipped) headers.emplace_back("Content-Encoding", "gzip");
    for (const auto& [name, value] : settings_.headers) headers.emplace_back(name, value);
    return http::write_request("POST", path_of(lane.signal), headers, lane.batch->body);
}

runtime::Task<void> Exporter::run() {
    for (;;) {
        if (std::exchange(moved_, false)) {
            caller_.close();
            for (auto& lane : lanes_) lane.delivery.start_anew();
        }
        Lane* first = nullptr;
        Time next = runtime::never;
        for (auto& lane : lanes_) {
            const Time due = due_at(lane);
            if (due < next) next = due, first = &lane;
        }
        const Time now = scheduler_.now();
        if (first == nullptr || next > now || now >= last_until_) {
            co_await waker_.wait(now >= last_until_ ? runtime::never : next);
            continue;
        }
        auto& lane = *first;
        if (!lane.batch) fill(lane);
        if (!lane.batch) continue;
        out_ = true;
        auto& batch = *lane.batch;
        if (!batch.begun) {
            batch.begun = true;
            lane.delivery.begin(now);
            if (settings_.gzip) co_await compress(batch);
        }
        const auto end = co_await post(lane);
        settle(lane, end);
        out_ = false;
        // No try after the other in the same moment.
        if (stopping_ && lane.batch)
            co_await runtime::sleep_until(scheduler_, scheduler_.now() + last_pause_ms);
    }
}

// One batch is counted once, whatever the number of its calls.
void Exporter::settle(Lane& lane, const CallEnd& end) {
    note(end);
    const auto before = lane.delivery.rejected();
    const auto items = lane.batch->items;
    switch (lane.delivery.end(scheduler_.now(), end)) {
        case Delivery::Fate::again: return;
        case Delivery::Fate::taken: {
            const auto rejected = std::min<std::uint64_t>(items, lane.delivery.rejected() - before);
            meters_.exported(lane.signal, Exported::rejected, rejected);
            meters_.exported(lane.signal, Exported::sent, items - rejected);
            break;
        }
        case Delivery::Fate::dropped: {
            meters_.exported(lane.signal, may_go_again(end.status) ? Exported::expired : Exported::refused,
                             items);
            runtime::log("telemetry", "the collector did not take %zu items (%s, status %d)", items,
                         std::string(name_of(lane.signal)).c_str(), end.status);
            break;
        }
    }
    lane.batch.reset();
}

// A line where it changes, not one for each call.
void Exporter::note(const CallEnd& end) {
    const bool well = end.status >= 200 && end.status < 300;
    if (well != std::exchange(well_, well)) {
        if (well)
            runtime::log("telemetry", "the collector takes again");
        else
            runtime::log("telemetry", "the collector does not answer as it should (status %d)", end.status);
    }
}

CallEnd Exporter::read(Signal signal, const http::Message& answer) {
    CallEnd end;
    end.status = answer.status;
    if (const auto* const after = answer.headers.find("Retry-After"))
        end.retry_after_ms = read_retry_after(*after);
    if (answer.status >= 200 && answer.status < 300) {
        const auto partial = read_partial_success(answer.body);
        end.rejected = partial.rejected;
        if (partial.rejected > 0 || !partial.text.empty())
            runtime::log("telemetry", "the collector rejected %lld items (%s): %s",
                         static_cast<long long>(partial.rejected), std::string(name_of(signal)).c_str(),
                         partial.text.c_str());
    }
    return end;
}

runtime::Task<CallEnd> Exporter::post(const Lane& lane) {
    const Time until = scheduler_.now() + settings_.timeout_ms;
    // The process may be told to end meanwhile, then there is less time; and what a collector makes of a call
    // that it no longer gets concerns nobody.
    const auto limit = [this, until] {
        return moved_ ? Time{0} : std::min(until, std::max(last_until_, scheduler_.now()));
    };
    auto answer = co_await caller_.call(settings_.collector, request_of(lane), limit);
    if (!answer) co_return CallEnd{};
    co_return read(lane.signal, *answer);
}

}  // namespace brasslift::telemetry
