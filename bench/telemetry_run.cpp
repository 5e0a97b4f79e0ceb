// Lives through the real program with a collector: `telemetry_run exact PROGRAM [MESSAGES]` compares message
// by message; `telemetry_run paired PROGRAM [ROUNDS]` times runs with telemetry off, on and at a silent
// collector in turn; `telemetry_run full PROGRAM` fills the queue and tells the memory.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "paired.hpp"

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

int paired(const std::string& program, int rounds) {
    const auto plan = [](const std::string& telemetry, const char* collector) {
        LivesPlan plan;
        plan.messages = 2000;
        plan.per_second = 1000;
        plan.telemetry = telemetry;
        plan.collector = collector;
        return plan;
    };
    std::vector<brasslift::bench::Case> cases{{"off", plan("", ""), {}, {}, {}},
                                              {"off again", plan("", ""), {}, {}, {}},
                                              {"on", plan(on, ""), {}, {}, {}},
                                              {"silent", plan(on, "silent"), {}, {}, {}}};
    brasslift::bench::play_in_turn(program, rounds, cases);
    const auto& base = cases[0];
    std::printf("%-10s %10s %10s %12s %12s %10s %10s %10s\n", "", "p50 ms", "p99 ms", "p50/off", "p99/off",
                "CPU us/m", "bytes/m", "RSS KB");
    for (const auto& c : cases) {
        const auto p50 = brasslift::bench::ratios(c.p50, base.p50);
        const auto p99 = brasslift::bench::ratios(c.p99, base.p99);
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
