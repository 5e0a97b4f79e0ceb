// The real program and a collector that is well, ill or gone: what it holds, and that no message waits for
// it.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "lives.hpp"
#include "scenario.hpp"

namespace brasslift::test {
namespace {

using standins::Kept;
using standins::Span;

std::vector<Span> named(const Kept& kept, const std::string& name) {
    std::vector<Span> found;
    std::copy_if(kept.spans.begin(), kept.spans.end(), std::back_inserter(found),
                 [&](const auto& s) { return s.name == name; });
    return found;
}

const std::string traced =
    "POST /safe HTTP/1.1\\r\\nReq-Id: m1\\r\\nReq-Owner: acme\\r\\nReq-Deadline: 8000m\\r\\nIdempotency-Key: "
    "k1\\r\\n"
    "X-Addressing: dest=1\\r\\n";
const std::string parent = "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\\r\\n";
const std::string body = "Content-Length: 5\\r\\n\\r\\nhello";

TEST(Export, TiesAMessageToTheTraceThatItsClientBegan) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" metrics { interval: "100ms" } }
        start
        c1 send )" + traced +
                       parent + "tracestate: a=1\\r\\ntracestate: b=2\\r\\n" + body + R"(
        c1 expect HTTP/1.1 202
        h expect traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-
        h expect tracestate: a=1,b=2
        h answer 500
        h expect traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-
        h answer 200
        k shows span deliver brasslift.outcome=delivered
        k shows metric brasslift.messages.ended 1 brasslift.outcome=delivered
        k shows metric brasslift.retries 1 messaging.destination.name=1
        k shows metric brasslift.messages.held 0
    )",
                   kept),
              "");
    const auto root = named(kept, "deliver"), attempts = named(kept, "attempt"),
               sleeps = named(kept, "back-off");
    ASSERT_EQ(root.size(), 1u);
    EXPECT_EQ(root[0].trace, "4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_EQ(root[0].parent, "00f067aa0ba902b7");
    EXPECT_EQ(root[0].attributes.at("messaging.message.id"), "m1");
    EXPECT_EQ(root[0].attributes.at("brasslift.class"), "safe");
    EXPECT_EQ(root[0].attributes.at("brasslift.tenant"), "acme");
    ASSERT_EQ(attempts.size(), 2u);
    for (const auto& a : attempts) {
        EXPECT_EQ(a.parent, root[0].id);
        EXPECT_EQ(a.trace, root[0].trace);
        EXPECT_EQ(a.state, "a=1,b=2");
        EXPECT_EQ(a.attributes.at("brasslift.progress"), "answered");
        EXPECT_GE(a.start, root[0].start);
        EXPECT_LE(a.end, root[0].end);
    }
    EXPECT_EQ(attempts[0].attributes.at("http.response.status_code"), "500");
    EXPECT_EQ(attempts[1].attributes.at("http.request.resend_count"), "1");
    ASSERT_EQ(sleeps.size(), 1u);
    EXPECT_GE(sleeps[0].end - sleeps[0].start, 190'000'000u);
    EXPECT_EQ(kept.resource.at("service.instance.id"), "n1");
    EXPECT_EQ(kept.headers.at("content-encoding"), "gzip");
    EXPECT_EQ(kept.connections, 1u);
    EXPECT_EQ(kept.faults, 0u);
}

TEST(Export, BeginsANewTraceWhereTheClientsIsMalformedAndShowsAToldWait) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" gzip: OFF }
        start
        c1 send )" + traced +
                       "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x\\r\\n" + body +
                       R"(
        c1 expect HTTP/1.1 202
        h expect traceparent: 00-
        h answer 429 X-RateLimit-Wait-Ms: 300
        h expect Req-Id: m1
        h answer 200
        k shows span deliver
    )",
                   kept),
              "");
    const auto root = named(kept, "deliver"), waits = named(kept, "told wait");
    ASSERT_EQ(root.size(), 1u);
    EXPECT_NE(root[0].trace, "4bf92f3577b34da6a3ce929d0e0e4736");
    EXPECT_EQ(root[0].parent, "");
    ASSERT_EQ(waits.size(), 1u);
    EXPECT_GE(waits[0].end - waits[0].start, 300'000'000u);
    EXPECT_EQ(kept.headers.count("content-encoding"), 0u);
}

// Heads of over 16 KiB are refused as before; what is within them is read within its bounds.
TEST(Export, BearsAHostileTracestate) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" }
        start
        c1 send )" + traced +
                       parent + "tracestate: a=" + std::string(100000, 'x') + "\\r\\n" + body + R"(
        c1 expect HTTP/1.1 431
        c2 send )" + traced +
                       parent + "tracestate: a=" + std::string(9000, 'x') + "\\r\\n" + body + R"(
        c2 expect HTTP/1.1 202
        h expect traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-
        h answer 200
        k shows span deliver
    )",
                   kept),
              "");
    EXPECT_EQ(named(kept, "deliver")[0].state, "");
}

TEST(Export, LinksAMessageThatIsHandedInAgain) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator limit { name: "each" by: TENANT held: 1 }\ntelemetry { collector: "@k" batch_age: "50ms" }
        start
        c1 post keyed first 8000m 1
        c1 expect 202
        h1 expect Req-Id: first
        c2 post safe second 8000m 1
        c2 expect 429
        h1 answer 200
        k shows span deliver
        c2 send POST /safe HTTP/1.1\r\nReq-Id: third\r\nReq-Owner: acme\r\nReq-Retry: 1\r\nReq-Deadline: 8000m\r\n
        c2 send Idempotency-Key: key-second\r\nX-Addressing: dest=1\r\nContent-Length: 5\r\n\r\nhello
        c2 expect 202
        h expect Req-Id: third
        c3 send POST /keyed HTTP/1.1\r\nReq-Id: fourth\r\nReq-Owner: bolt\r\nReq-Deadline: 8000m\r\n
        c3 send Idempotency-Key: key-second\r\nX-Addressing: dest=1\r\nContent-Length: 5\r\n\r\nhello
        c3 expect 202
        c4 send POST /keyed HTTP/1.1\r\nReq-Id: fifth\r\nReq-Owner: coop\r\nReq-Deadline: 8000m\r\n
        c4 send Idempotency-Key: k\r\nX-Addressing: dest=1\r\nContent-Length: 5\r\n\r\nhello
        c4 expect 202
        wait 30
        h answer 200
        h expect Req-Id: f
        h answer 200
        h expect Req-Id: f
        h answer 200
        k shows span deliver messaging.message.id=third
        k shows span refuse messaging.message.id=second brasslift.reason=rule brasslift.rule=each
    )",
                   kept),
              "");
    const auto refused = named(kept, "refuse"), ended = named(kept, "deliver");
    ASSERT_EQ(refused.size(), 1u);
    const auto third = std::find_if(ended.begin(), ended.end(), [](const auto& s) {
        return s.attributes.at("messaging.message.id") == "third";
    });
    ASSERT_NE(third, ended.end());
    ASSERT_EQ(third->links.size(), 1u);
    EXPECT_EQ(third->links[0], std::pair(refused[0].trace, refused[0].id));
    // Another tenant's key is another key.
    for (const auto& s : ended) EXPECT_TRUE(s.attributes.at("brasslift.tenant") != "bolt" || s.links.empty());
}

// A collector that is down, silent or slow since before the start: messages do not notice.
TEST(Export, NoMessageWaitsForACollector) {
    for (const char* const ill : {"down", "behaves silent", "behaves slow 3000", "behaves reset",
                                  "behaves garbage", "behaves status 503", "behaves status 429 30"}) {
        EXPECT_EQ(play(std::string("k ") + ill + R"(
            operator telemetry { collector: "@k" batch_age: "50ms" timeout: "300ms" queue: "64KiB" metrics { interval: "100ms" } }
            start
            c1 post safe m1 8000m 1
            c1 expect HTTP/1.1 202
            h expect Req-Id: m1
            h answer 200
            wait 300
            c1 post safe m2 8000m 1
            c1 expect HTTP/1.1 202
            h expect Req-Id: m2
            h answer 200
            term
            exits 0
        )"),
                  "")
            << ill;
    }
}

TEST(Export, SendsAgainWhatWasNotTakenAndCountsItOnce) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" timeout: "300ms" metrics { interval: "200ms" } traces { shortest_queue: "10s" } }
        k behaves 1 status 503 0.2
        k behaves 1 reset
        start
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 200
        k shows span deliver
        k shows metric brasslift.telemetry.items 2 brasslift.signal=traces brasslift.fate=sent
    )",
                   kept),
              "");
    EXPECT_EQ(kept.spans.size(), 2u);
}

// The answer comes after the time-out: the collector has the batch twice, with the same ids, and it is
// counted once.
TEST(Export, CountsABatchOnceWhoseAnswerCameTooLate) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" timeout: "200ms" metrics { export: OFF } logs { export: OFF } traces { shortest_queue: "10s" } }
        k behaves 1 slow 400
        start
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 200
        k shows request /v1/traces taken
        operator telemetry { collector: "@k" batch_age: "50ms" metrics { interval: "100ms" } }
        reload d
        k shows metric brasslift.telemetry.items 2 brasslift.signal=traces brasslift.fate=sent
    )",
                   kept),
              "");
    std::set<std::string> ids;
    for (const auto& s : kept.spans) ids.insert(s.id);
    EXPECT_EQ(kept.spans.size(), 4u);
    EXPECT_EQ(ids.size(), 2u);
    EXPECT_GE(kept.connections, 2u);
    EXPECT_LE(kept.most_open, 2u);
}

TEST(Export, LogsAPartialSuccessAndDoesNotSendItAgain) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" metrics { interval: "300ms" } }
        start
        k behaves 1 partial 1
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 200
        k shows span deliver
        k shows log rejected 1 items
        wait 400
    )",
                   kept),
              "");
    EXPECT_EQ(named(kept, "deliver").size(), 1u);
}

// The queue overflows while nobody listens; what is lost is told when somebody does.
TEST(Export, TellsWhatItLostWhenTheCollectorIsBack) {
    std::string many;
    for (int i = 0; i < 150; ++i) {
        const auto id = "m" + std::to_string(i);
        many += "c1 post safe " + id + " 8000m 1\nc1 expect 202\nh expect Req-Id: " + id + "\nh answer 200\n";
    }
    Kept kept;
    EXPECT_EQ(play(R"(
        k down
        operator telemetry { collector: "@k" batch: 10 batch_age: "50ms" queue: "64KiB" metrics { interval: "200ms" } traces { shortest_queue: "10s" } }
        start
        )" + many + R"(
        k up
        k shows span deliver messaging.message.id=m149
        k shows metric brasslift.messages.ended 150 brasslift.outcome=delivered
        wait 500
    )",
                   kept),
              "");
    const double lost = kept.latest("brasslift.telemetry.items",
                                    {{"brasslift.signal", "traces"}, {"brasslift.fate", "crowded_out"}});
    EXPECT_GT(lost, 0);
    EXPECT_EQ(static_cast<double>(kept.spans.size()) + lost, 300);
}

TEST(Export, GoesToAnotherCollectorAfterAReload) {
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" timeout: "60s" logs { export: OFF } metrics { export: OFF } }
        k behaves silent
        start
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 200
        k shows request /v1/traces silent
        operator telemetry { collector: "@l" batch_age: "50ms" timeout: "60s" }
        reload d
        l shows span deliver messaging.message.id=m1
        operator bounds { head: "8KiB" }
        reload d
        wait 100
        c1 post safe m2 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m2
        h answer 200
        l lacks span deliver 300 messaging.message.id=m2
    )"),
              "");
}

TEST(Export, GoesOnInItsTraceAfterARestart) {
    for (const char* const end : {"kill", "term\nexits 0"}) {
        Kept kept;
        EXPECT_EQ(play(R"(
            operator telemetry { collector: "@k" batch_age: "50ms" traces { ratio: "0%" shortest_queue: "10s" } }
            start
            c1 send )" + traced +
                           "traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00\\r\\n" +
                           body + R"(
            c1 expect HTTP/1.1 202
            h expect traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-
            )" + end + R"(
            start
            h expect Req-Id: m1
            h answer 200
            k shows span deliver
            kill
            start
            wait 200
        )",
                       kept),
                  "");
        const auto root = named(kept, "deliver"), attempts = named(kept, "attempt");
        ASSERT_EQ(root.size(), 1u) << end;
        EXPECT_EQ(root[0].trace, "4bf92f3577b34da6a3ce929d0e0e4736");
        EXPECT_EQ(root[0].parent, "00f067aa0ba902b7");
        EXPECT_EQ(root[0].events, std::vector<std::string>{"restart"});
        ASSERT_EQ(attempts.size(), 2u) << end;
        // The module gives a call up before the end that SIGTERM has; a kill leaves that to the next life.
        EXPECT_EQ(attempts[0].attributes.at("brasslift.result"),
                  std::string(end) == "kill" ? "interrupted" : "timeout");
        EXPECT_EQ(attempts[0].parent, root[0].id);
        EXPECT_NE(attempts[0].id, attempts[1].id);
        EXPECT_GE(attempts[0].start, root[0].start);
    }
}

// Without telemetry the journal is the version before's, byte for byte: it is read with telemetry on, and one
// that was written with it on is read without.
TEST(Export, ReadsAJournalWithoutMarksAndLeavesOneThatIsReadWithoutIt) {
    Kept kept;
    EXPECT_EQ(play(R"(
        start
        c1 post safe m1 8000m 2
        c1 expect HTTP/1.1 202
        g expect Req-Id: m1
        kill
        operator telemetry { collector: "@k" batch_age: "50ms" }
        start
        g expect Req-Id: m1
        g expect traceparent: 00-
        c2 post safe m2 8000m 1
        c2 expect HTTP/1.1 202
        h expect Req-Id: m2
        kill
        operator bounds { head: "16KiB" }
        start
        h expect Req-Id: m2
        h answer 200
        g expect Req-Id: m1
        g answer 200
    )",
                   kept),
              "");
}

TEST(Export, KeepsWhatFailedWhateverTheRatio) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" traces { ratio: "0%" } }
        start
        c1 post payment m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 500
        k shows span deliver brasslift.outcome=undeliverable brasslift.may_have_run=true
        k shows log m1 to 1 ended undeliverable after 1 attempts
        c1 post safe m2 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m2
        h answer 200
        k lacks span deliver 300 messaging.message.id=m2
    )",
                   kept),
              "");
    EXPECT_EQ(named(kept, "attempt").size(), 1u);
    const auto record = std::find_if(kept.records.begin(), kept.records.end(), [](const auto& r) {
        return r.body.find("m1 to 1") != std::string::npos;
    });
    ASSERT_NE(record, kept.records.end());
    EXPECT_EQ(record->trace, named(kept, "deliver")[0].trace);
}

TEST(Export, NeverShowsASecret) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" batch_age: "50ms" header { name: "Authorization" value: "Bearer s3cr3t" } }
        k behaves 1 status 401
        start
        c1 post safe m1 8000m 1
        c1 expect HTTP/1.1 202
        h expect Req-Id: m1
        h answer 200
        k shows log the collector takes again
    )",
                   kept),
              "");
    EXPECT_EQ(kept.headers.at("authorization"), "Bearer s3cr3t");
    for (const auto& r : kept.records) EXPECT_EQ(r.body.find("s3cr3t"), std::string::npos) << r.body;
}

// Message by message and attempt by attempt, through failures, refusals and a restart. bench/telemetry_run
// plays it with twenty times as many.
TEST(Export, TellsEveryLifeAsItWas) {
    LivesPlan plan;
    plan.messages = 1000;
    plan.per_second = 600;
    plan.trouble = true;
    plan.restart_after = 500;
    plan.telemetry = "telemetry { collector: \"@k\" batch_age: \"100ms\" }";
    const auto account = live(BRASSLIFT_PROGRAM, plan);
    const auto found = differences(account);
    EXPECT_TRUE(found.empty()) << found.size() << ", the first: " << found.front();
    EXPECT_GT(account.kept.spans.size(), 1500u);
    EXPECT_EQ(account.kept.faults, 0u);
}

TEST(Export, BoundsItsSeries) {
    Kept kept;
    EXPECT_EQ(play(R"(
        operator telemetry { collector: "@k" metrics { interval: "100ms" series: 2 temporality: DELTA } }
        start
        c1 post safe m1 8000m 1
        c1 expect 202
        h expect Req-Id: m1
        h answer 200
        c1 post keyed m2 8000m 1
        c1 expect 202
        h expect Req-Id: m2
        h answer 200
        c1 post payment m3 8000m 2
        c1 expect 202
        g expect Req-Id: m3
        g answer 200
        wait 500
    )",
                   kept),
              "");
    double sum = 0, overflow = 0;
    for (const auto& p : kept.points) {
        if (p.metric != "brasslift.messages.ended") continue;
        sum += p.value;
        if (p.attributes.count("otel.metric.overflow") > 0) overflow += p.value;
        EXPECT_FALSE(p.cumulative);
    }
    EXPECT_EQ(sum, 3);
    EXPECT_GE(overflow, 0);
}

}  // namespace
}  // namespace brasslift::test
