// What the operators' file costs: reading and compiling it, a look-up, a limit. docs/design/configuration.md
// has the figures.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

#include "config_files.hpp"
#include "lang/load.hpp"
#include "lang/meaning.hpp"
#include "plan/gate.hpp"

namespace {

using namespace brasslift;

class One : public lang::Files {
public:
    explicit One(std::string text) : text_(std::move(text)) {}
    std::variant<std::string, Failure> find(const std::string& path) const override { return "/" + path; }
    std::variant<std::string, Failure> read(const std::string&, std::size_t) const override { return text_; }

private:
    std::string text_;
};

plan::Rules rules_of(const std::string& text) {
    lang::Document document;
    lang::Findings findings;
    lang::read("f", One(text), document, findings);
    auto rules = lang::compile(document, nullptr, findings);
    if (findings.any_errors())
        std::fprintf(stderr, "%s\n", lang::to_text(findings.sorted().front()).c_str()), std::abort();
    return rules;
}

plan::Names names() {
    plan::Names n;
    n.classes = {"ride", "payment", "fee"};
    for (int i = 0; i < 500; ++i) n.tenants.push_back("member-" + std::to_string(i));
    return n;
}

void check_and_compile(benchmark::State& state) {
    const auto routes = static_cast<int>(state.range(0));
    const auto text = bench::large(routes, std::max(1, routes / 10));
    const auto all = names();
    for (auto _ : state) {
        const plan::Plan plan(rules_of(text), all);
        benchmark::DoNotOptimize(plan.route({0, 0, 0}));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(check_and_compile)->Arg(10)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);

void look_up(benchmark::State& state) {
    const auto routes = static_cast<int>(state.range(0));
    const plan::Plan plan(rules_of(bench::large(routes, std::max(1, routes / 10))), names());
    std::mt19937 random(1);
    std::vector<plan::Subject> subjects(4096);
    const auto destinations = static_cast<std::uint32_t>(std::max(1, routes / 10) * 60);
    for (auto& s : subjects)
        s = {static_cast<std::uint16_t>(random() % 3), static_cast<std::uint16_t>(random() % 500),
             static_cast<std::uint16_t>(random() % destinations)};
    std::size_t i = 0, hits = 0;
    for (auto _ : state) hits += plan.route(subjects[i++ & 4095]) != plan::none ? 1 : 0;
    state.counters["hit"] = static_cast<double>(hits) / static_cast<double>(state.iterations());
    state.counters["shapes"] = static_cast<double>(plan.route_index().shapes());
    state.counters["kB"] = static_cast<double>(plan.bytes()) / 1000;
}
BENCHMARK(look_up)->Arg(10)->Arg(1000)->Arg(10000);

// What the index is weighed against: rules in order of precedence, the first that matches.
void look_up_in_order(benchmark::State& state) {
    const auto routes = static_cast<int>(state.range(0));
    const auto rules = rules_of(bench::large(routes, std::max(1, routes / 10)));
    const auto all = names();
    std::mt19937 random(1);
    const auto destinations = static_cast<std::uint32_t>(std::max(1, routes / 10) * 60);
    const auto any = [](const std::vector<plan::Pattern>& patterns, const std::string& name) {
        return patterns.empty() ||
               std::any_of(patterns.begin(), patterns.end(), [&](const auto& p) { return p.matches(name); });
    };
    std::size_t hits = 0;
    for (auto _ : state) {
        const auto dest = static_cast<std::uint16_t>(random() % destinations);
        const auto &tenant = all.tenants[random() % 500], &cls = all.classes[random() % 3];
        for (const auto& rule : rules.routes) {
            const auto& m = rule.match;
            const bool there = std::any_of(m.destinations.begin(), m.destinations.end(),
                                           [&](const auto& s) { return s.from <= dest && dest <= s.to; });
            if (!there || !any(m.tenants, tenant) || !any(m.classes, cls)) continue;
            ++hits;
            break;
        }
    }
    state.counters["hit"] = static_cast<double>(hits) / static_cast<double>(state.iterations());
}
BENCHMARK(look_up_in_order)->Arg(10)->Arg(1000)->Arg(10000);

std::shared_ptr<const plan::Plan> limited(const std::string& text) {
    return std::make_shared<const plan::Plan>(rules_of(text), names());
}

void admission(benchmark::State& state, const std::string& text, double every_ms) {
    plan::Gate gate(limited(text), 0);
    MessageId id = 0;
    double now = 0;
    std::uint64_t admitted = 0;
    for (auto _ : state) {
        ++id;
        now += every_ms;
        const plan::Subject s{0, static_cast<std::uint16_t>(id % 500), 0};
        if (gate.admit(now, id, s, 100, id, false).admitted) {
            ++admitted;
            gate.release(now, id);
        }
    }
    state.counters["admitted"] = static_cast<double>(admitted) / static_cast<double>(state.iterations());
}
const std::string one = "limit { name: \"l\" by: TENANT rate: \"1000/s\" held: 1000 }\n";
BENCHMARK_CAPTURE(admission, no_limit, "", 0.01);
BENCHMARK_CAPTURE(admission, one_within, one, 0.01);
BENCHMARK_CAPTURE(admission, one_tenfold, "limit { name: \"l\" rate: \"1000/s\" }\n", 0.1);
BENCHMARK_CAPTURE(admission, three_within,
                  one +
                      "limit { name: \"m\" rate: \"1000000/s\" }\nlimit { name: \"n\" by: [TENANT, CLASS] "
                      "rate: \"1000/s\" }\n",
                  0.01);

void guarantees(benchmark::State& state) {
    std::string text = "limit { name: \"l\" rate: \"100000/s\"\n";
    for (int i = 0; i < state.range(0); ++i)
        text += "guarantee { tenant: \"member-" + std::to_string(i) + "\" part: \"0.3%\" }\n";
    plan::Gate gate(limited(text + "}\n"), 0);
    MessageId id = 0;
    double now = 0;
    for (auto _ : state) {
        ++id;
        now += 0.01;
        if (gate.admit(now, id, {0, static_cast<std::uint16_t>(id % 500), 0}, 100, id, false).admitted)
            gate.release(now, id);
    }
}
BENCHMARK(guarantees)->Arg(4)->Arg(32)->Arg(256);

}  // namespace

BENCHMARK_MAIN();
