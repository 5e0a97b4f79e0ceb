// The dispatcher's instruments: counters, gauges and histograms by small numbers, with their names only where
// a series begins. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "brasslift/sender.hpp"
#include "telemetry/encode.hpp"
#include "telemetry/metrics.hpp"

namespace brasslift::telemetry {

// Classes and tenants by their place, as the dispatcher's config has them.
struct Labels {
    std::vector<std::string> classes, tenants;
    std::string class_of(std::uint16_t place) const;
    std::string tenant_of(std::uint16_t place) const;
};

enum class Signal : std::uint8_t { traces, metrics, logs };
constexpr std::array<Signal, 3> all_signals{Signal::traces, Signal::metrics, Signal::logs};
std::string_view name_of(Signal signal);

// What became of an item that was to be exported.
enum class Exported : std::uint8_t { sent, rejected, refused, expired, crowded_out, undecided };
std::string_view name_of(Exported fate);

class Meters {
public:
    struct Settings {
        std::size_t series = 1000;  // of each instrument
        Temporality temporality = Temporality::cumulative;
    };
    // `start`: nanoseconds of the Unix epoch, from which cumulative series count.
    Meters(Labels labels, const Settings& settings, std::uint64_t start);
    // Series begin anew; gauges and names stay.
    void change(const Settings& settings, std::uint64_t now);

    // Times in milliseconds; they are told in seconds.
    void taken(std::uint16_t message_class, std::uint16_t tenant);
    void refused(std::uint16_t message_class, std::string_view why);
    void ended(std::uint16_t message_class, DestinationId destination, std::string_view outcome, double ms);
    void attempt(std::uint64_t endpoint, std::string_view address, std::string_view result, double ms);
    void retried(DestinationId destination);
    void told_wait(DestinationId destination, double ms);
    void queued(DestinationId destination, double ms);
    void lag(double ms);
    void exported(Signal signal, Exported fate, std::uint64_t items);
    // Last values.
    void level(std::string_view gauge, double value);
    void windows(const std::map<DestinationId, double>& by_destination);

    // All series as metrics in a request; `now` in nanoseconds. Delta series begin anew.
    struct Collected {
        std::vector<std::string> items;
        std::size_t points = 0;
    };
    Collected collect(std::uint64_t now);
    std::size_t series() const;

private:
    template <class Point>
    struct Instrument {
        std::string_view name, unit, description;
        Series<Point> series;
        std::unordered_map<std::uint64_t, Point*>
            known;  // by the caller's numbers; nodes stay where they are
        template <class Key>
        Point& at(std::uint64_t number, Key key) {
            // The series are bounded, and what is known of them must be too: destinations and hosts come
            // without end.
            constexpr std::size_t most_known = 4096;
            if (known.size() >= most_known) known.clear();
            auto& place = known[number];
            if (place == nullptr) place = &series.at(key());
            return *place;
        }
        void clear() {
            known.clear();
            series.clear();
        }
    };
    using Counter = Instrument<std::uint64_t>;
    using Histogram = Instrument<ExponentialHistogram>;
    void build();
    using Numbers = std::map<std::string, std::uint64_t, std::less<>>;
    static std::uint64_t number_of(Numbers& numbers, std::string_view text);

    Labels labels_;
    Settings settings_;
    std::uint64_t start_ = 0;
    std::vector<Counter> counters_;
    std::vector<Histogram> histograms_;
    std::map<std::string_view, double> levels_;
    std::map<DestinationId, double> windows_;
    Numbers reasons_;   // rules' names among them
    Numbers outcomes_;  // a short list, of results too
};

}  // namespace brasslift::telemetry
