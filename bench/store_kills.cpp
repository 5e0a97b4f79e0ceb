// The whole program killed at random times under load: `store_kills PROGRAM [KILLS [NONE|INTERVAL|EACH]]`.
// The peers keep the counts; any broken rule is printed and fails the run.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "lives.hpp"

int main(int argc, char** argv) {
    using namespace brasslift::test;
    if (argc < 2) return std::fprintf(stderr, "usage: store_kills PROGRAM [KILLS [DURABILITY]]\n"), 2;
    LivesPlan plan;
    plan.kills = argc > 2 ? std::atoi(argv[2]) : 500;
    plan.messages = plan.kills * 60;
    plan.per_second = 250;
    plan.trouble = true;
    plan.answer_ms = 30;
    plan.seed = 42;
    if (argc > 3) plan.operators = std::string("store { durability: ") + argv[3] + " }\n";
    const auto account = live(argv[1], plan);
    std::map<int, int> answers;
    for (const auto& [id, handed] : account.handed) ++answers[handed.status];
    std::printf("kills %zu, messages %zu, calls at hosts %zu\n", account.kills.size(), account.handed.size(),
                account.calls.size());
    for (const auto& [status, n] : answers)
        std::printf("  %s %d: %d\n", status == 0 ? "no answer" : "answered", status, n);
    std::map<std::string, int> notices;
    for (const auto& [id, what] : account.notices) ++notices[what];
    for (const auto& [what, n] : notices) std::printf("  notices %s: %d\n", what.c_str(), n);
    const auto found = broken_rules(account);
    for (const auto& rule : found) std::printf("%s\n", rule.c_str());
    std::printf("%zu rules broken\n", found.size());
    return found.empty() && account.kills.size() == static_cast<std::size_t>(plan.kills) ? 0 : 1;
}
