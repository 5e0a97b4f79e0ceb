// When the watch of discovery's list is opened again, and how long one is waited for; a decision without I/O
// (docs/design/fleet.md, docs/design/rare-faults.md).
//
// The law: where discovery can be reached from t on, its word is here before t + 6 s, whatever was refused,
// given up or silent before; and where lists are pushed (settings `discovery=push`), what the agent holds
// counts as told at once, so that its word has to be here well within the grace after a drain. A call that is
// under way at t may still fail (dial_ms and its first line share limit_ms), then a pause may run (longest_ms
// x spread_high); the next call brings the word. Both together stay under within_ms.
//
// Discovery serves the whole fleet, ends each watch after a while and refuses calls (503) when more come
// than it serves. Each dispatcher opening its watch again on one fixed schedule is harmless alone; a hundred
// that were started or killed together do it in step, and the refused calls use up what discovery serves, so
// that most of the fleet hears no change at all. A refusal doubles the pause, every pause is drawn from a
// spread around it, and only a heard watch shortens it again.
//
// Discovery also holds only so many watches at once: those who got one at the start keep it all day, and the
// rest of a large fleet is refused every later call. So in a large fleet (by the settings' `instances`) a
// watch is let go once its first object, the changes since the version asked for, has come, and asked for
// again after a pause of its own: every dispatcher hears each change within a few seconds, or where lists are
// pushed within three eighths of the grace.
// Units: milliseconds. Errors: none; a pause is always finite, within [0, longest_ms x spread_high].
#pragma once

#include <cstdint>
#include <random>

namespace brasslift::cluster {

enum class WatchEnd {
    heard,       // lines came, then the watch ended or was let go
    silent,      // lines came, then none for silence_ms: it is broken
    refused,     // an answer other than 200: discovery is overbooked or shut
    unreachable  // no connection, or it ended or said nothing before any line
};

// What the settings say of discovery.
struct WatchTerms {
    int senders = 1;
    bool pushed = false;     // what the agent holds counts as told
    double grace_ms = 2000;  // after a drain notice
};

class WatchPace {
public:
    // Within so long after discovery can be reached again, its word is here.
    static constexpr double within_ms = 6000;
    // An empty line comes every 2 s, so a watch that says nothing for half as long again is broken. It may
    // have fallen silent right after a line, and what it misses counts as told 6 s after that.
    static constexpr double silence_ms = 3000;
    // The longest time from a call's start to the first byte of its answer: discovery answers at once.
    static constexpr double most_limit_ms = 1000, least_limit_ms = 100;
    // After a heard watch of a small fleet, and its longest pause.
    static constexpr double first_ms = 100, longest_small_ms = 2000;
    // The longest pause of any fleet, before the spread: with the limit above it, under within_ms.
    static constexpr double longest_ms = 2600;
    // The spread, as shares of the pause: wide enough that a fleet which started together falls apart.
    static constexpr double spread_low = 0.5, spread_high = 1.5;

    // A fleet of more than so many dispatchers shares discovery as a large one.
    static constexpr int many_senders = 10;
    // In a large fleet that has to ask, the least pause between two calls: with the spread, a change is heard
    // within 3 s unless calls are refused.
    static constexpr double poll_ms = 2000;
    // The same after silence, which strikes a fleet at once: silence_ms is gone by then.
    static constexpr double silent_ms = 1000;
    // Where lists are pushed, the pause is such a part of the grace: the agent is on this machine and asking
    // it costs nothing, but it holds its word against us from the moment it has it.
    static constexpr double pushed_share = 0.25, least_pushed_ms = 50;

    WatchPace(std::uint64_t seed, const WatchTerms& terms);
    // Whether a watch is let go once its first object has come.
    bool lets_go() const { return many_; }
    // From a call's start to the first byte of its answer.
    double limit_ms() const { return limit_ms_; }
    // The pause before the next watch, after one that ended so. `retry_after_ms`: as the refusal says, 0: it
    // does not; kept to as a least pause, within what the law leaves.
    double after(WatchEnd end, double retry_after_ms = 0);
    // Discovery was moved: its load is another one's, begin anew.
    void reset() { pause_ms_ = floor_ms_; }
    double pause_ms() const { return pause_ms_; }  // before the spread
    bool slowest() const { return pause_ms_ >= refused_ms_; }

private:
    bool many_;
    double floor_ms_, refused_ms_, unreachable_ms_;  // the least pause; the longest after either
    double limit_ms_, pause_ms_;
    std::mt19937_64 random_;  // each process from its own seed, so that two started together part at once
};

}  // namespace brasslift::cluster
