// When the watch of discovery's list is opened again; a decision without I/O (docs/design/fleet.md).
//
// Discovery serves the whole fleet, ends each watch after a while and refuses calls (503) when more come
// than it serves. Each dispatcher opening its watch again on one fixed schedule is harmless alone; a hundred
// that were started or killed together do it in step, and the refused calls use up what discovery serves, so
// that most of the fleet hears no change at all. A refusal doubles the pause, every pause is drawn from a
// spread around it, and only a heard watch shortens it again, by a step.
//
// Discovery also holds only so many watches at once: those who got one at the start keep it all day, and the
// rest of a large fleet is refused every later call. So in a large fleet (by the settings' `instances`) a
// watch is let go once its first object, the changes since the version asked for, has come, and asked for
// again after a pause of its own: every dispatcher hears each change within a few seconds.
// Units: milliseconds. Errors: none; a pause is always finite, within [0, longest_ms x spread_high].
// A small fleet keeps its watch open and re-asks as before, with the spread only.
#pragma once

#include <cstdint>
#include <random>

namespace brasslift::cluster {

enum class WatchEnd {
    heard,       // lines came, then the watch ended or fell silent
    refused,     // an answer other than 200: discovery is overbooked or shut
    unreachable  // no connection, or it ended before any line
};

class WatchPace {
public:
    // After a heard watch of a small fleet, and its longest pause, as they were before large fleets.
    static constexpr double first_ms = 100, longest_small_ms = 2000;
    // The longest pause of a large fleet, before the spread.
    static constexpr double longest_ms = 8000;
    // In a large fleet a heard watch takes so much off the pause: the fleet comes back to discovery slowly,
    // as it went away fast. A small fleet starts again from first_ms.
    static constexpr double heard_keeps = 0.75;
    // The spread, as shares of the pause: wide enough that a fleet which started together falls apart.
    static constexpr double spread_low = 0.5, spread_high = 1.5;

    // A fleet of more than so many dispatchers shares discovery as a large one.
    static constexpr int many_senders = 10;
    // In a large fleet, the least pause between two calls: with the spread, a change is heard within 3 s
    // unless calls are refused, well within the 6 s after which it counts as told anyway.
    static constexpr double poll_ms = 2000;

    WatchPace(std::uint64_t seed, int senders)
        : many_(senders > many_senders), pause_ms_(floor_ms()), random_(seed) {}
    // Whether a watch is let go once its first object has come.
    bool lets_go() const { return many_; }
    // The pause before the next watch, after one that ended so. `told_ms`: a Retry-After in ms, 0: none; it
    // is kept to as a least pause.
    double after(WatchEnd end, double told_ms = 0);
    // Discovery was moved: its load is another one's, begin anew.
    void reset() { pause_ms_ = floor_ms(); }
    double pause_ms() const { return pause_ms_; }  // before the spread

private:
    double floor_ms() const { return many_ ? poll_ms : first_ms; }
    double ceiling_ms() const { return many_ ? longest_ms : longest_small_ms; }
    bool many_;
    double pause_ms_;
    std::mt19937_64 random_;  // each process from its own seed, so that two started together part at once
};

}  // namespace brasslift::cluster
