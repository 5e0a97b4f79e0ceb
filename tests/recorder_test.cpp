// The recorder and the meters without sockets: what lives become, whatever the clock does and however many
// they are.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "opentelemetry/proto/collector/logs/v1/logs_service.pb.h"
#include "opentelemetry/proto/collector/metrics/v1/metrics_service.pb.h"
#include "opentelemetry/proto/collector/trace/v1/trace_service.pb.h"
#include "telemetry/answer.hpp"
#include "telemetry/recorder.hpp"

namespace brasslift::telemetry {
namespace {

namespace otlp = opentelemetry::proto;
using dispatch::Ending;
using dispatch::Owed;

const Source source{{{"service.name", std::string("brasslift")}}, "brasslift", "0.1.0"};

class Lives : public testing::Test {
protected:
    explicit Lives(double ratio = 1) : recorder_({{"safe"}, {"acme"}}, settings(ratio), 7, meters_, queue_) {
        recorder_.set_offset(1e12);
    }
    static RecorderSettings settings(double ratio) {
        RecorderSettings s;
        s.ratio = ratio;
        return s;
    }

    Owed begin(Time now, MessageId id, const std::string& key = "", std::uint16_t destination = 1) {
        Owed m;
        m.id = id;
        m.name = "m" + std::to_string(id);
        m.destination = destination;
        m.body = std::make_shared<const std::string>("hello");
        m.mark = recorder_.begins(now, id, seen(m, now, key));
        recorder_.taken(now, m);
        return m;
    }
    dispatch::Seen seen(const Owed& m, Time now, const std::string& key = "", bool again = false) {
        return {
            m.name, 0, 0, m.destination, 5, client_, now, again, std::hash<std::string>()(key) * !key.empty(),
            99};
    }
    dispatch::Trace send(Time now, Owed& m) {
        ++m.attempts;
        m.sent_wall = now + 1e12;
        return recorder_.sends(now, m, nullptr);
    }
    void land(Time now, const Owed& m, Result result, double wait_ms = 0) {
        dispatch::Verdict v;
        v.id = m.id;
        v.attempt = m.attempts - 1;
        v.result = result;
        v.wait_ms = wait_ms;
        v.progress = dispatch::Progress::answered;
        v.status = result == Result::ok ? 200 : 500;
        recorder_.landed(now, m, v);
    }
    std::vector<otlp::trace::v1::Span> spans() {
        recorder_.settle();
        otlp::collector::trace::v1::ExportTraceServiceRequest request;
        EXPECT_TRUE(request.ParseFromString(request_of(source, queue_.take(100000, 1 << 30))));
        std::vector<otlp::trace::v1::Span> all;
        for (const auto& s : request.resource_spans(0).scope_spans(0).spans()) all.push_back(s);
        return all;
    }

    Meters meters_{{{"safe"}, {"acme"}}, {}, 0};
    Queue queue_{16 << 20};
    dispatch::Trace client_;
    Recorder recorder_;
};
class Unsampled : public Lives {
protected:
    Unsampled() : Lives(0) {}
};

std::uint64_t ns(double ms) { return static_cast<std::uint64_t>((ms + 1e12) * 1e3) * 1000; }

TEST_F(Lives, BecomeAMessageItsAttemptsAndWhatLiesBetween) {
    auto m = begin(1000, 1);
    const auto first = send(1050, m);
    land(1100, m, Result::error);
    recorder_.sleeps(1100, 1, 1400, false);
    const auto second = send(1450, m);
    land(1460, m, Result::ok);
    recorder_.ended(1460, m, Ending::done, 0);
    const auto all = spans();
    std::string names;
    for (const auto& s : all) names += s.name() + ' ';
    EXPECT_EQ(names, "queue attempt back-off queue attempt deliver ");
    EXPECT_EQ(all[0].start_time_unix_nano(), ns(1000));
    EXPECT_EQ(all[2].start_time_unix_nano(), ns(1100));
    EXPECT_EQ(all[2].end_time_unix_nano(), ns(1400));
    EXPECT_EQ(all[3].end_time_unix_nano(), ns(1450));
    const auto& root = all.back();
    for (std::size_t i = 0; i + 1 < all.size(); ++i) EXPECT_EQ(all[i].parent_span_id(), root.span_id());
    // What the hosts were told is what the spans are.
    const auto told = read_traceparent(first.parent), told_again = read_traceparent(second.parent);
    EXPECT_EQ(std::string(told->span.begin(), told->span.end()), all[1].span_id());
    EXPECT_EQ(std::string(told_again->span.begin(), told_again->span.end()), all[4].span_id());
    EXPECT_EQ(recorder_.lives(), 0u);
}

// The module ends a sleep early, as where a message's time is up: the span ends with the message.
TEST_F(Lives, NoSpanOutlastsItsMessage) {
    auto m = begin(0, 1);
    send(1, m);
    land(10, m, Result::full, 5000);
    recorder_.sleeps(10, 1, 5015, true);
    recorder_.ended(100, m, Ending::deferred, 4000);
    for (const auto& s : spans()) EXPECT_LE(s.end_time_unix_nano(), ns(100)) << s.name();
}

TEST_F(Lives, AnAttemptThatLandsAfterTheAnswerIsTold) {
    auto m = begin(0, 1);
    send(1, m);
    recorder_.ended(50, m, Ending::failed, 0);
    land(80, m, Result::timeout);
    std::set<std::string> names;
    for (const auto& s : spans()) names.insert(s.name());
    EXPECT_EQ(names, (std::set<std::string>{"attempt", "deliver"}));
    EXPECT_EQ(recorder_.lives(), 0u);
}

// The wall clock goes back by a day while a message is under way: its spans go by one clock.
TEST_F(Lives, GoByOneClockWhateverTheWallClockDoes) {
    auto m = begin(1000, 1);
    recorder_.set_offset(1e12 - 86400e3);
    send(1010, m);
    land(1020, m, Result::ok);
    recorder_.ended(1020, m, Ending::done, 0);
    const auto all = spans();
    for (const auto& s : all) {
        EXPECT_LE(s.start_time_unix_nano(), s.end_time_unix_nano());
        EXPECT_GE(s.start_time_unix_nano(), ns(1000));
    }
    // A message of a life before whose clock was ahead.
    recorder_.restored(500, m);
    auto& again = m;
    again.cut = true;
    recorder_.restored(500, again);
    recorder_.ended(600, again, Ending::done, 0);
    for (const auto& s : spans()) EXPECT_LE(s.start_time_unix_nano(), s.end_time_unix_nano()) << s.name();
}

TEST_F(Lives, AreLinkedBothWaysWhileBothAreKnown) {
    auto first = begin(0, 1, "k");
    auto second = begin(10, 2, "k");
    for (auto* const m : {&first, &second}) {
        send(20, *m);
        land(30, *m, Result::ok);
        recorder_.ended(30, *m, Ending::done, 0);
    }
    auto third = begin(40, 3, "k");
    recorder_.ended(50, third, Ending::deferred, 0);
    std::vector<otlp::trace::v1::Span> roots;
    for (const auto& s : spans())
        if (s.name() == "deliver") roots.push_back(s);
    ASSERT_EQ(roots.size(), 3u);
    ASSERT_EQ(roots[0].links_size(), 1);
    EXPECT_EQ(roots[0].links(0).span_id(), roots[1].span_id());
    ASSERT_EQ(roots[1].links_size(), 1);
    EXPECT_EQ(roots[1].links(0).trace_id(), roots[0].trace_id());
    ASSERT_EQ(roots[2].links_size(),
              1);  // the earlier one is told of; it has ended and knows nothing of this
    EXPECT_EQ(roots[2].links(0).span_id(), roots[1].span_id());
}

TEST_F(Lives, OfManyKeysAreRememberedWithinABound) {
    for (MessageId id = 1; id <= 20000; ++id) {
        const auto m = begin(0, id, "key" + std::to_string(id));
        recorder_.ended(1, m, Ending::done, 0);
    }
    recorder_.settle();
    EXPECT_EQ(recorder_.lives(), 0u);
    spans();
    const auto old = begin(0, 30000, "key1");
    recorder_.ended(1, old, Ending::done, 0);
    EXPECT_EQ(spans().back().links_size(), 0);
}

// After a kill: the next life tells of the attempt under the id that its host was told.
TEST_F(Lives, ACutAttemptHasTheIdThatItsHostWasTold) {
    auto m = begin(0, 1);
    const auto told = read_traceparent(send(10, m).parent);
    m.cut = true;
    Queue queue(1 << 20);
    Recorder next({{"safe"}, {"acme"}}, settings(1), 8, meters_, queue);
    next.set_offset(1e12);
    next.restored(500, m);
    otlp::collector::trace::v1::ExportTraceServiceRequest request;
    ASSERT_TRUE(request.ParseFromString(request_of(source, queue.take(10, 1 << 20))));
    const auto& span = request.resource_spans(0).scope_spans(0).spans(0);
    EXPECT_EQ(span.span_id(), std::string(told->span.begin(), told->span.end()));
    EXPECT_EQ(span.trace_id(), std::string(told->trace.begin(), told->trace.end()));
    EXPECT_EQ(span.start_time_unix_nano(), ns(10));
}

TEST_F(Unsampled, AreKeptWhereTheirEndSaysSo) {
    auto good = begin(0, 1), bad = begin(0, 2), open = begin(0, 3);
    for (auto* const m : {&good, &bad, &open}) {
        send(1, *m);
        land(2, *m, m == &good ? Result::ok : Result::error);
    }
    recorder_.ended(3, good, Ending::done, 0);
    recorder_.settle();
    EXPECT_EQ(queue_.size(), 0u);
    recorder_.ended(3, bad, Ending::failed, 0);
    recorder_.settle();
    EXPECT_EQ(queue_.size(), 2u);
    // The process ends: what is owed is told as far as it came.
    recorder_.interrupt(4);
    EXPECT_EQ(queue_.size(), 3u);
    EXPECT_EQ(spans().back().name(), "attempt");
}

TEST_F(Unsampled, TellTheirHostsSo) {
    auto m = begin(0, 1);
    EXPECT_TRUE(send(1, m).parent.ends_with("-00"));
}

// A mark from another version, torn or strange: a trace of its own, and no crash.
TEST_F(Lives, AreRestoredFromAnyMark) {
    for (const std::string mark :
         {"", " ", "00-", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01 zz 99999999999999999999999 a=1,,=",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01 0000000000000000 -5 x"}) {
        Owed m;
        m.id = 5;
        m.mark = mark;
        m.body = std::make_shared<const std::string>();
        m.attempts = 1;
        m.cut = true;
        recorder_.restored(100, m);
        recorder_.ended(200, m, Ending::done, 0);
        const auto all = spans();
        ASSERT_EQ(all.size(), 2u) << mark;
        EXPECT_EQ(all[1].events(0).name(), "restart");
        EXPECT_EQ(all[0].parent_span_id(), all[1].span_id());
        EXPECT_LE(all[1].start_time_unix_nano(), all[1].end_time_unix_nano());
    }
}

TEST(Meters, PutWhatIsBeyondTheBoundIntoOneSeries) {
    Meters meters({{"safe"}, {"acme"}}, {50, Temporality::cumulative}, 1000);
    for (int round = 0; round < 3; ++round)
        for (std::uint16_t d = 0; d < 200; ++d) {
            meters.retried(d);
            meters.ended(0, d, "delivered", 5);
        }
    meters.windows({{1, 2.5}, {2, 1}});
    const auto collected = meters.collect(2000);
    otlp::collector::metrics::v1::ExportMetricsServiceRequest request;
    ASSERT_TRUE(request.ParseFromString(request_of(source, collected.items)));
    int retries = 0, ended = 0;
    for (const auto& m : request.resource_metrics(0).scope_metrics(0).metrics()) {
        if (m.name() == "brasslift.retries") {
            EXPECT_EQ(m.sum().data_points_size(), 50);
            int overflow = 0;
            for (const auto& p : m.sum().data_points()) {
                retries += static_cast<int>(p.as_int());
                for (const auto& a : p.attributes())
                    if (a.key() == "otel.metric.overflow") overflow += a.value().bool_value() ? 1 : 0;
            }
            EXPECT_EQ(overflow, 1);
        }
        if (m.name() == "brasslift.message.duration") {
            EXPECT_EQ(m.exponential_histogram().data_points_size(), 50);
            for (const auto& p : m.exponential_histogram().data_points()) {
                ended += static_cast<int>(p.count());
                EXPECT_NEAR(p.sum(), 0.005 * static_cast<double>(p.count()), 1e-9);
                EXPECT_EQ(p.min(), 0.005);
            }
        }
    }
    EXPECT_EQ(retries, 600);
    EXPECT_EQ(ended, 600);
}

// Classes, destinations, outcomes and reasons beyond any field's width before are series of their own.
TEST(Meters, TellWideDestinationsApart) {
    Meters meters({{"safe", "keyed"}, {"acme"}}, {50, Temporality::cumulative}, 1000);
    for (int i = 0; i < 100; ++i) meters.refused(0, "rule " + std::to_string(i));
    const DestinationId wide[] = {4464, 70000, 1U << 20, 4294967295U};
    for (const auto d : wide)
        for (const std::uint16_t cls : {0, 1})
            for (const char* const outcome : {"delivered", "undeliverable"}) meters.ended(cls, d, outcome, 5);
    for (const auto d : wide) meters.retried(d);
    for (const std::uint64_t endpoint : {1, 2})
        for (const char* const result : {"ok", "error"})
            meters.attempt(endpoint, std::to_string(endpoint), result, 5);
    meters.windows({{4464, 1}, {70000, 2}});
    otlp::collector::metrics::v1::ExportMetricsServiceRequest request;
    ASSERT_TRUE(request.ParseFromString(request_of(source, meters.collect(2000).items)));
    std::map<std::string, std::set<std::string>> destinations;
    std::map<std::string, int> points;
    const auto note = [&](const std::string& name, const auto& all) {
        for (const auto& p : all) {
            ++points[name];
            for (const auto& a : p.attributes())
                if (a.key() == "messaging.destination.name")
                    destinations[name].insert(a.value().string_value());
        }
    };
    for (const auto& m : request.resource_metrics(0).scope_metrics(0).metrics()) {
        note(m.name(), m.sum().data_points());
        note(m.name(), m.gauge().data_points());
        note(m.name(), m.exponential_histogram().data_points());
    }
    const std::set<std::string> all{"4464", "70000", "1048576", "4294967295"};
    EXPECT_EQ(points["brasslift.message.duration"], 16);
    EXPECT_EQ(destinations["brasslift.message.duration"], all);
    EXPECT_EQ(points["brasslift.retries"], 4);
    EXPECT_EQ(destinations["brasslift.retries"], all);
    EXPECT_EQ(points["brasslift.attempt.duration"], 4);
    EXPECT_EQ(destinations["brasslift.destination.window"], (std::set<std::string>{"4464", "70000"}));
}

TEST(Meters, TellDeltasOnceAndNeverBackwards) {
    Meters meters({{"safe"}, {"acme"}}, {10, Temporality::delta}, 5000);
    const auto points = [&](std::uint64_t now) {
        otlp::collector::metrics::v1::ExportMetricsServiceRequest request;
        EXPECT_TRUE(request.ParseFromString(request_of(source, meters.collect(now).items)));
        std::vector<otlp::metrics::v1::NumberDataPoint> all;
        if (request.resource_metrics_size() > 0)
            for (const auto& m : request.resource_metrics(0).scope_metrics(0).metrics())
                for (const auto& p : m.sum().data_points()) all.push_back(p);
        return all;
    };
    meters.taken(0, 0);
    meters.taken(0, 0);
    const auto first = points(6000);
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].as_int(), 2);
    EXPECT_TRUE(points(7000).empty());
    meters.taken(0, 0);
    const auto back = points(100);  // the clock went back
    ASSERT_EQ(back.size(), 1u);
    EXPECT_EQ(back[0].as_int(), 1);
    EXPECT_LE(back[0].start_time_unix_nano(), back[0].time_unix_nano());
}

// Metrics and log records as protobuf's classes read and write them again.
TEST(Encode, WritesMetricsAndLogsThatProtobufWritesAlike) {
    ExponentialHistogram h;
    for (const double v : {0.0, 0.001, 0.5, 3.0, 700.0}) h.record(v);
    const SeriesKey key{{"a", "b"}}, none;
    Metric metric{"name", "s", "text", Metric::Kind::histogram, Temporality::delta, true, 5, 9, {}};
    metric.points.push_back({&key, 0, false, &h});
    Metric sum{"sum", "", "", Metric::Kind::sum, Temporality::cumulative, true, 5, 9, {}};
    sum.points.push_back({&none, 0, true, nullptr});
    Metric gauge{"gauge", "", "", Metric::Kind::gauge, Temporality::cumulative, false, 0, 9, {}};
    gauge.points.push_back({&key, 2.5, false, nullptr});
    const std::vector<std::string> items{encode_item(metric), encode_item(sum), encode_item(gauge)};
    const auto bytes = request_of(source, items);
    otlp::collector::metrics::v1::ExportMetricsServiceRequest request;
    ASSERT_TRUE(request.ParseFromString(bytes));
    EXPECT_EQ(request.SerializeAsString(), bytes);
    const auto& p =
        request.resource_metrics(0).scope_metrics(0).metrics(0).exponential_histogram().data_points(0);
    EXPECT_EQ(p.count(), 5u);
    EXPECT_EQ(p.zero_count(), 1u);
    EXPECT_EQ(p.scale(), h.scale());
    EXPECT_EQ(p.positive().offset(), h.offset());
    EXPECT_EQ(p.max(), 700);

    LogRecord record;
    record.at = record.observed = 77;
    record.body = "it failed";
    record.attributes = {{"brasslift.part", std::string("main")}};
    record.trace[3] = record.span[3] = 1;
    const std::vector<std::string> records{encode_item(record), encode_item(LogRecord{})};
    const auto logged = request_of(source, records);
    otlp::collector::logs::v1::ExportLogsServiceRequest logs;
    ASSERT_TRUE(logs.ParseFromString(logged));
    EXPECT_EQ(logs.SerializeAsString(), logged);
    EXPECT_EQ(logs.resource_logs(0).scope_logs(0).log_records(0).body().string_value(), "it failed");
}

TEST(Encode, JoinsItemsToTheSameRequestAsAWhole) {
    std::vector<Span> spans(300);
    std::vector<std::string> items;
    for (auto& s : spans) {
        s.name = "attempt";
        items.push_back(encode_item(s));
    }
    EXPECT_EQ(request_of(source, items), encode(source, spans));
}

TEST(Answer, ReadsPartialSuccessAndBearsGarbage) {
    otlp::collector::trace::v1::ExportTraceServiceResponse said;
    said.mutable_partial_success()->set_rejected_spans(7);
    said.mutable_partial_success()->set_error_message("no\nroom");
    const auto bytes = said.SerializeAsString();
    EXPECT_EQ(read_partial_success(bytes).rejected, 7);
    EXPECT_EQ(read_partial_success(bytes).text, "no room");
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) read_partial_success(bytes.substr(0, cut));
    EXPECT_EQ(read_partial_success("").rejected, 0);
    EXPECT_EQ(read_partial_success(std::string(1000, '\xff')).rejected, 0);
    said.mutable_partial_success()->set_rejected_spans(-7);
    EXPECT_EQ(read_partial_success(said.SerializeAsString()).rejected, 0);
    std::mt19937_64 random(3);
    for (int i = 0; i < 20000; ++i) {
        std::string noise(random() % 40, ' ');
        for (auto& c : noise) c = static_cast<char>(random());
        EXPECT_GE(read_partial_success(noise).rejected, 0);
    }
}

}  // namespace
}  // namespace brasslift::telemetry
