// What telemetry costs a core: encoding against protobuf's own classes, a histogram's record, a context read.
#include <benchmark/benchmark.h>

#include "opentelemetry/proto/collector/trace/v1/trace_service.pb.h"
#include "telemetry/encode.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/trace.hpp"

namespace {

using namespace brasslift::telemetry;

std::vector<Span> batch(std::size_t count) {
    Ids ids(1);
    std::vector<Span> spans(count);
    for (auto& s : spans) {
        s.trace = ids.trace();
        s.id = ids.span();
        s.parent = ids.span();
        s.name = "attempt";
        s.kind = SpanKind::client;
        s.start = 1'800'000'000'000'000'000;
        s.end = s.start + 5'000'000;
        s.attributes = {
            {"server.address", std::string("127.0.0.1")},     {"server.port", std::int64_t{8081}},
            {"http.response.status_code", std::int64_t{200}}, {"brasslift.class", std::string("payment")},
            {"brasslift.destination", std::int64_t{7}},       {"brasslift.attempt", std::int64_t{1}}};
    }
    return spans;
}

const Source source{{{"service.name", std::string("brasslift")}}, "brasslift", "0.1.0"};

void encode_directly(benchmark::State& state) {
    const auto spans = batch(512);
    std::size_t bytes = 0;
    for (auto _ : state) bytes = encode(source, spans).size();
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 512);
    state.counters["bytes_a_span"] = static_cast<double>(bytes) / 512;
}
BENCHMARK(encode_directly);

void encode_by_protobuf(benchmark::State& state) {
    const auto spans = batch(512);
    std::size_t bytes = 0;
    for (auto _ : state) {
        opentelemetry::proto::collector::trace::v1::ExportTraceServiceRequest request;
        auto* const resource = request.add_resource_spans();
        auto* const name = resource->mutable_resource()->add_attributes();
        name->set_key("service.name");
        name->mutable_value()->set_string_value("brasslift");
        auto* const scope = resource->add_scope_spans();
        scope->mutable_scope()->set_name("brasslift");
        scope->mutable_scope()->set_version("0.1.0");
        for (const auto& s : spans) {
            auto* const p = scope->add_spans();
            p->set_trace_id(s.trace.data(), s.trace.size());
            p->set_span_id(s.id.data(), s.id.size());
            p->set_parent_span_id(s.parent.data(), s.parent.size());
            p->set_name(s.name);
            p->set_kind(static_cast<opentelemetry::proto::trace::v1::Span_SpanKind>(s.kind));
            p->set_start_time_unix_nano(s.start);
            p->set_end_time_unix_nano(s.end);
            for (const auto& a : s.attributes) {
                auto* const kv = p->add_attributes();
                kv->set_key(std::string(a.key));
                if (const auto* const text = std::get_if<std::string>(&a.value))
                    kv->mutable_value()->set_string_value(*text);
                if (const auto* const number = std::get_if<std::int64_t>(&a.value))
                    kv->mutable_value()->set_int_value(*number);
            }
        }
        bytes = request.SerializeAsString().size();
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 512);
    state.counters["bytes_a_span"] = static_cast<double>(bytes) / 512;
}
BENCHMARK(encode_by_protobuf);

void histogram_record(benchmark::State& state) {
    ExponentialHistogram h;
    double value = 1;
    for (auto _ : state) {
        value = value > 1e4 ? 1 : value * 1.01;
        h.record(value);
    }
    benchmark::DoNotOptimize(h.count());
}
BENCHMARK(histogram_record);

void context_read(benchmark::State& state) {
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    for (auto _ : state) benchmark::DoNotOptimize(read_traceparent(header));
}
BENCHMARK(context_read);

}  // namespace

BENCHMARK_MAIN();
