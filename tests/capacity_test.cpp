// What a size comes to: curves carried on, limits in their order, the page, and what is said of broken input.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <stdexcept>

#include "brasslift/sender.hpp"
#include "lab/capacity.hpp"

namespace {

using namespace brasslift::lab;

using Costs = std::map<std::string, std::function<double(double)>>;

AxisRun planted(const std::string& axis, const std::vector<double>& sizes, const Costs& costs) {
    AxisRun run{axis, "planted " + axis, {}};
    for (const double size : sizes) {
        run.points.push_back({size, {}, ""});
        for (const auto& [name, cost] : costs) run.points.back().measures.push_back({name, cost(size)});
    }
    return run;
}

Result result(AxisRun run, const std::string& label = "") {
    return {label, "abc1234", {8, 31.3, "a processor"}, std::move(run)};
}

Curve curve_of(const std::function<double(double)>& cost,
               const std::vector<double>& sizes = {10, 100, 1000}) {
    return *Curve::of(planted("members", sizes, {{"cost_ms", cost}}), "cost_ms");
}

constexpr const char* small_size = R"(
stated {
  dispatchers: 100 events_per_second: 50000 destinations: 40000 destinations_down_percent: 5
  backlog: 1000000 regions: 2 zones: 5 changes_per_day: 8640 change_everywhere_ms: 4000
  control { cpu_percent: 1.2 memory_mb: 32 bytes_per_second: 6000 machines: 7 }
  failures { machines_per_day: 3 restarts_per_day: 86.4 rack_every_days: 45 zones_per_year: 1.5
             regions_parted_hours: 1 }
  bounds { ready_ms: 10000 hold_ms: 5 hold_busy_ms: 20 recovery_ms: 10000 }
}
assumed {
  zones: IN_ALL peak_over_mean_events: 2 peak_over_mean_changes: 10 voters: 5 contradiction_ms: 3000
  dispatchers_per_machine: 1 machines_per_rack: 20 hosts_per_destination: 1 destination_outage_minutes: 60
  events_across_regions_share: 0.5 body_bytes: 200 dispatcher_memory_gb: 8 dispatcher_disk_gb: 40
  turned_away_share: 0.001
}
)";

v1::Size size_now() { return size_of(small_size, "size.textproto"); }

Limit limit_in(const std::vector<Limit>& limits, const std::string& of, const std::string& what) {
    for (const auto& limit : limits)
        if (limit.of == of && limit.what.find(what) != std::string::npos) return limit;
    ADD_FAILURE() << "no limit of " << of << " is " << what;
    return {};
}

// ---- curves

TEST(Curve, ALineIsCarriedOn) {
    const auto curve = curve_of([](double n) { return 50 + 2 * n; });
    EXPECT_NEAR(curve.at(10000)->value, 20050, 1e-6);
    EXPECT_EQ(curve.at(10000)->basis, Basis::line);
    EXPECT_NEAR(curve.crossing(4050)->value, 2000, 1e-6);
    EXPECT_EQ(curve.crossing(4050)->basis, Basis::line);
}

TEST(Curve, ASquareIsNotCarriedOnAsALine) {
    const auto curve = curve_of([](double n) { return 1e-3 * n * n; });
    EXPECT_NEAR(curve.at(10000)->value, 1e5, 2e3);
    EXPECT_EQ(curve.at(10000)->basis, Basis::curve);
    EXPECT_NEAR(curve.crossing(1e5)->value, 10000, 100);
    EXPECT_EQ(curve.crossing(1e5)->basis, Basis::curve);
}

TEST(Curve, BetweenRunsItIsMeasured) {
    const auto curve = curve_of([](double n) { return 2 * n; });
    EXPECT_NEAR(curve.at(550)->value, 1100, 1e-9);
    EXPECT_EQ(curve.at(550)->basis, Basis::measured);
    EXPECT_EQ(curve.at(1000)->basis, Basis::measured);
    EXPECT_NEAR(curve.crossing(1100)->value, 550, 1e-9);
    EXPECT_EQ(curve.crossing(1100)->basis, Basis::measured);
    EXPECT_FALSE(curve.crossing(1100)->at_most);
}

TEST(Curve, WhatIsPassedAtTheSmallestRunIsPassedThereAtMost) {
    const auto passed = curve_of([](double n) { return 2 * n; }).crossing(5);
    EXPECT_EQ(passed->value, 10);
    EXPECT_TRUE(passed->at_most);
}

TEST(Curve, WhatDoesNotGrowIsTakenAtItsWorstAndNeverPasses) {
    const auto curve = curve_of([](double n) { return n == 100 ? 20.5 : 20.0; });
    EXPECT_EQ(curve.at(1e6)->value, 20.5);
    EXPECT_TRUE(std::isinf(curve.crossing(21)->value));
    EXPECT_EQ(curve.crossing(21)->basis, Basis::line);
}

TEST(Curve, WhatFallsIsTakenAtItsWorstAndNeverPasses) {
    const auto curve = curve_of([](double n) { return 30 - n / 100; });
    EXPECT_EQ(curve.at(1e6)->value, 29.9);
    EXPECT_TRUE(std::isinf(curve.crossing(31)->value));
}

TEST(Curve, TwoPointsAreARoughLine) {
    const auto curve = curve_of([](double n) { return 2 * n; }, {10, 20});
    EXPECT_EQ(curve.at(100)->value, 200);
    EXPECT_EQ(curve.at(100)->basis, Basis::rough_line);
}

TEST(Curve, OnePointSaysNothingOfOtherSizes) {
    const auto curve = curve_of([](double n) { return n; }, {10});
    EXPECT_EQ(curve.at(10)->value, 10);
    EXPECT_FALSE(curve.at(20));
    EXPECT_FALSE(curve.crossing(100));
    EXPECT_EQ(curve.crossing(5)->value, 10);
}

TEST(Curve, IsNotThereWhereNoPointHasIt) {
    EXPECT_FALSE(Curve::of(planted("members", {10, 20}, {}), "cost_ms"));
}

TEST(Curve, ARoughLineIsSaidToBeOne) {
    const auto curve = curve_of([](double n) { return n < 50 ? 10.0 : n < 500 ? 90.0 : 120.0; });
    EXPECT_GT(curve.fit().residual, straight_residual);
    EXPECT_EQ(curve.at(10000)->basis, Basis::rough_line);
    EXPECT_EQ(curve.crossing(1000)->basis, Basis::rough_line);
}

// No run has passed the bound, so the line may not say that one did.
TEST(Curve, ALineThatOvershootsStaysBehindTheRuns) {
    const auto curve = curve_of([](double n) { return n > 500 ? 99.0 : n; });
    EXPECT_GE(curve.crossing(100)->value, 1000);
}

// ---- the size file

std::string fault_of(const std::string& text) {
    try {
        size_of(text, "deploy/size.textproto");
    } catch (const std::runtime_error& fault) {
        return fault.what();
    }
    return "no fault";
}

TEST(SizeFile, SaysWhereAndWhatIsBroken) {
    EXPECT_EQ(fault_of(small_size), "no fault");
    EXPECT_EQ(fault_of("stated {\n  dispatcher: 100\n}").find("deploy/size.textproto:2:"), 0U)
        << fault_of("stated {\n  dispatcher: 100\n}");
    EXPECT_NE(fault_of("stated {\n  dispatcher: 100\n}").find("dispatcher"), std::string::npos);
    EXPECT_EQ(fault_of("stated { dispatchers: many }").find("deploy/size.textproto:1:"), 0U);
    EXPECT_EQ(fault_of("stated {").find("deploy/size.textproto:1:"), 0U) << fault_of("stated {");
}

TEST(SizeFile, EveryFigureIsGivenAndAboveNothing) {
    const auto without = [](const std::string& name, const std::string& instead) {
        std::string text = small_size;
        const auto at = text.rfind(name);
        const auto end = text.find_first_of(" \n", at + name.size() + 1);
        return text.replace(at, end - at, instead);
    };
    EXPECT_EQ(fault_of(without("backlog:", "")),
              "deploy/size.textproto: stated.backlog has to be given, above 0");
    EXPECT_EQ(fault_of(without("cpu_percent:", "cpu_percent: 0")),
              "deploy/size.textproto: stated.control.cpu_percent has to be given, above 0");
    EXPECT_EQ(fault_of(without("recovery_ms:", "recovery_ms: -4")),
              "deploy/size.textproto: stated.bounds.recovery_ms has to be given, above 0");
    EXPECT_EQ(fault_of(without("body_bytes:", "body_bytes: nan")),
              "deploy/size.textproto: assumed.body_bytes has to be given, above 0");
    EXPECT_EQ(fault_of(without("zones:", "")),
              "deploy/size.textproto: assumed.zones has to be given, above 0");
    EXPECT_THROW(read_size("/nowhere/size.textproto"), std::runtime_error);
}

TEST(SizeFile, IsDividedAmongDispatchers) {
    auto size = size_now();
    const Load load(size);
    EXPECT_EQ(load.events, 500);
    EXPECT_EQ(load.backlog, 10000);
    EXPECT_EQ(load.changes, 0.1);
    EXPECT_EQ(load.peak_changes, 1);
    EXPECT_EQ(load.lost_rack, 20);
    EXPECT_EQ(load.lost_zone, 20);
    EXPECT_EQ(load.events_without(load.lost_zone), 625);
    // 2,000 are down for an hour each; each goes down and comes back.
    EXPECT_NEAR(load.state_changes, 4000.0 / 3600, 1e-9);
    size.mutable_assumed()->set_zones(v1::Assumed::IN_EACH_REGION);
    EXPECT_EQ(Load(size).lost_zone, 10);
}

// ---- limits

std::vector<Result> all_planted() {
    return {result(planted("destinations", {100, 1000, 10000},
                           {{"resident_bytes", [](double n) { return 2e6 + 1000 * n; }},
                            {"list_ready_ms", [](double n) { return 100 + 0.1 * n; }},
                            {"load_hold_ms", [](double n) { return 0.002 * n; }},
                            {"hold_ms", [](double) { return 1.0; }},
                            {"change_cpu_us", [](double) { return 100.0; }},
                            {"message_cpu_us", [](double) { return 200.0; }}})),
            result(planted("members", {5, 25, 50},
                           {{"leader_cpu_percent", [](double n) { return 0.01 * n * n; }},
                            {"publish_leader_cpu_ms", [](double n) { return 0.1 * n; }},
                            {"dispatcher_resident_mb", [](double n) { return 10 + 0.1 * n; }},
                            {"publish_settled_p50_ms", [](double n) { return n; }}}))};
}

TEST(Capacity, RanksWhatIsPassedAtTheSmallestShareFirst) {
    const auto size = size_now();
    const auto results = all_planted();
    const auto limits = limits_of(size, Measured(results));
    bool known = true;
    double share = 0;
    for (const auto& limit : limits) {
        if (!limit.is_known()) {
            known = false;
            continue;
        }
        EXPECT_TRUE(known) << limit.what << " stands behind what is not measured";
        EXPECT_GE(limit.share(), share) << limit.what;
        share = limit.share();
    }
    EXPECT_FALSE(known);  // some were not planted
    // 0.002 ms each pass 5 ms at 2,500 of 40,000.
    EXPECT_NE(limits.front().what.find("while the list comes, on a free machine"), std::string::npos)
        << limits.front().what;
    EXPECT_NEAR(limits.front().share(), 2500.0 / 40000, 1e-6);
    EXPECT_TRUE(limits.front().is_passed());
}

TEST(Capacity, CarriesEachMeasureToItsBound) {
    const auto size = size_now();
    const auto results = all_planted();
    const auto limits = limits_of(size, Measured(results));
    const auto memory = limit_in(limits, "destinations", "resident memory");
    EXPECT_NEAR(memory.passes->value, 30000, 1);  // 2 MB + 1000 bytes each = 32 MB
    EXPECT_NEAR(memory.value->value, 42, 0.01);
    EXPECT_TRUE(memory.is_passed());
    const auto ready = limit_in(limits, "destinations", "until the last destination");
    EXPECT_NEAR(ready.passes->value, 99000, 1);
    EXPECT_FALSE(ready.is_passed());
    EXPECT_TRUE(std::isinf(limit_in(limits, "destinations", "beside messages").passes->value));
    // 500 events of 200 us each are 10 % of a core, however many destinations.
    EXPECT_NEAR(limit_in(limits, "destinations", "a dispatcher's messages").value->value, 10, 1e-6);
    // 0.01 n^2 and a change a second of 0.1 n ms: the square outgrows the line.
    const auto leader = limit_in(limits, "dispatchers", "the leader's processor");
    EXPECT_EQ(leader.passes->basis, Basis::curve);
    EXPECT_NEAR(leader.passes->value, 100, 5);
    EXPECT_NEAR(limit_in(limits, "dispatchers", "resident memory").passes->value, 220, 1e-6);
    // 100 ms each, of which the mean uses a tenth of the day.
    const auto changes = limit_in(limits, "changes", "while all are well");
    EXPECT_NEAR(changes.passes->value, 86400, 1e-6);
    EXPECT_FALSE(changes.is_passed());
    // 4.1 s each restart, and 86400 s of a day.
    EXPECT_NEAR(limit_in(limits, "restarts", "away at any time").passes->value, 86400 / 4.1, 1e-6);
}

TEST(Capacity, ConstantsOfTheCodeCountToo) {
    auto size = size_now();
    size.mutable_stated()->set_destinations(420000);
    const auto limits = limits_of(size, Measured({}));
    const auto numbers = limit_in(limits, "destinations", "numbers of destinations");
    const auto widest =
        static_cast<double>(std::numeric_limits<decltype(brasslift::Arrival::destination)>::max());
    EXPECT_EQ(numbers.passes->value, widest + 1);
    EXPECT_EQ(numbers.is_passed(), widest + 1 < 420000);
}

TEST(Capacity, WhatIsNotMeasuredIsSaidAndNeverGuessed) {
    const auto limits = limits_of(size_now(), Measured({}));
    EXPECT_FALSE(limit_in(limits, "destinations", "resident memory").is_known());
    EXPECT_FALSE(limits.back().is_known());
    const auto page = capacity_page(size_now(), {});
    EXPECT_NE(page.find("not measured"), std::string::npos);
    EXPECT_NE(page.find("| ? |"), std::string::npos);
    EXPECT_NE(page.find("None yet: all that would come from them is not measured."), std::string::npos);
    // One point is no line.
    const std::vector<Result> one{
        result(planted("destinations", {100}, {{"resident_bytes", [](double) { return 5e6; }}}))};
    EXPECT_FALSE(
        limit_in(limits_of(size_now(), Measured(one)), "destinations", "resident memory").is_known());
}

// A point that did not come off is no reason to carry the smaller ones on past it.
TEST(Capacity, ARunThatDidNotComeOffIsALimit) {
    auto results = all_planted();
    results[0].run.points.push_back(
        {30000, {{"resident_bytes", 32e6 - 1}}, "no message was taken within 60 s"});
    const auto limits = limits_of(size_now(), Measured(results));
    const auto ready = limit_in(limits, "destinations", "until the last destination");
    EXPECT_EQ(ready.passes->basis, Basis::did_not_run);
    EXPECT_EQ(ready.passes->value, 10000);
    EXPECT_FALSE(ready.value);
    EXPECT_TRUE(ready.is_passed());
}

TEST(Capacity, AHoldThatStaysShortOfItsPointIsALimit) {
    const std::vector<Result> results{
        result(planted("backlog", {100, 5000},
                       {{"down_held", [](double n) { return std::min(n, 2000.0); }},
                        {"down_resident_bytes", [](double n) { return 1e6 + 1e3 * std::min(n, 2000.0); }}}))};
    const auto limits = limits_of(size_now(), Measured(results));
    const auto held = limit_in(limits, "backlog", "come to be held, destinations down");
    EXPECT_EQ(held.passes->value, 2000);
    EXPECT_TRUE(held.is_passed());
    const auto page = capacity_page(size_now(), results);
    EXPECT_NE(page.find("| resident memory, MB | 11 | not measured |"), std::string::npos);
    // Its memory is that of what was held.
    EXPECT_NEAR(limit_in(limits, "backlog", "resident memory, destinations down").value->value, 11, 1e-3);
}

TEST(Capacity, FaultsOfTheMembersAreLimitsToo) {
    const std::vector<Result> results{
        result(planted("members", {5, 25, 50},
                       {{"burst_agreed_share", [](double n) { return n > 30 ? 0.5 : 1.0; }},
                        {"zone_gone_publish_active_ms", [](double n) { return 3000 + 10 * n; }},
                        {"zone_gone_no_lease_share", [](double) { return 0.2; }},
                        {"halves_parted_no_lease_longest_ms", [](double) { return 9000.0; }}}))};
    const auto limits = limits_of(size_now(), Measured(results));
    const auto burst = limit_in(limits, "dispatchers", "of a burst that are refused");
    EXPECT_EQ(burst.passes->value, 25);
    EXPECT_TRUE(burst.is_passed());
    const auto zone = limit_in(limits, "dispatchers", "while a zone is away");
    EXPECT_NEAR(zone.passes->value, 100, 1e-6);
    // The run chose how long halves were parted: that is no limit of the program.
    for (const auto& limit : limits)
        EXPECT_EQ(limit.what.find("without a lease while halves"), std::string::npos) << limit.what;
    const auto page = capacity_page(size_now(), results);
    EXPECT_NE(page.find("| `zone_gone` | 0.2 |"), std::string::npos);
    EXPECT_NE(page.find("| `halves_parted` | not measured | 9,000 |"), std::string::npos);
}

TEST(Capacity, TwoResultsOfOneAxisAreToldApartByLabel) {
    auto results = all_planted();
    results.push_back(results[0]);
    EXPECT_THROW(Measured{results}, std::runtime_error);
    results.back().label = "before";
    results.back().run.points[0].measures[0].value = 123456789;
    const auto page = capacity_page(size_now(), results);
    EXPECT_NE(page.find("## Before and after: destinations"), std::string::npos);
    EXPECT_NE(page.find("123,456,789"), std::string::npos);
    EXPECT_NEAR(
        limit_in(limits_of(size_now(), Measured(results)), "destinations", "resident memory").passes->value,
        30000, 1);
}

TEST(Capacity, ThePageFollowsItsInputs) {
    auto size = size_now();
    const auto results = all_planted();
    const auto page = capacity_page(size, results);
    EXPECT_EQ(page, capacity_page(size, results));
    for (const char* said :
         {"**PASSED**", "| events a second at a dispatcher, mean | 500 |", "abc1234", "planted destinations",
          "8 cores, 31.3 GB", "GROWS FASTER THAN A LINE", "none yet"})
        EXPECT_NE(page.find(said), std::string::npos) << said;
    size.mutable_stated()->set_events_per_second(90000);
    const auto other = capacity_page(size, results);
    EXPECT_NE(other.find("| events a second at a dispatcher, mean | 900 |"), std::string::npos);
    EXPECT_EQ(other.find("| events a second at a dispatcher, mean | 500 |"), std::string::npos);
}

TEST(Capacity, EveryTableHasRowsAsWideAsItsHead) {
    const auto page = capacity_page(size_now(), all_planted());
    std::size_t wide = 0, from = 0, tables = 0;
    for (std::size_t end = 0; (end = page.find('\n', from)) != std::string::npos; from = end + 1) {
        const auto line = page.substr(from, end - from);
        if (line.empty() || line[0] != '|') {
            wide = 0;
            continue;
        }
        const auto cells = static_cast<std::size_t>(std::count(line.begin(), line.end(), '|'));
        tables += wide == 0 ? 1 : 0;
        EXPECT_TRUE(wide == 0 || cells == wide) << line;
        wide = cells;
    }
    EXPECT_GT(tables, 20U);
}

TEST(Capacity, FiguresAreWrittenForPeople) {
    EXPECT_EQ(figure(420000), "420,000");
    EXPECT_EQ(figure(1500000000), "1,500,000,000");
    EXPECT_EQ(figure(1976.744), "1,977");
    EXPECT_EQ(figure(999), "999");
    EXPECT_EQ(figure(-1234567), "-1,234,567");
    EXPECT_EQ(figure(27.871), "27.9");
    EXPECT_EQ(figure(0.0359), "0.0359");
    EXPECT_EQ(figure(std::numeric_limits<double>::infinity()), "never");
    EXPECT_EQ(figure(std::nullopt), "not measured");
}

}  // namespace
