// Cases played in turn, round by round, each round beginning with another one, so that what the machine does
// meanwhile falls on all alike.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "lives.hpp"

namespace brasslift::bench {

struct Case {
    const char* name;
    test::LivesPlan plan;               // its seed is the round's
    std::vector<double> p50, p99, cpu;  // ms, ms, us a message
    double bytes = 0, resident = 0;     // at the collector a message; KB; means
};

inline void play_in_turn(const std::string& program, int rounds, std::vector<Case>& cases) {
    for (int round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < cases.size(); ++i) {
            auto& c = cases[(i + static_cast<std::size_t>(round)) % cases.size()];
            c.plan.seed = static_cast<std::uint64_t>(round) + 1;
            const auto account = test::live(program, c.plan);
            c.p50.push_back(test::quantile(account.delivery_ms, 0.5));
            c.p99.push_back(test::quantile(account.delivery_ms, 0.99));
            c.cpu.push_back(account.cpu_ms * 1000 / c.plan.messages);
            c.bytes += static_cast<double>(account.kept.bytes) / c.plan.messages / rounds;
            c.resident += static_cast<double>(account.resident_kb) / rounds;
        }
}

// Round by round, the one's figures by the other's.
inline std::vector<double> ratios(const std::vector<double>& of, const std::vector<double>& to) {
    std::vector<double> all;
    for (std::size_t i = 0; i < of.size(); ++i) all.push_back(of[i] / to[i]);
    return all;
}

}  // namespace brasslift::bench
