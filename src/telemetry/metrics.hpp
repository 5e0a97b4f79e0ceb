// Counters, gauges and exponential histograms with bounded series. Source: the OpenTelemetry metrics data
// model. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "telemetry/trace.hpp"

namespace brasslift::telemetry {

// Buckets whose bounds are powers of 2^(2^-scale). The scale falls, halving the resolution, whenever the
// values would need more buckets than there may be; merging keeps every count.
class ExponentialHistogram {
public:
    static constexpr int most_scale = 20, least_scale = -10;
    explicit ExponentialHistogram(std::size_t most_buckets = 160) : most_buckets_(most_buckets) {}

    // Values below zero and those that are no numbers are not counted.
    void record(double value);
    void merge(const ExponentialHistogram& other);

    std::uint64_t count() const { return count_; }
    std::uint64_t zeros() const { return zeros_; }
    double sum() const { return sum_; }
    double least() const { return least_; }
    double most() const { return most_; }
    int scale() const { return scale_; }
    // The index of the first bucket; bucket i holds (base^i, base^(i+1)].
    int offset() const { return offset_; }
    const std::vector<std::uint64_t>& buckets() const { return buckets_; }
    // The value below which a part of those counted lies, to within a bucket.
    double quantile(double part) const;

private:
    static int index_of(double value, int scale);
    void add(int index, std::uint64_t times);
    void coarsen(int by);

    std::size_t most_buckets_;
    int scale_ = most_scale, offset_ = 0;
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0, zeros_ = 0;
    double sum_ = 0, least_ = 0, most_ = 0;
};

enum class Temporality : std::uint8_t { delta = 1, cumulative = 2 };

using SeriesKey = std::vector<std::pair<std::string, std::string>>;

// Series of one instrument by their attributes. Past `most_series` values go into one series that carries
// `otel.metric.overflow`, so that nothing is uncounted.
template <class Point>
class Series {
public:
    explicit Series(std::size_t most_series) : most_(most_series) {}

    using Key = SeriesKey;
    Point& at(const Key& key) {
        if (const auto found = points_.find(key); found != points_.end()) return found->second;
        // One place is the overflow's own.
        if (points_.size() + 1 < most_) return points_[key];
        return points_[overflow()];
    }
    static Key overflow() { return {{"otel.metric.overflow", "true"}}; }
    const std::map<Key, Point>& points() const { return points_; }
    // Delta: what has been told starts anew, and so do the series.
    void clear() { points_.clear(); }

private:
    std::size_t most_;
    std::map<Key, Point> points_;
};

}  // namespace brasslift::telemetry
