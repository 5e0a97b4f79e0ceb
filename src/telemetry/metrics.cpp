#include "telemetry/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace brasslift::telemetry {

// Bucket i of scale s holds (2^(i/2^s), 2^((i+1)/2^s)]: upper bounds belong to their bucket.
int ExponentialHistogram::index_of(double value, int scale) {
    int exponent = 0;
    const double fraction =
        std::frexp(value, &exponent);  // value = fraction * 2^exponent, fraction in [0.5, 1)
    if (scale <= 0) {
        // A power of two is its bucket's upper bound.
        const int whole = fraction == 0.5 ? exponent - 2 : exponent - 1;
        return whole >> -scale;
    }
    if (fraction == 0.5) return ((exponent - 1) << scale) - 1;
    return static_cast<int>(std::ceil(std::ldexp(std::log2(value), scale))) - 1;
}

void ExponentialHistogram::coarsen(int by) {
    if (by <= 0) return;
    scale_ -= by;
    if (buckets_.empty()) return;
    const int first = offset_ >> by, last = (offset_ + static_cast<int>(buckets_.size()) - 1) >> by;
    std::vector<std::uint64_t> merged(static_cast<std::size_t>(last - first + 1));
    for (std::size_t i = 0; i < buckets_.size(); ++i)
        merged[static_cast<std::size_t>(((offset_ + static_cast<int>(i)) >> by) - first)] += buckets_[i];
    buckets_ = std::move(merged);
    offset_ = first;
}

void ExponentialHistogram::add(int index, std::uint64_t times) {
    if (buckets_.empty()) {
        offset_ = index;
        buckets_.push_back(times);
        return;
    }
    int first = std::min(index, offset_),
        last = std::max(index, offset_ + static_cast<int>(buckets_.size()) - 1), by = 0;
    while (static_cast<std::size_t>((last >> by) - (first >> by)) + 1 > most_buckets_ &&
           scale_ - by > least_scale)
        ++by;
    coarsen(by);
    index >>= by;
    first = std::min(index, offset_);
    last = std::max(index, offset_ + static_cast<int>(buckets_.size()) - 1);
    if (first < offset_) buckets_.insert(buckets_.begin(), static_cast<std::size_t>(offset_ - first), 0);
    offset_ = first;
    if (static_cast<std::size_t>(last - first) + 1 > buckets_.size())
        buckets_.resize(static_cast<std::size_t>(last - first) + 1);
    buckets_[static_cast<std::size_t>(index - offset_)] += times;
}

void ExponentialHistogram::record(double value) {
    if (!std::isfinite(value) || value < 0) return;
    least_ = count_ == 0 ? value : std::min(least_, value);
    most_ = std::max(most_, value);
    ++count_;
    sum_ += value;
    // What has no normal form is as good as zero.
    if (value < std::numeric_limits<double>::min())
        ++zeros_;
    else
        add(index_of(value, scale_), 1);
}

void ExponentialHistogram::merge(const ExponentialHistogram& other) {
    if (other.count_ == 0) return;
    least_ = count_ == 0 ? other.least_ : std::min(least_, other.least_);
    most_ = std::max(most_, other.most_);
    count_ += other.count_;
    zeros_ += other.zeros_;
    sum_ += other.sum_;
    auto theirs = other;
    if (theirs.scale_ > scale_) theirs.coarsen(theirs.scale_ - scale_);
    if (scale_ > theirs.scale_) coarsen(scale_ - theirs.scale_);
    for (std::size_t i = 0; i < theirs.buckets_.size(); ++i) {
        if (theirs.buckets_[i] == 0) continue;
        // Adding may have coarsened this one further.
        add((theirs.offset_ + static_cast<int>(i)) >> (theirs.scale_ - scale_), theirs.buckets_[i]);
    }
}

double ExponentialHistogram::quantile(double part) const {
    if (count_ == 0) return 0;
    auto left =
        static_cast<std::uint64_t>(std::ceil(std::clamp(part, 0.0, 1.0) * static_cast<double>(count_)));
    if (left <= zeros_) return 0;
    left -= zeros_;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        if (buckets_[i] < left) {
            left -= buckets_[i];
            continue;
        }
        const double upper = std::exp2(std::ldexp(offset_ + static_cast<double>(i) + 1, -scale_));
        return std::clamp(upper, least_, most_);
    }
    return most_;
}

}  // namespace brasslift::telemetry
