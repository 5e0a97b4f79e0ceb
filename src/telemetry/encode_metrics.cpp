#include "telemetry/backwards.hpp"
#include "telemetry/encode.hpp"

namespace brasslift::telemetry {
namespace {

void put(Backwards& out, std::uint32_t field, const SeriesKey& key) {
    for (auto pair = key.rbegin(); pair != key.rend(); ++pair) {
        const auto whole = out.size();
        // The specification's overflow mark is a flag, not a text.
        put(out, key == Series<int>::overflow() ? Value(true) : Value(pair->second));
        out.close(2, whole);
        out.text(1, pair->first);
        out.close(field, whole);
    }
}

void put_number(Backwards& out, const Metric& metric, const Metric::Point& point) {
    const auto whole = out.size();
    put(out, 7, *point.key);
    if (point.whole)
        out.fixed(6, static_cast<std::uint64_t>(static_cast<std::int64_t>(point.value)), true);
    else
        out.real(4, point.value);
    out.fixed(3, metric.time);
    // A gauge is of its moment alone.
    if (metric.kind == Metric::Kind::sum) out.fixed(2, metric.start);
    out.close(1, whole);
}

void put_histogram(Backwards& out, const Metric& metric, const Metric::Point& point) {
    const auto& h = *point.histogram;
    const auto whole = out.size();
    out.real(13, h.most());
    out.real(12, h.least());
    const auto positive = out.size();
    const auto& buckets = h.buckets();
    if (!buckets.empty()) {
        const auto counts = out.size();
        for (auto count = buckets.rbegin(); count != buckets.rend(); ++count) out.varint(*count);
        out.close(2, counts);
        out.zigzag(1, h.offset());
        out.close(8, positive);
    }
    out.fixed(7, h.zeros());
    out.zigzag(6, h.scale());
    out.real(5, h.sum());
    out.fixed(4, h.count());
    out.fixed(3, metric.time);
    out.fixed(2, metric.start);
    put(out, 1, *point.key);
    out.close(1, whole);
}

}  // namespace

std::string encode_item(const Metric& metric) {
    static Backwards out(16384);
    out.clear();
    const auto whole = out.size(), data = whole;
    const bool gauge = metric.kind == Metric::Kind::gauge, sum = metric.kind == Metric::Kind::sum;
    if (sum && metric.monotonic) out.number(3, 1);
    if (!gauge) out.number(2, static_cast<std::uint64_t>(metric.temporality));
    for (auto point = metric.points.rbegin(); point != metric.points.rend(); ++point)
        metric.kind == Metric::Kind::histogram ? put_histogram(out, metric, *point)
                                               : put_number(out, metric, *point);
    out.close(gauge ? 5 : sum ? 7 : 10, data);
    out.text(3, metric.unit);
    out.text(2, metric.description);
    out.text(1, metric.name);
    out.close(2, whole);
    return std::string(out.written());
}

}  // namespace brasslift::telemetry
