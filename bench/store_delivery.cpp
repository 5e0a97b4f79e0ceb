// Delivery time with the store compacting all the time, and never: `store_delivery PROGRAM [ROUNDS]`. A
// folder of 1 MB is compacted some times a second under this load; one of 4 GB is not. Paired, in turn.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "paired.hpp"

int main(int argc, char** argv) {
    using namespace brasslift::test;
    if (argc < 2) return std::fprintf(stderr, "usage: store_delivery PROGRAM [ROUNDS]\n"), 2;
    const int rounds = argc > 2 ? std::atoi(argv[2]) : 10;
    const auto plan = [](double disk_mb, const char* operators) {
        LivesPlan plan;
        plan.messages = 3000;
        plan.per_second = 1000;
        plan.disk_mb = disk_mb;
        plan.operators = operators;
        return plan;
    };
    std::vector<brasslift::bench::Case> cases{
        {"never", plan(4000, ""), {}, {}, {}},
        {"never again", plan(4000, ""), {}, {}, {}},
        {"always", plan(1, ""), {}, {}, {}},
        {"synced", plan(4000, "store { durability: EACH }\n"), {}, {}, {}}};
    brasslift::bench::play_in_turn(argv[1], rounds, cases);
    std::printf("%-12s %10s %10s %20s %20s %10s\n", "", "p50 ms", "p99 ms", "p50/never", "p99/never",
                "CPU us/m");
    for (const auto& c : cases) {
        const auto p50 = brasslift::bench::ratios(c.p50, cases[0].p50);
        const auto p99 = brasslift::bench::ratios(c.p99, cases[0].p99);
        std::printf("%-12s %10.3f %10.3f %6.3f (%.3f..%.3f) %6.3f (%.3f..%.3f) %10.1f\n", c.name,
                    quantile(c.p50, 0.5), quantile(c.p99, 0.5), quantile(p50, 0.5), quantile(p50, 0.1),
                    quantile(p50, 0.9), quantile(p99, 0.5), quantile(p99, 0.1), quantile(p99, 0.9),
                    quantile(c.cpu, 0.5));
    }
    return 0;
}
