// The exporter on the loop against the stand-in collector, without the rest of the program.
#include <gtest/gtest.h>

#include "collector.hpp"
#include "telemetry/exporter.hpp"

namespace brasslift::telemetry {
namespace {

class Exporting : public testing::Test {
protected:
    void begin(ExporterSettings settings) {
        settings.collector = *runtime::parse_address(collector_.address());
        settings.metrics_ms = 0;
        exporter_.emplace(scheduler_, settings, Source{{}, "brasslift", "0"}, 1, meters_);
        scheduler_.spawn(exporter_->run());
    }
    ~Exporting() override { scheduler_.drop_tasks(); }
    void put(int count, bool sampled = true) {
        for (int i = 0; i < count; ++i) {
            Span span;
            span.name = (sampled ? "s" : "p") + std::to_string(number_);
            span.id[0] = static_cast<std::uint8_t>(++number_);
            span.id[1] = static_cast<std::uint8_t>(number_ >> 8);
            span.trace[0] = 1;
            exporter_->spans().put(scheduler_.now(), encode_item(span), sampled);
        }
    }
    void run(double ms) { scheduler_.run_until(runtime::steady_now() + ms); }
    bool run_until_empty(double ms) {
        for (const double end = runtime::steady_now() + ms;
             runtime::steady_now() < end && exporter_->waiting() > 0;)
            run(5);
        return exporter_->waiting() == 0;
    }

    standins::Collector collector_;
    runtime::Scheduler scheduler_;
    Meters meters_{{}, {}, 0};
    std::optional<Exporter> exporter_;
    int number_ = 0;
};

ExporterSettings quick() {
    ExporterSettings s;
    s.batch = 10;
    s.batch_age_ms = 30;
    s.timeout_ms = 200;
    s.delivery.first_pause_ms = 50;
    s.delivery.most_pause_ms = 100;
    return s;
}

TEST_F(Exporting, BatchesBySizeAndAge) {
    begin(quick());
    put(25);
    run(20);
    EXPECT_EQ(collector_.kept().spans.size(), 20u);  // two full batches; the rest is not old enough
    run(60);
    EXPECT_TRUE(collector_.until([](const auto& kept) { return kept.spans.size() == 25; }));
    EXPECT_EQ(collector_.kept().requests.size(), 3u);
    EXPECT_EQ(collector_.kept().connections, 1u);
}

TEST_F(Exporting, GoesOnAfterEveryKindOfTrouble) {
    begin(quick());
    for (const char* const words : {"status 503", "status 429 0.05", "status 502", "status 504", "reset",
                                    "silent", "garbage", "slow 250"})
        collector_.behave(standins::behaviour_of(words), 1);
    put(5);
    ASSERT_TRUE(run_until_empty(6000));
    std::map<std::string, int> seen;
    for (const auto& s : collector_.kept().spans) ++seen[s.name];
    EXPECT_EQ(seen.size(), 5u);
    // What answered garbage or too late had kept the batch; the ids are the same each time.
    for (const auto& [name, times] : seen) EXPECT_EQ(times, 3) << name;
    EXPECT_LE(collector_.kept().most_open, 2u);
    EXPECT_EQ(collector_.kept().requests.size(), 9u);
}

TEST_F(Exporting, DropsWhatTheCollectorWillNeverTake) {
    begin(quick());
    collector_.behave(standins::behaviour_of("status 400"), 1);
    put(10);
    put(10);
    ASSERT_TRUE(run_until_empty(3000));
    EXPECT_EQ(collector_.kept().spans.size(), 10u);
    EXPECT_EQ(collector_.kept().requests.size(), 2u);
}

TEST_F(Exporting, KeepsToAToldWait) {
    begin(quick());
    collector_.behave(standins::behaviour_of("status 429 0.4"), 1);
    put(10);
    const double start = runtime::steady_now();
    ASSERT_TRUE(run_until_empty(3000));
    EXPECT_GE(runtime::steady_now() - start, 390);
}

TEST_F(Exporting, BelievesAnAnswerWithASpoiltBody) {
    begin(quick());
    collector_.behave(standins::behaviour_of("spoilt"), 1);
    put(10);
    ASSERT_TRUE(run_until_empty(3000));
    EXPECT_EQ(collector_.kept().spans.size(), 10u);
}

TEST_F(Exporting, ThrowsTheOldestUnsampledAwayWhereTheQueueIsFull) {
    auto settings = quick();
    settings.span_bytes = 20 * (Queue::overhead + 64);
    begin(settings);
    collector_.down();
    put(10, true);
    run(100);  // one batch is out, and fails
    put(10, false);
    put(30, true);
    EXPECT_LE(exporter_->spans().bytes(), settings.span_bytes);
    collector_.up();
    ASSERT_TRUE(run_until_empty(5000));
    for (const auto& s : collector_.kept().spans) EXPECT_EQ(s.name[0], 's');
    EXPECT_EQ(exporter_->spans().dropped() + collector_.kept().spans.size(), 50u);
}

// While the process ends its own pauses count no more; a told wait does, and the end comes when it was said.
TEST_F(Exporting, HasALastTryWithinItsTime) {
    auto settings = quick();
    settings.delivery.first_pause_ms = settings.delivery.most_pause_ms = 20000;
    settings.timeout_ms = 5000;
    begin(settings);
    collector_.behave(standins::behaviour_of("status 503"), 1);
    put(10);
    run(100);
    EXPECT_EQ(exporter_->waiting(), 10u);
    exporter_->hurry(runtime::steady_now() + 500, true);
    EXPECT_TRUE(run_until_empty(400));

    collector_.behave(standins::behaviour_of("silent"));
    exporter_->hurry(runtime::steady_now() + 300, true);
    put(10);
    run(320);
    EXPECT_EQ(exporter_->waiting(), 10u);
    const auto requests = collector_.kept().requests.size();
    run(300);
    EXPECT_EQ(collector_.kept().requests.size(), requests);  // past its end nothing is begun
}

// A batch that is out at a silent collector goes to the next one at once.
TEST_F(Exporting, LeavesACollectorInTheMiddleOfACall) {
    auto settings = quick();
    settings.timeout_ms = 60000;
    begin(settings);
    collector_.behave(standins::behaviour_of("silent"));
    put(10);
    run(100);
    standins::Collector other;
    settings.collector = *runtime::parse_address(other.address());
    settings.metrics_ms = 0;
    exporter_->change(settings, Source{{}, "brasslift", "0"});
    ASSERT_TRUE(run_until_empty(1000));
    EXPECT_EQ(other.kept().spans.size(), 10u);
}

TEST_F(Exporting, NeverHoldsMoreThanTwoDescriptors) {
    begin(quick());
    collector_.behave(standins::behaviour_of("reset"));
    put(50);
    run(1500);
    EXPECT_LE(collector_.kept().most_open, 2u);
    EXPECT_GE(collector_.kept().connections, 3u);
}

}  // namespace
}  // namespace brasslift::telemetry
