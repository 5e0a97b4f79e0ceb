#include "telemetry/meters.hpp"

#include <utility>

namespace brasslift::telemetry {
namespace {

enum CounterPlace : std::size_t { taken_at, refused_at, ended_at, retried_at, waits_at, exported_at };
enum HistogramPlace : std::size_t { duration_at, attempt_at, queue_at, wait_at, lag_at };

constexpr std::string_view class_key = "brasslift.class", tenant_key = "brasslift.tenant",
                           destination_key = "messaging.destination.name";

// Numbers of series: of a class and something of less than 2^48, and of three, the last from a short list.
std::uint64_t packed(std::uint16_t message_class, std::uint64_t other) {
    return std::uint64_t{message_class} << 48 | other;
}
std::uint64_t packed(std::uint16_t message_class, DestinationId destination, std::uint64_t outcome) {
    return std::uint64_t{message_class} << 48 | std::uint64_t{destination} << 16 | outcome;
}

}  // namespace

std::string Labels::class_of(std::uint16_t place) const {
    return place < classes.size() ? classes[place] : std::to_string(place);
}

std::string Labels::tenant_of(std::uint16_t place) const {
    return place < tenants.size() ? tenants[place] : std::to_string(place);
}

std::string_view name_of(Signal signal) {
    return signal == Signal::traces ? "traces" : signal == Signal::metrics ? "metrics" : "logs";
}

std::string_view name_of(Exported fate) {
    switch (fate) {
        case Exported::sent: return "sent";
        case Exported::rejected: return "rejected";        // by a partial success
        case Exported::refused: return "refused";          // with its whole batch
        case Exported::expired: return "expired";          // no collector for too long
        case Exported::crowded_out: return "crowded_out";  // the queue was full
        case Exported::undecided: return "undecided";      // no room until the message's end
    }
    return "";
}

Meters::Meters(Labels labels, const Settings& settings, std::uint64_t start)
    : labels_(std::move(labels)), settings_(settings), start_(start) {
    build();
}

void Meters::change(const Settings& settings, std::uint64_t now) {
    if (settings.series == settings_.series && settings.temporality == settings_.temporality) return;
    settings_ = settings;
    start_ = now;
    build();
}

void Meters::build() {
    const auto counter = [&](std::string_view name, std::string_view unit, std::string_view text) {
        counters_.push_back({name, unit, text, Series<std::uint64_t>(settings_.series), {}});
    };
    const auto histogram = [&](std::string_view name, std::string_view text) {
        histograms_.push_back({name, "s", text, Series<ExponentialHistogram>(settings_.series), {}});
    };
    counters_.clear();
    histograms_.clear();
    counter("brasslift.messages.taken", "{message}", "Messages taken on");
    counter("brasslift.messages.refused", "{message}", "Messages not taken on, by reason");
    counter("brasslift.messages.ended", "{message}", "Final answers, by outcome");
    counter("brasslift.retries", "{attempt}", "Attempts beyond a message's first");
    counter("brasslift.told_waits", "{wait}", "Waits that hosts told");
    counter("brasslift.telemetry.items", "{item}", "Spans, points and log records, by what became of them");
    histogram("brasslift.message.duration", "From hand-in to the final answer");
    histogram("brasslift.attempt.duration", "From the decision to an attempt's outcome");
    histogram("brasslift.queue.duration", "For which a message that could be sent waited for its turn");
    histogram("brasslift.told_wait.duration", "As hosts told them");
    histogram("brasslift.event_loop.lag", "By which a timer came late");
}

std::uint64_t Meters::number_of(Numbers& numbers, std::string_view text) {
    if (const auto found = numbers.find(text); found != numbers.end()) return found->second;
    return numbers.emplace(std::string(text), numbers.size() + 1).first->second;
}

void Meters::taken(std::uint16_t message_class, std::uint16_t tenant) {
    ++counters_[taken_at].at(packed(message_class, tenant), [&] {
        return SeriesKey{{std::string(class_key), labels_.class_of(message_class)},
                         {std::string(tenant_key), labels_.tenant_of(tenant)}};
    });
}

void Meters::refused(std::uint16_t message_class, std::string_view why) {
    ++counters_[refused_at].at(packed(message_class, number_of(reasons_, why)), [&] {
        return SeriesKey{{std::string(class_key), labels_.class_of(message_class)},
                         {"brasslift.reason", std::string(why)}};
    });
}

void Meters::ended(std::uint16_t message_class, DestinationId destination, std::string_view outcome,
                   double ms) {
    const auto outcome_number = number_of(outcomes_, outcome);
    ++counters_[ended_at].at(packed(message_class, outcome_number), [&] {
        return SeriesKey{{std::string(class_key), labels_.class_of(message_class)},
                         {"brasslift.outcome", std::string(outcome)}};
    });
    histograms_[duration_at]
        .at(packed(message_class, destination, outcome_number),
            [&] {
                return SeriesKey{{std::string(class_key), labels_.class_of(message_class)},
                                 {"brasslift.outcome", std::string(outcome)},
                                 {std::string(destination_key), std::to_string(destination)}};
            })
        .record(ms / 1000);
}

void Meters::attempt(std::uint64_t endpoint, std::string_view address, std::string_view result, double ms) {
    auto& histogram = histograms_[attempt_at];
    histogram
        .at(endpoint << 16 | number_of(outcomes_, result),
            [&] {
                return SeriesKey{{"brasslift.result", std::string(result)},
                                 {"server.address", std::string(address)}};
            })
        .record(ms / 1000);
}

void Meters::retried(DestinationId destination) {
    ++counters_[retried_at].at(destination, [&] {
        return SeriesKey{{std::string(destination_key), std::to_string(destination)}};
    });
}

void Meters::told_wait(DestinationId destination, double ms) {
    const auto key = [&] { return SeriesKey{{std::string(destination_key), std::to_string(destination)}}; };
    ++counters_[waits_at].at(destination, key);
    histograms_[wait_at].at(destination, key).record(ms / 1000);
}

void Meters::queued(DestinationId destination, double ms) {
    histograms_[queue_at]
        .at(destination,
            [&] {
                return SeriesKey{{std::string(destination_key), std::to_string(destination)}};
            })
        .record(ms / 1000);
}

void Meters::lag(double ms) {
    histograms_[lag_at].at(0, [] { return SeriesKey(); }).record(ms / 1000);
}

void Meters::exported(Signal signal, Exported fate, std::uint64_t items) {
    if (items == 0) return;
    counters_[exported_at].at(packed(0, static_cast<std::uint64_t>(signal), static_cast<std::uint64_t>(fate)),
                              [&] {
                                  return SeriesKey{{"brasslift.fate", std::string(name_of(fate))},
                                                   {"brasslift.signal", std::string(name_of(signal))}};
                              }) += items;
}

void Meters::level(std::string_view gauge, double value) { levels_[gauge] = value; }

void Meters::windows(const std::map<DestinationId, double>& by_destination) { windows_ = by_destination; }

Meters::Collected Meters::collect(std::uint64_t now) {
    Collected collected;
    const auto take = [&](const Metric& metric) {
        collected.items.push_back(encode_item(metric));
        collected.points += metric.points.size();
    };
    const bool delta = settings_.temporality == Temporality::delta;
    // A clock that was set back: no interval ends before it begins.
    now = std::max(now, start_);
    const auto add = [&](const auto& instrument, Metric::Kind kind, auto fill) {
        if (instrument.series.points().empty()) return;
        Metric metric{instrument.name,
                      instrument.unit,
                      instrument.description,
                      kind,
                      settings_.temporality,
                      true,
                      start_,
                      now,
                      {}};
        for (const auto& [key, point] : instrument.series.points()) fill(metric, key, point);
        take(metric);
    };
    for (const auto& counter : counters_)
        add(counter, Metric::Kind::sum, [](Metric& metric, const SeriesKey& key, std::uint64_t point) {
            metric.points.push_back({&key, static_cast<double>(point), true, nullptr});
        });
    for (const auto& histogram : histograms_)
        add(histogram, Metric::Kind::histogram,
            [](Metric& metric, const SeriesKey& key, const ExponentialHistogram& point) {
                metric.points.push_back({&key, 0, false, &point});
            });
    const SeriesKey none;
    for (const auto& [name, value] : levels_) {
        Metric metric{name, "", "", Metric::Kind::gauge, settings_.temporality, false, 0, now, {}};
        metric.points.push_back({&none, value, true, nullptr});
        take(metric);
    }
    if (!windows_.empty()) {
        Series<double> series(settings_.series);
        for (const auto& [destination, window] : windows_)
            series.at({{std::string(destination_key), std::to_string(destination)}}) += window;
        Metric metric{"brasslift.destination.window",
                      "{call}",
                      "Calls at a time that the hosts' windows allow",
                      Metric::Kind::gauge,
                      settings_.temporality,
                      false,
                      0,
                      now,
                      {}};
        for (const auto& [key, value] : series.points())
            metric.points.push_back({&key, value, false, nullptr});
        take(metric);
    }
    if (delta) {
        for (auto& counter : counters_) counter.clear();
        for (auto& histogram : histograms_) histogram.clear();
        start_ = now;
    }
    return collected;
}

std::size_t Meters::series() const {
    std::size_t sum = 0;
    for (const auto& counter : counters_) sum += counter.series.points().size();
    for (const auto& histogram : histograms_) sum += histogram.series.points().size();
    return sum;
}

}  // namespace brasslift::telemetry
