// Delivery time with the store compacting all the time, and never: `store_delivery PROGRAM [ROUNDS]`. A
// folder of 1 MB is compacted some times a second under this load; one of 4 GB is not. Paired, in turn.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "lives.hpp"

int main(int argc, char** argv) {
    using namespace brasslift::test;
    if (argc < 2) return std::fprintf(stderr, "usage: store_delivery PROGRAM [ROUNDS]\n"), 2;
    const int rounds = argc > 2 ? std::atoi(argv[2]) : 10;
    struct Case {
        const char* name;
        double disk_mb;
        std::string operators;
        std::vector<double> p50, p99, cpu;
    };
    std::vector<Case> cases{{"never", 4000, "", {}, {}, {}},
                            {"never again", 4000, "", {}, {}, {}},
                            {"always", 1, "", {}, {}, {}},
                            {"synced", 4000, "store { durability: EACH }\n", {}, {}, {}}};
    constexpr int messages = 3000;
    for (int round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < cases.size(); ++i) {
            auto& c = cases[(i + static_cast<std::size_t>(round)) % cases.size()];
            LivesPlan plan;
            plan.messages = messages;
            plan.per_second = 1000;
            plan.disk_mb = c.disk_mb;
            plan.operators = c.operators;
            plan.seed = static_cast<std::uint64_t>(round) + 1;
            const auto account = live(argv[1], plan);
            c.p50.push_back(quantile(account.delivery_ms, 0.5));
            c.p99.push_back(quantile(account.delivery_ms, 0.99));
            c.cpu.push_back(account.cpu_ms * 1000 / messages);
        }
    std::printf("%-12s %10s %10s %20s %20s %10s\n", "", "p50 ms", "p99 ms", "p50/never", "p99/never",
                "CPU us/m");
    for (const auto& c : cases) {
        std::vector<double> p50, p99;
        for (std::size_t i = 0; i < c.p50.size(); ++i) {
            p50.push_back(c.p50[i] / cases[0].p50[i]);
            p99.push_back(c.p99[i] / cases[0].p99[i]);
        }
        std::printf("%-12s %10.3f %10.3f %6.3f (%.3f..%.3f) %6.3f (%.3f..%.3f) %10.1f\n", c.name,
                    quantile(c.p50, 0.5), quantile(c.p99, 0.5), quantile(p50, 0.5), quantile(p50, 0.1),
                    quantile(p50, 0.9), quantile(p99, 0.5), quantile(p99, 0.1), quantile(p99, 0.9),
                    quantile(c.cpu, 0.5));
    }
    return 0;
}
