// Lives through the real program with a collector: `telemetry_run exact PROGRAM [MESSAGES]` compares message
// by message; `telemetry_run paired PROGRAM [ROUNDS]` times runs with telemetry off, on and at a silent
// collector in turn; `telemetry_run full PROGRAM` fills the queue and tells the memory.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "lives.hpp"

namespace {

using namespace brasslift::test;

const std::string on = "telemetry { collector: \"@k\" }";

int exact(const std::string& program, int messages) {
    LivesPlan plan;
    plan.messages = messages;
    plan.per_second = 1000;
    plan.trouble = true;
    plan.restart_after = messages / 2;
    plan.telemetry = "telemetry { collector: \"@k\" batch_age: \"500ms\" }";
    const auto account = live(program, plan);
    std::map<int, int> answers;
    for (const auto& [id, handed] : account.handed) ++answers[handed.status];
    std::map<std::string, int> spans;
    int retries = 0;
    for (const auto& s : account.kept.spans) {
        ++spans[s.name];
        retries += s.attributes.count("http.request.resend_count") > 0 ? 1 : 0;
    }
    for (const auto& [status, n] : answers) std::printf("answered %d: %d\n", status, n);
    for (const auto& [name, n] : spans) std::printf("span %s: %d\n", name.c_str(), n);
    std::printf("calls at hosts: %zu, retries: %d, notices: %zu\n", account.calls.size(), retries,
                account.notices.size());
    std::printf("requests %zu, bytes %zu, before compression %zu\n", account.kept.requests.size(),
                account.kept.bytes, account.kept.whole_bytes);
    const auto found = differences(account);
    for (std::size_t i = 0; i < std::min<std::size_t>(found.size(), 20); ++i)
        std::printf("%s\n", found[i].c_str());
    std::printf("%zu differences\n", found.size());
    return found.empty() ? 0 : 1;
}

struct Case {
    const char* name;
    std::string telemetry, collector;
    std::vector<double> p50, p99, cpu;
    double bytes = 0, resident = 0;
};

int paired(const std::string& program, int rounds) {
    std::vector<Case> cases{{"off", "", "", {}, {}, {}},
                            {"off again", "", "", {}, {}, {}},
                            {"on", on, "", {}, {}, {}},
                            {"silent", on, "silent", {}, {}, {}}};
    constexpr int messages = 2000;
    for (int round = 0; round < rounds; ++round)
        for (std::size_t i = 0; i < cases.size(); ++i) {
            // Each round begins with another one.
            auto& c = cases[(i + static_cast<std::size_t>(round)) % cases.size()];
            LivesPlan plan;
            plan.messages = messages;
            plan.per_second = 1000;
            plan.telemetry = c.telemetry;
            plan.collector = c.collector;
            plan.seed = static_cast<std::uint64_t>(round) + 1;
            const auto account = live(program, plan);
            c.p50.push_back(quantile(account.delivery_ms, 0.5));
            c.p99.push_back(quantile(account.delivery_ms, 0.99));
            c.cpu.push_back(account.cpu_ms * 1000 / messages);
            c.bytes += static_cast<double>(account.kept.bytes) / messages / rounds;
            c.resident += static_cast<double>(account.resident_kb) / rounds;
        }
    const auto& base = cases[0];
    std::printf("%-10s %10s %10s %12s %12s %10s %10s %10s\n", "", "p50 ms", "p99 ms", "p50/off", "p99/off",
                "CPU us/m", "bytes/m", "RSS KB");
    for (const auto& c : cases) {
        std::vector<double> p50, p99;
        for (std::size_t i = 0; i < c.p50.size(); ++i) {
            p50.push_back(c.p50[i] / base.p50[i]);
            p99.push_back(c.p99[i] / base.p99[i]);
        }
        std::printf(
            "%-10s %10.3f %10.3f %5.3f..%5.3f %5.3f..%5.3f %10.1f %10.0f %10.0f   medians %.4f %.4f\n",
            c.name, quantile(c.p50, 0.5), quantile(c.p99, 0.5), quantile(p50, 0.1), quantile(p50, 0.9),
            quantile(p99, 0.1), quantile(p99, 0.9), quantile(c.cpu, 0.5), c.bytes, c.resident,
            quantile(p50, 0.5), quantile(p99, 0.5));
    }
    return 0;
}

int full(const std::string& program) {
    for (const char* const queue : {"", "1MiB", "4MiB", "16MiB"}) {
        LivesPlan plan;
        plan.messages = 20000;
        plan.per_second = 3000;
        if (*queue != 0)
            plan.telemetry =
                std::string("telemetry { collector: \"@k\" timeout: \"60s\" queue: \"") + queue + "\" }";
        plan.collector = "silent";
        const auto account = live(program, plan);
        std::printf("queue %-6s resident %ld KB\n", *queue == 0 ? "off" : queue, account.resident_kb);
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    if (argc >= 3 && what == "exact") return exact(argv[2], argc > 3 ? std::atoi(argv[3]) : 20000);
    if (argc >= 3 && what == "paired") return paired(argv[2], argc > 3 ? std::atoi(argv[3]) : 10);
    if (argc >= 3 && what == "full") return full(argv[2]);
    std::fprintf(stderr, "usage: telemetry_run exact|paired|full PROGRAM [MESSAGES|ROUNDS]\n");
    return 2;
}
