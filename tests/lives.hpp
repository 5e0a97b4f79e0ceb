// A load on the real program that keeps its own account of every message and every attempt, and compares it
// with what a collector holds. For a test of some hundred messages and for measurements of many.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "collector.hpp"

namespace brasslift::test {

struct LivesPlan {
    int messages = 1000;
    double per_second = 1000;
    int hosts = 40;         // of two destinations
    bool trouble = false;   // hosts fail, reset and say wait now and then, and limits refuse
    int restart_after = 0;  // SIGTERM and another start after so many hand-ins; 0: never
    std::string telemetry;  // the operators' file's section, @k for the collector; empty: none
    std::string collector;  // how it behaves; empty: it takes
    std::uint64_t seed = 1;
    int kills = 0;         // SIGKILLs at random times, each followed by another start
    double kill_ms = 250;  // between a start and the kill, at most
    double answer_ms = 0;  // that hosts take to answer, at most, so that kills find calls out
    double disk_mb = 3;
    std::string operators;  // more of the operators' file
};

struct LivesAccount {
    struct Handed {
        int status = 0;  // 0: nobody listened, or the connection broke
        double at = 0;   // when it was due, ms
    };
    struct Call {
        std::string id, trace, span;  // trace and span as the host was told; empty in a bulk call
        int status = 0;               // as it answered; 0: it reset the connection
        double at = 0, answered = 0;  // ms; 0: its connection was gone before the answer
    };
    std::map<std::string, Handed> handed;
    std::vector<Call> calls;
    std::map<std::string, std::string> notices;         // "undeliverable" or "deferred"
    std::map<std::string, std::set<std::string>> told;  // every notice that came
    std::vector<double> kills;                          // when, ms
    std::vector<double> delivery_ms;  // from when a message was due to its first call at a host
    double cpu_ms = 0;                // of the program, user and system
    long resident_kb = 0;             // at the end of the load
    standins::Kept kept;
};

// Runs the program at `path`; throws std::runtime_error where it cannot.
LivesAccount live(const std::string& path, const LivesPlan& plan);

// What differs between the account and what the collector holds; empty where they are the same.
std::vector<std::string> differences(const LivesAccount& account);

// Rules that the peers saw broken: a message that was taken on and has no end, a payment that was sent again
// after it may have run, two different notices, a notice for one whose delivery no kill cut.
std::vector<std::string> broken_rules(const LivesAccount& account);

double quantile(std::vector<double> values, double part);

}  // namespace brasslift::test
