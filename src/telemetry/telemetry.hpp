// The dispatcher's telemetry as a whole: meters, recorder and exporter, put together as the operators' file
// says.
#pragma once

#include <functional>
#include <string>

#include "plan/rules.hpp"
#include "telemetry/exporter.hpp"
#include "telemetry/recorder.hpp"

namespace brasslift::telemetry {

class Telemetry {
public:
    struct Who {
        std::string name, version;  // service.instance.id and the program's version
        Labels labels;
        std::uint64_t seed = 0;  // that differs with each process
    };
    // Throws std::invalid_argument where the rule's address cannot be read; the checker lets none through.
    Telemetry(runtime::Scheduler& scheduler, const Who& who, const plan::TelemetryRule& rule);

    // After a reload: what waits goes by the new rule.
    void change(const plan::TelemetryRule& rule);
    Recorder& recorder() { return recorder_; }
    Exporter& exporter() { return exporter_; }
    // A line of the program's log; `trace`: of the message that it is about, as a traceparent, or empty.
    void log(double wall_ms, std::string_view part, std::string_view text, std::string_view trace);
    // Called before each collection, to set levels.
    void levels_by(std::function<void(Meters&)> levels) { levels_ = std::move(levels); }
    // The process ends at that time: nothing waits for a batch to fill any more. `last`: nothing follows.
    void hurry(Time until, bool last);

    runtime::Task<void> run() { return exporter_.run(); }
    // Measures how late the loop's timers are, and follows the wall clock.
    runtime::Task<void> watch();
    // Makes spans of what the core told, once the calls that it made have gone.
    runtime::Task<void> settle();

private:
    Meters::Collected collect();
    std::uint64_t wall_ns() const;

    runtime::Scheduler& scheduler_;
    Who who_;
    plan::TelemetryRule rule_;
    Meters meters_;
    Exporter exporter_;
    Recorder recorder_;
    runtime::Waker told_;
    std::function<void(Meters&)> levels_;
    std::uint64_t undecided_ = 0;  // spans lost before their message's end, as told so far
    double offset_ = 0;
};

}  // namespace brasslift::telemetry
