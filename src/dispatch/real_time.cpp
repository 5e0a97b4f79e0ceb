#include "dispatch/real_time.hpp"

#include <cmath>
#include <fstream>

#include "dispatch/records.hpp"
#include "runtime/log.hpp"
#include "runtime/scheduler.hpp"

namespace brasslift::dispatch {
namespace {

constexpr const char* anchor_key = "clock";
constexpr double worth_a_line_ms = 1000;  // a step of the wall clock

std::string boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(in, id);
    return id;
}

std::optional<ClockAnchor> kept_in(const store::Store& store) {
    std::string value;
    if (store.read(meta_keyspace, anchor_key, value) != store::Fault::none) return std::nullopt;
    store::ValueReader in(value);
    ClockAnchor anchor;
    anchor.offset_ms = in.number<double>();
    anchor.steady_ms = in.number<double>();
    anchor.boot = in.text();
    return in.good() ? std::optional(anchor) : std::nullopt;
}

void keep_in(store::Store& store, const ClockAnchor& anchor) {
    store::Batch batch;
    batch.put(meta_keyspace, anchor_key,
              store::ValueWriter().number(anchor.offset_ms).number(anchor.steady_ms).text(anchor.boot).take(),
              static_cast<store::Stamp>(anchor.steady_ms + anchor.offset_ms));
    store.write(batch, store::Purpose::owed);
}

}  // namespace

bool still_holds(const ClockAnchor& kept, const ClockReading& now) {
    return !now.boot.empty() && kept.boot == now.boot && kept.steady_ms <= now.steady_ms &&
           std::isfinite(kept.offset_ms);
}

RealTime::RealTime()
    : reading_{runtime::steady_now(), runtime::wall_now(), boot_id()},
      offset_ms_(reading_.wall_ms - reading_.steady_ms) {}

void RealTime::load(store::Store& store) {
    const auto kept = kept_in(store);
    if (!kept || !still_holds(*kept, reading_))
        return keep_in(store, {offset_ms_, reading_.steady_ms, reading_.boot});
    const double step = offset_ms_ - kept->offset_ms;
    offset_ms_ = kept->offset_ms;
    if (std::abs(step) > worth_a_line_ms)
        runtime::log("store", "the wall clock was moved by %.0f ms since the store's clock was set", step);
}

double RealTime::now() const { return runtime::steady_now() + offset_ms_; }

}  // namespace brasslift::dispatch
