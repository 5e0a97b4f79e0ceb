// The clock of records: milliseconds of the Unix epoch that go on as the steady clock does, whatever is done
// to the wall clock meanwhile, also over restarts. A process takes the wall clock's offset once and keeps it
// in the store; every later process of the same boot goes by it, so that a deadline that was written before a
// step of the wall clock still ends after its span of real time.
// Threads: the loop's. Errors: where the store does not take the offset, the next start takes a new one.
#pragma once

#include <optional>
#include <string>

#include "store/store.hpp"

namespace brasslift::dispatch {

// What a process sees of its clocks at one moment. Steady clocks can be compared within one boot.
struct ClockReading {
    double steady_ms = 0, wall_ms = 0;
    std::string boot;  // empty: unknown, and compared with none
};

// The offset as it is kept, with when it was.
struct ClockAnchor {
    double offset_ms = 0;  // wall less steady
    double steady_ms = 0;
    std::string boot;
};

// Whether the kept offset still holds: the same boot, and a steady clock that has not gone back.
bool still_holds(const ClockAnchor& kept, const ClockReading& now);

class RealTime {
public:
    // By this process's wall clock, until load().
    RealTime();
    // The store's offset where it still holds; else this process's, which is written.
    void load(store::Store& store);
    double now() const;

private:
    ClockReading reading_;
    double offset_ms_;
};

}  // namespace brasslift::dispatch
