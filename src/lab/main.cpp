// brasslift-lab: the rig's command line. Exit: 0 no rule was broken, 1 one was, 2 misused.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/capacity.hpp"
#include "lab/fleet.hpp"
#include "lab/scale_command.hpp"
#include "lab/soak.hpp"

namespace {

using namespace brasslift::lab;

double quantile(std::vector<double> values, double part) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

std::string program_beside(const std::string& given) {
    if (!given.empty()) return given;
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "brasslift").string();
}

// Many seeds, one after the other, with a line each and the distribution at the end.
int campaign(FleetPlan plan, std::uint64_t first, std::uint64_t last) {
    std::vector<double> contradictions, publishes;
    std::size_t broken = 0, taken = 0, delivered = 0, acts = 0;
    int published = 0, refused = 0, unknown = 0, faults = 0;
    for (plan.seed = first; plan.seed <= last; ++plan.seed) {
        const auto end = Fleet(plan).play();
        contradictions.push_back(end.longest_contradiction_ms);
        publishes.insert(publishes.end(), end.publish_ms.begin(), end.publish_ms.end());
        broken += end.broken.empty() ? 0 : 1;
        taken += end.taken;
        delivered += end.delivered;
        acts += end.acts;
        published += end.published;
        refused += end.refused;
        unknown += end.no_majority;
        faults += end.kills + end.stops + end.cuts + end.terms;
        std::printf(
            "seed %llu: contradiction %.0f ms, %zu taken, %zu turned away, %zu answers by rules, %d "
            "published, "
            "%d refused, %d without majority; %d kills, %d terms, %d stops, %d cuts%s\n",
            static_cast<unsigned long long>(plan.seed), end.longest_contradiction_ms, end.taken,
            end.turned_away, end.acts, end.published, end.refused, end.no_majority, end.kills, end.terms,
            end.stops, end.cuts, end.broken.empty() ? "" : ", BROKEN");
        for (const auto& rule : end.broken) std::printf("  %s\n", rule.c_str());
        std::fflush(stdout);
    }
    std::printf(
        "%zu runs: %zu with a broken rule; contradiction p50 %.0f, p90 %.0f, p99 %.0f, most %.0f ms (stated "
        "%.0f); "
        "publish p50 %.0f, p99 %.0f ms; %d published, %d refused, %d without majority; %zu messages, "
        "%zu of them delivered, %zu answers "
        "by rules, %d faults\n",
        contradictions.size(), broken, quantile(contradictions, 0.5), quantile(contradictions, 0.9),
        quantile(contradictions, 0.99), quantile(contradictions, 1), plan.contradiction_ms,
        quantile(publishes, 0.5), quantile(publishes, 0.99), published, refused, unknown, taken, delivered,
        acts, faults);
    return broken == 0 ? 0 : 1;
}

// Soaks one after the other, with a line each.
constexpr std::uint64_t crowd_each = 3;  // every so many seeds of a soak have a crowd

int soak(SoakPlan plan, std::uint64_t first, std::uint64_t last) {
    std::size_t broken = 0;
    for (plan.seed = first; plan.seed <= last; ++plan.seed) {
        plan.crowd = plan.seed % crowd_each == 0;
        const auto end = Soak(plan).play();
        const auto& f = end.figures;
        std::printf(
            "seed %llu%s: %zu handed in, %zu taken, %zu delivered, %zu notices, %zu unanswered, %zu unread, "
            "%zu calls, %zu of them ordered;",
            static_cast<unsigned long long>(plan.seed), plan.crowd ? " with a crowd" : "", f.submitted,
            f.taken, f.delivered, f.notices, f.unanswered, f.unread, f.calls, f.ordered_calls);
        for (const auto& [kind, count] : end.faults) std::printf(" %s %d", kind.c_str(), count);
        std::printf("; %zu killed at the limit", end.killed_at_the_limit);
        std::printf("%s\n", end.broken.empty() ? "" : "; BROKEN");
        for (const auto& rule : end.broken) std::printf("  %s\n", rule.c_str());
        std::fflush(stdout);
        broken += end.broken.empty() ? 0 : 1;
    }
    std::printf("%llu runs: %zu with a broken rule\n", static_cast<unsigned long long>(last - first + 1),
                broken);
    return broken == 0 ? 0 : 1;
}

// A minute with a kill and a cut, and a table of what each dispatcher does.
int demo(FleetPlan plan, double seconds) {
    plan.fault_every_ms = 0;
    plan.publish_every_ms = 4000;
    plan.faults_ms = seconds * 1000 - 6000;
    Fleet fleet(plan);
    const bool shown = ::isatty(1) == 1;
    const double act = plan.faults_ms;
    int step = 0;
    std::string happens = "all is well";
    const auto end = fleet.play([&](Fleet& f) {
        const double now = f.now();
        if (step == 0 && now > 0.2 * act)
            ++step, f.kill(1), happens = "n1 was killed; it starts again at once";
        if (step == 1 && now > 0.35 * act)
            ++step, f.isolate(2, true), happens = "n2 is cut off from all others";
        if (step == 2 && now > 0.6 * act) ++step, f.isolate(2, false), happens = "n2 is back";
        if (step == 3 && now > 0.75 * act)
            ++step, f.kill(0), happens = "n0 was killed; it starts again at once";
        std::printf("%s%4.0f s  %s\n", shown ? "\x1b[H\x1b[J" : "", now / 1000, happens.c_str());
        std::printf("%-6s %-8s %-8s %s\n", "", "process", "rules", "ready");
        for (int i = 0; i < f.size(); ++i) {
            auto ready = f.ready(i);
            std::replace(ready.begin(), ready.end(), '\n', ' ');
            std::printf("n%-5d %-8s %-8llu %s\n", i, f.running(i) ? "runs" : "away",
                        static_cast<unsigned long long>(f.acting(i)), ready.c_str());
        }
        std::printf(
            "%zu messages taken on, %zu open; rule sets published %d; two on different rules for %.0f ms at "
            "most\n",
            f.account().taken(), f.account().open(), f.so_far().published,
            f.account().longest_contradiction());
        std::fflush(stdout);
    });
    std::printf(
        "\n%zu messages taken on, %d rule sets published, longest contradiction %.0f ms (stated %.0f)\n",
        end.taken, end.published, end.longest_contradiction_ms, plan.contradiction_ms);
    for (const auto& rule : end.broken) std::printf("BROKEN: %s\n", rule.c_str());
    std::printf("verdict: %s\n", end.broken.empty() ? "every rule was kept" : "rules were broken");
    return end.broken.empty() ? 0 : 1;
}

// At rest, publishing, and delivery with members on against off, in pairs.
int measure(FleetPlan plan, int publishes, int pairs) {
    plan.fault_every_ms = 0;
    {
        Fleet fleet(plan);
        fleet.form_all();
        for (int i = 0; i < fleet.size(); ++i) fleet.start(i);
        const bool up = fleet.await(
            [&] {
                for (int i = 0; i < fleet.size(); ++i)
                    if (fleet.ready(i) != "200 yes\n") return false;
                return true;
            },
            30000);
        if (!up) throw std::runtime_error("the fleet does not come up");
        fleet.run_for(3000);
        constexpr double rest_ms = 10000;
        std::vector<double> cpu, used, memory;
        for (int i = 0; i < fleet.size(); ++i) cpu.push_back(fleet.cpu_ms(i));
        const auto bytes = fleet.member_bytes();
        fleet.run_for(rest_ms);
        for (int i = 0; i < fleet.size(); ++i) {
            used.push_back((fleet.cpu_ms(i) - cpu[static_cast<std::size_t>(i)]) / rest_ms * 100);
            memory.push_back(static_cast<double>(fleet.resident_kb(i)) / 1000);
        }
        std::printf(
            "%d members at rest: %.2f %% of a core (median), %.2f %% (most), %.1f MB resident, %.1f kB/s a "
            "member\n",
            fleet.size(), quantile(used, 0.5), quantile(used, 1), quantile(memory, 0.5),
            static_cast<double>(fleet.member_bytes() - bytes) / rest_ms / fleet.size());
        std::vector<double> answers, everywhere;
        for (int i = 1; i <= publishes; ++i) {
            const double from = fleet.now();
            if (fleet.publish(i % fleet.size(), Fleet::rules_of(i)).status != 200) continue;
            answers.push_back(fleet.now() - from);
            const auto version = static_cast<std::uint64_t>(answers.size());
            for (int at = 0; at < fleet.size(); ++at)
                fleet.await([&] { return fleet.acting(at) >= version; }, 5000);
            everywhere.push_back(fleet.now() - from);
            fleet.await([&] { return fleet.settled(0) >= version; }, 5000);
        }
        std::printf(
            "%zu of %d publishes done: answered p50 %.0f, p99 %.0f ms; active everywhere p50 %.0f, p99 %.0f "
            "ms\n",
            answers.size(), publishes, quantile(answers, 0.5), quantile(answers, 0.99),
            quantile(everywhere, 0.5), quantile(everywhere, 0.99));
        std::fflush(stdout);
    }
    std::vector<double> ratios, with, without;
    for (int pair = 0; pair < pairs; ++pair) {
        double p99[2] = {0, 0};
        for (const bool on : {pair % 2 == 0, pair % 2 != 0}) {
            auto one = plan;
            one.members = on;
            one.dispatchers = 3;
            one.client_every_ms = 4;
            one.publish_every_ms = 1e9;
            one.faults_ms = 9000;
            one.settle_ms = 6000;
            Fleet fleet(one);
            fleet.play();
            p99[on ? 1 : 0] = quantile(fleet.account().delivery_ms(), 0.99);
        }
        ratios.push_back(p99[1] / p99[0]);
        with.push_back(p99[1]);
        without.push_back(p99[0]);
    }
    if (pairs > 0)
        std::printf(
            "delivery p99 over %d pairs: %.1f ms with members, %.1f ms without (medians); ratio %.3f, from "
            "%.3f "
            "to %.3f\n",
            pairs, quantile(with, 0.5), quantile(without, 0.5), quantile(ratios, 0.5), quantile(ratios, 0),
            quantile(ratios, 1));
    return 0;
}

// As it was called, with the program's own name in place of its path.
std::string called(int argc, char** argv) {
    std::string words = "brasslift-lab";
    for (int i = 1; i < argc; ++i) words += std::string(" ") + argv[i];
    return words;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("brasslift-lab",
                             "Starts real dispatchers on loopback and throws faults between them.");
    options.positional_help("campaign | demo | measure | soak | scale AXIS | capacity");
    options.add_options()("h,help", "print this text")("command", "",
                                                       cxxopts::value<std::string>()->default_value(""))(
        "program", "the dispatcher (else the one beside this program)",
        cxxopts::value<std::string>()->default_value(""))(
        "first", "the first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "last", "the last seed", cxxopts::value<std::uint64_t>()->default_value("10"))(
        "dispatchers", "3 to 25", cxxopts::value<int>()->default_value("5"))(
        "voters", "3 or 5", cxxopts::value<int>()->default_value("3"))(
        "seconds", "with faults, of each run", cxxopts::value<double>()->default_value("8"))(
        "contradiction", "the stated time, ms", cxxopts::value<double>()->default_value("3000"))(
        "publishes", "of measure", cxxopts::value<int>()->default_value("40"))(
        "pairs", "of measure: runs with members and without", cxxopts::value<int>()->default_value("4"))(
        "no-leases", "without a lease rules are kept, so that the checker has something to find")(
        "wipes", "folders are lost now and then")("axis", "of scale: members, destinations, backlog or rate",
                                                  cxxopts::value<std::string>()->default_value(""))(
        "sizes", "of scale: along the axis, with commas (else the axis's own)",
        cxxopts::value<std::vector<double>>())("seed", "of scale",
                                               cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "of scale: one JSON object")("record", "of scale: the folder that the result is written to",
                                             cxxopts::value<std::string>()->default_value(""))(
        "label", "of scale: what the result is told from another by, such as before",
        cxxopts::value<std::string>()->default_value(""))(
        "commit", "of scale: the commit of the program, for the record",
        cxxopts::value<std::string>()->default_value(""));
    options.add_options()("only", "of soak: the one kind of fault that comes",
                          cxxopts::value<std::string>()->default_value(""))(
        "keep", "of soak: the folder stays, with logs and events");
    options.add_options()("size", "of capacity: the size file",
                          cxxopts::value<std::string>()->default_value("deploy/size.textproto"))(
        "results", "of capacity: the folder of the runs' results",
        cxxopts::value<std::string>()->default_value("docs/capacity"));
    options.parse_positional({"command", "axis"});
    try {
        const auto given = options.parse(argc, argv);
        const auto command = given["command"].as<std::string>();
        if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
        FleetPlan plan;
        plan.program = program_beside(given["program"].as<std::string>());
        plan.dispatchers = given["dispatchers"].as<int>();
        plan.voters = given["voters"].as<int>();
        plan.contradiction_ms = given["contradiction"].as<double>();
        plan.leases = given.count("no-leases") == 0;
        plan.wipes = given.count("wipes") > 0;
        const double seconds = given["seconds"].as<double>();
        plan.faults_ms = seconds * 1000;
        if (command == "scale") {
            ScaleCall call;
            call.axis = given["axis"].as<std::string>();
            call.options.program = plan.program;
            if (given.count("sizes") > 0) call.options.sizes = given["sizes"].as<std::vector<double>>();
            call.options.seed = given["seed"].as<std::uint64_t>();
            if (given.count("voters") > 0) call.options.voters = plan.voters;
            if (given.count("seconds") > 0) call.options.seconds = seconds;
            call.options.command = called(argc, argv);
            call.options.room = room_here();
            call.json = given.count("json") > 0;
            call.record = given["record"].as<std::string>();
            call.label = given["label"].as<std::string>();
            call.commit = given["commit"].as<std::string>();
            return scale(call);
        }
        if (command == "capacity") {
            const auto results = results_in(given["results"].as<std::string>());
            const auto page = capacity_page(read_size(given["size"].as<std::string>()), results);
            return std::fwrite(page.data(), 1, page.size(), stdout) == page.size() ? 0 : 1;
        }
        if (command == "soak") {
            SoakPlan soaked;
            soaked.program = plan.program;
            const auto beside = std::filesystem::path(plan.program).parent_path();
            soaked.shim = (beside / "libbrasslift_faults.so").string();
            soaked.faults_ms = seconds * 1000;
            soaked.only = given["only"].as<std::string>();
            soaked.keep_folder = given.count("keep") > 0;
            if (given.count("dispatchers") > 0) soaked.dispatchers = plan.dispatchers;
            return soak(soaked, given["first"].as<std::uint64_t>(), given["last"].as<std::uint64_t>());
        }
        const bool fits = plan.dispatchers >= 3 && plan.dispatchers <= 25 && plan.voters <= plan.dispatchers;
        if (fits && command == "campaign")
            return campaign(plan, given["first"].as<std::uint64_t>(), given["last"].as<std::uint64_t>());
        if (fits && command == "measure")
            return measure(plan, given["publishes"].as<int>(), given["pairs"].as<int>());
        if (fits && command == "demo") return demo(plan, given.count("seconds") > 0 ? seconds : 60);
        std::fprintf(stderr,
                     "brasslift-lab: campaign, demo or measure, with 3 to 25 dispatchers, scale AXIS, "
                     "or capacity (--help tells more)\n");
        return 2;
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "brasslift-lab: %s\n", fault.what());
        return 2;
    } catch (const std::invalid_argument& fault) {
        std::fprintf(stderr, "brasslift-lab: %s\n", fault.what());
        return 2;
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift-lab: %s\n", fault.what());
        return 1;
    }
}
