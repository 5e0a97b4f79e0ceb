// The telemetry model: contexts as strangers write them, what is kept, what is counted, and bytes that
// protobuf reads.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <set>

#include "opentelemetry/proto/collector/trace/v1/trace_service.pb.h"
#include "telemetry/delivery.hpp"
#include "telemetry/encode.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/queue.hpp"
#include "telemetry/sampling.hpp"

namespace brasslift::telemetry {
namespace {

const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(Traceparent, IsReadAsItIsWritten) {
    const auto context = read_traceparent(good);
    ASSERT_TRUE(context);
    EXPECT_TRUE(context->sampled);
    EXPECT_EQ(write_traceparent(*context), good);
    EXPECT_FALSE(read_traceparent(good.substr(0, 54) + "2")->sampled);
    EXPECT_TRUE(read_traceparent(" \t" + good + " "));
}

TEST(Traceparent, BeginsANewTraceWhereItIsMalformed) {
    auto capital = good, dash = good, zero_trace = good, zero_span = good, version = good;
    capital[5] = 'B';
    dash[35] = '_';
    zero_trace.replace(3, 32, std::string(32, '0'));
    zero_span.replace(36, 16, std::string(16, '0'));
    version.replace(0, 2, "ff");
    for (const auto& bad : {std::string(), std::string("00"), capital, dash, zero_trace, zero_span, version,
                            good + "-00", good + "x", good.substr(0, 54), std::string(100000, '0')})
        EXPECT_FALSE(read_traceparent(bad)) << bad.substr(0, 80);
    // A later version may say more behind a dash.
    EXPECT_TRUE(read_traceparent("01" + good.substr(2) + "-what-it-adds"));
    EXPECT_FALSE(read_traceparent("01" + good.substr(2) + "what"));
}

TEST(Tracestate, PassesOnWhatIsWellFormed) {
    EXPECT_EQ(read_tracestate("a=1, b@c=2 ,,d=3"), "a=1,b@c=2,d=3");
    for (const auto* const bad :
         {"a", "A=1", "=1", "a=", "a=1,a=2", "a=b=c", "a=\x01", "1a=1", "a@=1", "a@1b=1"})
        EXPECT_EQ(read_tracestate(bad), "") << bad;
    EXPECT_EQ(read_tracestate("1a@b=1"), "1a@b=1");
}

// 100 KB of it, in one member, in many, and of nothing but commas.
TEST(Tracestate, IsBoundedHoweverHostile) {
    EXPECT_EQ(read_tracestate("a=" + std::string(100000, 'x')), "");
    EXPECT_EQ(read_tracestate(std::string(100000, ',')), "");
    std::string many;
    for (int i = 0; i < 10000; ++i) many += "k" + std::to_string(i) + "=v,";
    EXPECT_EQ(read_tracestate(many), "");
    std::string long_members;
    for (int i = 0; i < 20; ++i) long_members += "k" + std::to_string(i) + '=' + std::string(60, 'v') + ',';
    const auto kept = read_tracestate(long_members);
    EXPECT_LE(kept.size(), most_state);
    EXPECT_TRUE(kept.starts_with("k0="));  // the latest hops' are in front
}

TEST(Ids, DifferAndAreNeverZero) {
    Ids ids(1), others(2);
    std::set<TraceId> seen;
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(seen.insert(ids.trace()).second);
        EXPECT_TRUE(seen.insert(others.trace()).second);
        EXPECT_NE(ids.span(), SpanId{});
    }
}

TEST(Sampling, HeedsTheParentAndElseTheRatio) {
    Ids ids(3);
    Context yes, no;
    yes.sampled = true;
    EXPECT_TRUE(sampled(yes, ids.trace(), 0));
    EXPECT_FALSE(sampled(no, ids.trace(), 1));
    int chosen = 0;
    for (int i = 0; i < 20000; ++i) chosen += sampled(std::nullopt, ids.trace(), 0.1) ? 1 : 0;
    EXPECT_NEAR(chosen, 2000, 200);
    EXPECT_FALSE(sampled(std::nullopt, ids.trace(), 0));
    EXPECT_TRUE(sampled(std::nullopt, ids.trace(), 1));
}

std::string span(std::size_t padding = 0) { return std::string(padding, 'n'); }

TEST(Pending, KeepsWhatTheRatioOrTheEndChose) {
    Pending pending(1 << 20);
    const KeepRule rule{true, true, 3, 1000};
    const auto kept = [&](bool sampled, const Ended& ended) {
        pending.open(1, sampled);
        pending.add(1, span());
        const auto spans = pending.close(1, ended, rule);
        return spans ? spans->size() : 0;
    };
    EXPECT_EQ(kept(false, {}), 0u);
    EXPECT_EQ(kept(true, {}), 1u);
    EXPECT_EQ(kept(false, {true, false, 1, 10}), 1u);
    EXPECT_EQ(kept(false, {false, true, 1, 10}), 1u);
    EXPECT_EQ(kept(false, {false, false, 3, 1000}), 0u);
    EXPECT_EQ(kept(false, {false, false, 4, 10}), 1u);
    EXPECT_EQ(kept(false, {false, false, 1, 1001}), 1u);
    EXPECT_EQ(pending.bytes(), 0u);
}

TEST(Pending, LosesUnsampledMessagesFirstAndWhole) {
    Pending pending(6 * 1050);
    for (std::uint64_t m = 1; m <= 3; ++m) {
        pending.open(m, m == 1);
        pending.add(m, span(1000));
        pending.add(m, span(1000));
    }
    pending.open(4, false);
    pending.add(4, span(1000));  // no room: message 2 is the oldest that was not chosen
    EXPECT_EQ(pending.dropped(), 2u);
    pending.add(2, span(1000));  // what comes later of it would be half a trace
    EXPECT_FALSE(pending.close(2, {true, false, 0, 0}, {}));
    EXPECT_EQ(pending.close(1, {}, {})->size(), 2u);
    EXPECT_EQ(pending.close(3, {true, false, 0, 0}, {})->size(), 2u);
    EXPECT_EQ(pending.close(4, {true, false, 0, 0}, {})->size(), 1u);
    EXPECT_EQ(pending.bytes(), 0u);
    EXPECT_EQ(pending.messages(), 0u);
}

TEST(Pending, StaysWithinItsBoundForLong) {
    std::mt19937_64 random(4);
    Pending pending(20000);
    for (std::uint64_t m = 0; m < 20000; ++m) {
        pending.open(m, random() % 10 == 0);
        for (auto n = random() % 4; n > 0; --n)
            pending.add(m - random() % (m + 1) % 100, span(random() % 300));
        if (m >= 100) pending.close(m - 100, {random() % 20 == 0, false, 1, 1}, {});
        ASSERT_LE(pending.bytes(), 20000u);
    }
    for (std::uint64_t m = 19900; m < 20000; ++m) pending.close(m, {}, {});
    EXPECT_EQ(pending.messages(), 0u);
    EXPECT_EQ(pending.bytes(), 0u);
}

TEST(Queue, DropsTheOldestUnsampledFirstAndCounts) {
    Queue queue(4 * (Queue::overhead + 8));
    queue.put(1, "plain--1", false);
    queue.put(2, "chosen-1", true);
    queue.put(3, "plain--2", false);
    queue.put(4, "chosen-2", true);
    queue.put(5, "chosen-3", true);
    EXPECT_EQ(queue.dropped(), 1u);
    EXPECT_EQ(queue.oldest(), 2);
    queue.put(6, "chosen-4", true);
    queue.put(7, "chosen-5", true);
    EXPECT_EQ(queue.dropped(), 3u);
    std::string order;
    for (const auto& item : queue.take(10, 1 << 20)) order += item + ' ';
    EXPECT_EQ(order, "chosen-2 chosen-3 chosen-4 chosen-5 ");
    EXPECT_EQ(queue.bytes(), 0u);
}

TEST(Queue, TakesInOrderWithinItsBounds) {
    Queue queue(1 << 20);
    for (int i = 0; i < 10; ++i) queue.put(i, std::to_string(i), i % 3 == 0);
    const auto batch = queue.take(4, 1 << 20);
    ASSERT_EQ(batch.size(), 4u);
    for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(batch[i], std::to_string(i));
    EXPECT_EQ(queue.take(100, 0).size(), 1u);  // one at least, or a large one would never go
    EXPECT_EQ(queue.size(), 5u);
    queue.limit(2 * (Queue::overhead + 1));
    EXPECT_EQ(queue.size(), 2u);
}

TEST(Histogram, CountsEveryValueOnceWithinItsBuckets) {
    std::mt19937_64 random(11);
    ExponentialHistogram h(160);
    std::vector<double> values;
    double sum = 0;
    for (int i = 0; i < 20000; ++i) {
        values.push_back(std::exp(static_cast<double>(random() % 16000) / 1000 - 6));
        sum += values.back();
        h.record(values.back());
    }
    h.record(0);
    h.record(-1);
    h.record(std::nan(""));
    EXPECT_EQ(h.count(), 20001u);
    EXPECT_EQ(h.zeros(), 1u);
    EXPECT_NEAR(h.sum(), sum, sum * 1e-9);
    EXPECT_LE(h.buckets().size(), 160u);
    std::uint64_t all = 0;
    for (const auto n : h.buckets()) all += n;
    EXPECT_EQ(all, 20000u);
    // 160 buckets over 16 powers of e: scale 2, an error of a fifth at most.
    EXPECT_GE(h.scale(), 2);
    std::sort(values.begin(), values.end());
    for (const double part : {0.5, 0.9, 0.99}) {
        const double exact = values[static_cast<std::size_t>(part * 20000)];
        EXPECT_NEAR(h.quantile(part), exact, exact * 0.2);
    }
}

TEST(Histogram, PutsPowersOfTwoIntoTheBucketBelow) {
    for (const int exponent : {-300, -1, 0, 1, 5, 300}) {
        ExponentialHistogram h;
        const double value = std::ldexp(1, exponent);
        h.record(value);
        const double base_exponent = std::ldexp(1, -h.scale());
        EXPECT_LT(std::exp2(h.offset() * base_exponent), value) << exponent;
        EXPECT_NEAR(std::exp2((h.offset() + 1) * base_exponent) / value, 1, 1e-9) << exponent;
    }
}

TEST(Histogram, MergesAsIfAllHadBeenRecordedInOne) {
    std::mt19937_64 random(12);
    ExponentialHistogram a, b, all;
    for (int i = 0; i < 5000; ++i) {
        const double low = 1 + static_cast<double>(random() % 1000) / 1e6,
                     wide = std::exp(static_cast<double>(random() % 20) - 10);
        a.record(low);
        b.record(wide);
        all.record(low);
        all.record(wide);
    }
    a.merge(b);
    EXPECT_EQ(a.count(), all.count());
    EXPECT_EQ(a.least(), all.least());
    EXPECT_EQ(a.most(), all.most());
    EXPECT_EQ(a.scale(), all.scale());
    EXPECT_EQ(a.offset(), all.offset());
    EXPECT_EQ(a.buckets(), all.buckets());
}

// 200 destinations against a bound of 50: one series takes the rest, and nothing is lost.
TEST(Series, OverflowIntoOneAndLoseNothing) {
    Series<std::uint64_t> series(50);
    for (int round = 0; round < 3; ++round)
        for (int d = 0; d < 200; ++d) series.at({{"destination", std::to_string(d)}}) += 1;
    EXPECT_EQ(series.points().size(), 50u);
    EXPECT_EQ(series.points().at(Series<std::uint64_t>::overflow()), 3u * 151);
    std::uint64_t sum = 0;
    for (const auto& [key, n] : series.points()) sum += n;
    EXPECT_EQ(sum, 600u);
}

TEST(RetryAfter, IsReadInSeconds) {
    EXPECT_EQ(read_retry_after("2"), 2000);
    EXPECT_EQ(read_retry_after(" 0.25 "), 250);
    EXPECT_EQ(read_retry_after("1e9"), std::nullopt);
    EXPECT_EQ(read_retry_after("999999999999"), 86400000);
    for (const auto* const bad : {"", "-1", "soon", "2s", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"})
        EXPECT_EQ(read_retry_after(bad), std::nullopt) << bad;
}

TEST(Delivery, SendsAgainOnlyWhatTheSpecificationNames) {
    for (int status = 100; status < 600; ++status) {
        Delivery d({}, 1);
        d.begin(0);
        const auto fate = d.end(0, {status, std::nullopt, 0});
        const bool again = status == 429 || status == 502 || status == 503 || status == 504;
        EXPECT_EQ(fate, status / 100 == 2 ? Delivery::Fate::taken
                        : again           ? Delivery::Fate::again
                                          : Delivery::Fate::dropped)
            << status;
    }
    Delivery d({}, 1);
    d.begin(0);
    EXPECT_EQ(d.end(0, {}), Delivery::Fate::again);  // no answer
}

TEST(Delivery, DoublesItsPausesWithinTheirBoundsAndSpreadsThem) {
    double least = 1e9, most = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Delivery d({100, 1000, 1e9, 0.2}, seed);
        d.begin(0);
        Time now = 0;
        for (const double expected : {100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0}) {
            ASSERT_EQ(d.end(now, {503, std::nullopt, 0}), Delivery::Fate::again);
            const double pause = d.not_before() - now;
            ASSERT_GE(pause, expected * 0.8 - 1e-6);
            ASSERT_LE(pause, expected * 1.2 + 1e-6);
            if (expected == 100) least = std::min(least, pause), most = std::max(most, pause);
            now = d.not_before();
        }
        // One that is taken begins anew.
        d.end(now, {200, std::nullopt, 0});
        d.end(now, {503, std::nullopt, 0});
        ASSERT_LE(d.not_before() - now, 120);
    }
    EXPECT_LT(least, 85);
    EXPECT_GT(most, 115);
}

TEST(Delivery, KeepsAToldWaitAndGivesUpInTheEnd) {
    Delivery d({100, 1000, 5000, 0.2}, 1);
    d.begin(0);
    EXPECT_EQ(d.end(0, {429, 4000.0, 0}), Delivery::Fate::again);
    EXPECT_EQ(d.not_before(), 4000);
    EXPECT_EQ(d.end(4000, {429, 2000.0, 0}), Delivery::Fate::dropped);
    EXPECT_EQ(d.not_before(), 6000);  // the next batch waits as it was told
    EXPECT_EQ(d.end(6000, {502, 90000.0, 0}), Delivery::Fate::dropped);
    EXPECT_LT(d.not_before(), 8000);  // a wait that comes with another answer binds nobody
}

TEST(Delivery, CountsWhatAPartialSuccessRejects) {
    Delivery d({}, 1);
    d.begin(0);
    EXPECT_EQ(d.end(0, {200, std::nullopt, 7}), Delivery::Fate::taken);
    EXPECT_EQ(d.end(0, {200, std::nullopt, -5}), Delivery::Fate::taken);
    EXPECT_EQ(d.rejected(), 7u);
}

namespace otlp = opentelemetry::proto;

void add(google::protobuf::RepeatedPtrField<otlp::common::v1::KeyValue>* into,
         const std::vector<Attribute>& attributes) {
    for (const auto& a : attributes) {
        auto* const kv = into->Add();
        kv->set_key(std::string(a.key));
        auto* const v = kv->mutable_value();
        if (const auto* const s = std::get_if<std::string>(&a.value)) v->set_string_value(*s);
        if (const auto* const i = std::get_if<std::int64_t>(&a.value)) v->set_int_value(*i);
        if (const auto* const d = std::get_if<double>(&a.value)) v->set_double_value(*d);
        if (const auto* const b = std::get_if<bool>(&a.value)) v->set_bool_value(*b);
    }
}

std::vector<Attribute> attributes(std::mt19937_64& random) {
    std::vector<Attribute> all;
    for (auto n = random() % 5; n > 0; --n) {
        const auto key = interned("key." + std::to_string(random() % 100));
        switch (random() % 6) {
            case 0: all.push_back({key, std::string(random() % 300, 'v')}); break;
            case 1: all.push_back({key, static_cast<std::int64_t>(random())}); break;
            case 2: all.push_back({key, static_cast<double>(random() % 3)}); break;
            case 3: all.push_back({key, random() % 2 == 0}); break;
            case 4: all.push_back({key, std::int64_t{0}}); break;
            default: all.push_back({key, std::string()});
        }
    }
    return all;
}

// What protobuf's own classes write of the same spans, byte for byte.
TEST(Encode, WritesWhatProtobufWrites) {
    std::mt19937_64 random(13);
    Ids ids(13);
    for (int round = 0; round < 300; ++round) {
        const Source source{attributes(random), round % 2 == 0 ? "brasslift" : "", "0.1.0"};
        otlp::collector::trace::v1::ExportTraceServiceRequest request;
        auto* const resource = request.add_resource_spans();
        add(resource->mutable_resource()->mutable_attributes(), source.resource);
        auto* const scope = resource->add_scope_spans();
        scope->mutable_scope()->set_name(source.scope);
        scope->mutable_scope()->set_version(source.version);
        std::vector<Span> spans(random() % 20);
        for (auto& s : spans) {
            s.trace = ids.trace();
            s.id = ids.span();
            if (random() % 2 == 0) s.parent = ids.span();
            s.name = std::string(random() % 200, 'n');
            s.state = random() % 2 == 0 ? "a=1" : "";
            s.kind = static_cast<SpanKind>(1 + random() % 5);
            s.start = random() % 3 == 0 ? 0 : random();
            s.end = random();
            s.status = static_cast<Status>(random() % 3);
            if (random() % 2 == 0) s.message = "why";
            s.attributes = attributes(random);
            for (auto n = random() % 3; n > 0; --n)
                s.events.push_back({random(), "event", attributes(random)});
            for (auto n = random() % 3; n > 0; --n)
                s.links.push_back({ids.trace(), ids.span(), attributes(random)});

            auto* const p = scope->add_spans();
            p->set_trace_id(s.trace.data(), s.trace.size());
            p->set_span_id(s.id.data(), s.id.size());
            if (s.parent != SpanId{}) p->set_parent_span_id(s.parent.data(), s.parent.size());
            p->set_trace_state(s.state);
            p->set_name(s.name);
            p->set_kind(static_cast<otlp::trace::v1::Span_SpanKind>(s.kind));
            p->set_start_time_unix_nano(s.start);
            p->set_end_time_unix_nano(s.end);
            add(p->mutable_attributes(), s.attributes);
            for (const auto& e : s.events) {
                auto* const pe = p->add_events();
                pe->set_time_unix_nano(e.at);
                pe->set_name(e.name);
                add(pe->mutable_attributes(), e.attributes);
            }
            for (const auto& l : s.links) {
                auto* const pl = p->add_links();
                pl->set_trace_id(l.trace.data(), l.trace.size());
                pl->set_span_id(l.span.data(), l.span.size());
                add(pl->mutable_attributes(), l.attributes);
            }
            if (s.status != Status::unset || !s.message.empty()) {
                p->mutable_status()->set_code(static_cast<otlp::trace::v1::Status_StatusCode>(s.status));
                p->mutable_status()->set_message(s.message);
            }
        }
        ASSERT_EQ(encode(source, spans), request.SerializeAsString());
    }
}

}  // namespace
}  // namespace brasslift::telemetry
