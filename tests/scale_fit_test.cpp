// The fits of scale runs on planted costs, and their records.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>

#include "lab/record.hpp"
#include "lab/scale.hpp"
#include "lab/scale_command.hpp"

namespace {

using namespace brasslift::lab;
namespace fs = std::filesystem;

AxisRun planted(const std::function<double(double)>& cost,
                const std::vector<double>& sizes = {10, 50, 200, 1000}) {
    AxisRun run{"destinations", "planted", {}};
    for (const double size : sizes) run.points.push_back({size, {{"cost_ms", cost(size)}}, ""});
    return run;
}

// By seed, so that each run says the same.
double noise(int& state) {
    state = (state * 1103 + 12345) % 10007;
    return static_cast<double>(state) / 10007 - 0.5;
}

struct Folder {
    fs::path path = fs::temp_directory_path() / ("brasslift-scale-" + std::to_string(::getpid()));
    Folder() { fs::remove_all(path); }
    ~Folder() { fs::remove_all(path); }
};

TEST(ScaleFit, FindsALine) {
    const auto fit = fit_of(planted([](double n) { return 100 + 3 * n; }), "cost_ms");
    EXPECT_EQ(fit.points, 4U);
    EXPECT_NEAR(fit.intercept, 100, 1e-6);
    EXPECT_NEAR(fit.slope, 3, 1e-9);
    EXPECT_NEAR(fit.residual, 0, 1e-9);
    EXPECT_NEAR(fit.exponent, 1, 1e-9);
    EXPECT_NEAR(fit.at(420000), 1260100, 1e-3);
}

TEST(ScaleFit, FindsALineInNoise) {
    int state = 7;
    const auto run = planted([&](double n) { return (100 + 3 * n) * (1 + 0.06 * noise(state)); });
    const auto fit = fit_of(run, "cost_ms");
    EXPECT_NEAR(fit.slope, 3, 0.2);
    EXPECT_NEAR(fit.exponent, 1, 0.1);
    EXPECT_LT(fit.residual, straight_residual);
    EXPECT_EQ(as_text(run).find("GROWS"), std::string::npos);
}

TEST(ScaleFit, FindsAPlantedSquare) {
    const auto run = planted([](double n) { return 5 + 0.01 * n * n; });
    EXPECT_NEAR(fit_of(run, "cost_ms").exponent, 2, 0.05);
    EXPECT_NE(as_text(run).find("GROWS FASTER THAN A LINE"), std::string::npos) << as_text(run);
}

// A square that a linear share hides at small sizes shows at the large ones.
TEST(ScaleFit, FindsASquareBehindALine) {
    const auto run = planted([](double n) { return 5 + n + 0.01 * n * n; });
    EXPECT_GT(fit_of(run, "cost_ms").exponent, steep_exponent);
    EXPECT_NE(as_text(run).find("GROWS FASTER THAN A LINE"), std::string::npos) << as_text(run);
}

TEST(ScaleFit, ALineIsNotFlagged) {
    const auto text = as_text(planted([](double n) { return 100 + 3 * n; }));
    EXPECT_EQ(text.find("GROWS"), std::string::npos) << text;
    EXPECT_EQ(text.find("not a line"), std::string::npos) << text;
}

TEST(ScaleFit, AStepIsNotALine) {
    const auto run = planted([](double n) { return n < 100 ? 1.0 : 50.0; });
    EXPECT_GT(fit_of(run, "cost_ms").residual, straight_residual);
    EXPECT_NE(as_text(run).find("not a line"), std::string::npos) << as_text(run);
}

TEST(ScaleFit, WhatDoesNotGrowHasNoExponent) {
    int state = 3;
    const auto fit = fit_of(planted([&](double) { return 20 + 0.4 * noise(state); }), "cost_ms");
    EXPECT_EQ(fit.exponent, 0);
    EXPECT_NEAR(fit.at(1e6), 20, 500);
}

TEST(ScaleFit, CountsOnlyPointsThatHaveTheMeasure) {
    auto run = planted([](double n) { return 100 + 3 * n; });
    run.points.push_back({1e6, {{"other_ms", 1}}, "the load did not come off"});
    run.points.push_back({2e6, {{"cost_ms", std::nan("")}}, ""});
    const auto fit = fit_of(run, "cost_ms");
    EXPECT_EQ(fit.points, 4U);
    EXPECT_NEAR(fit.slope, 3, 1e-9);
    EXPECT_EQ(fit_of(run, "unknown").points, 0U);
    EXPECT_EQ(fit_of(run, "unknown").at(10), 0);
    const auto text = as_text(run);
    EXPECT_NE(text.find("too few points"), std::string::npos) << text;
    EXPECT_NE(text.find("the load did not come off"), std::string::npos) << text;
}

TEST(ScaleFit, OneSizeGivesNoSlope) {
    const auto fit = fit_of(planted([](double n) { return n; }, {10}), "cost_ms");
    EXPECT_EQ(fit.points, 1U);
    EXPECT_EQ(fit.slope, 0);
    EXPECT_EQ(fit.intercept, 10);
}

TEST(ScaleFit, SizeNothingCounts) {
    const auto fit = fit_of(planted([](double n) { return 7 + n * n; }, {0, 10, 100, 1000}), "cost_ms");
    EXPECT_NEAR(fit.exponent, 2, 0.01);
}

TEST(ScaleFit, RoomIsHalfOfWhatThereIsAtMost) {
    const auto room = room_here();
    EXPECT_GT(room.memory_bytes, 0U);
    EXPECT_LE(room.memory_bytes, static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
                                     static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 2);
    EXPECT_GT(room.processes, 0);
    EXPECT_LE(room.processes, 200);
}

TEST(ScaleRecord, IsReadAsItWasWritten) {
    auto run = planted([](double n) { return n / 3; });
    run.command = "brasslift-lab scale destinations --sizes 10,50, \"quoted\"";
    run.points.back().note = "one line\nand another";
    run.points.back().measures.push_back({"bad_ms", std::nan("")});
    const Folder folder;
    const auto path = record({"before", "abc1234", {8, 31.3, "a processor"}, run}, folder.path);
    EXPECT_EQ(fs::path(path).filename(), "destinations-before.json");
    const auto read = results_in(folder.path);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read[0].label, "before");
    EXPECT_EQ(read[0].commit, "abc1234");
    EXPECT_EQ(read[0].machine.cores, 8);
    EXPECT_EQ(read[0].machine.memory_gb, 31.3);
    EXPECT_EQ(read[0].machine.processor, "a processor");
    EXPECT_EQ(read[0].run.command, run.command);
    ASSERT_EQ(read[0].run.points.size(), run.points.size());
    EXPECT_EQ(read[0].run.points.back().note, run.points.back().note);
    EXPECT_EQ(read[0].run.points.back().measures.size(), 1U);
    EXPECT_NEAR(fit_of(read[0].run, "cost_ms").slope, 1.0 / 3, 1e-9);
    EXPECT_EQ(as_json(result_of(as_json(read[0]), "again")), as_json(read[0]));
}

// What is broken is named with its file and its cause.
std::string fault_of(const std::string& json) {
    try {
        result_of(json, "folder/members.json");
    } catch (const std::runtime_error& fault) {
        return fault.what();
    }
    return "no fault";
}
TEST(ScaleRecord, SaysWhatIsBroken) {
    const auto good = as_json(Result{"", "abc1234", {}, planted([](double n) { return n; })});
    EXPECT_EQ(fault_of(good), "no fault");
    for (const auto& [json, cause] : std::vector<std::pair<std::string, std::string>>{
             {"", ""},
             {good.substr(0, good.size() / 2), ""},
             {R"({"commit": "a", "run": {"axis": "height", "points": [{"size": 1}]}})", "height"},
             {R"({"commit": "a", "run": {"axis": "rate", "points": []}})", "no points"},
             {R"({"run": {"axis": "rate", "points": [{"size": 1}]}})", "commit"},
             {R"({"commit": "a", "run": {"axis": "rate", "points": [{"size": -1}]}})", "below nothing"},
             {R"({"commit": "a", "run": {"axis": "rate", "points": [{"size": "x"}]}})", "x"},
             {R"({"commit": "a", "weight": 4})", "weight"}}) {
        const auto said = fault_of(json);
        EXPECT_EQ(said.find("folder/members.json: "), 0U) << json << " gave " << said;
        EXPECT_NE(said.find(cause), std::string::npos) << json << " gave " << said;
    }
}

TEST(ScaleRecord, AFolderThatIsNotThereIsAnError) {
    const Folder folder;
    EXPECT_THROW(results_in(folder.path), std::runtime_error);
    fs::create_directories(folder.path);
    EXPECT_TRUE(results_in(folder.path).empty());
    std::ofstream(folder.path / "rate.json") << "{";
    try {
        results_in(folder.path);
        ADD_FAILURE() << "a broken file was read";
    } catch (const std::runtime_error& fault) {
        EXPECT_NE(std::string(fault.what()).find("rate.json: "), std::string::npos) << fault.what();
    }
}

TEST(ScaleCommand, RefusesBeforeItRuns) {
    ScaleCall call;
    call.axis = "height";
    EXPECT_THROW(scale(call), std::invalid_argument);
    call.axis = "members";
    call.options.sizes = {-3};
    EXPECT_THROW(scale(call), std::invalid_argument);
    call.options.sizes = {};
    call.record = "somewhere";
    EXPECT_THROW(scale(call), std::invalid_argument);  // no commit
    call.commit = "abc1234";
    call.label = "../up";
    EXPECT_THROW(scale(call), std::invalid_argument);
}

}  // namespace
