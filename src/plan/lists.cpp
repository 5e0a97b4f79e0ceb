#include "plan/lists.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace brasslift::plan {
namespace {

// As for limits that say nothing else: turns up to half a minute ahead.
constexpr double horizon_ms = 30000;
constexpr std::size_t bookings = 1024;

Lane::Shape shape_of(double rate) { return {rate / 1000, std::max(1.0, rate), horizon_ms, bookings}; }

}  // namespace

void Lists::change(const ListChange& change) {
    if (change.kind == ListKind::endpoints_kept_out) return;
    auto& contents = contents_[change.name];
    if (change.whole) contents.entries.clear();
    contents.kind = change.kind;
    for (const auto& key : change.drop) contents.entries.erase(key);
    for (const auto& [key, value] : change.put) contents.entries[key] = value;
}

void Lists::hold(const std::vector<ListRule>& rules, const Names& names, Time now) {
    shut_.clear();
    barred_.clear();
    auto before = std::exchange(caps_, {});
    std::unordered_map<std::string_view, std::uint16_t> tenants;
    for (std::size_t i = 0; i < names.tenants.size(); ++i)
        tenants.emplace(names.tenants[i], static_cast<std::uint16_t>(i));
    for (const auto& rule : rules) {
        const auto found = contents_.find(rule.name);
        if (found == contents_.end() || found->second.kind != rule.kind) continue;
        for (const auto& [key, value] : found->second.entries) {
            const Bar bar{&rule.name, rule.pause_ms};
            if (rule.kind == ListKind::destinations_shut) {
                DestinationId number = 0;
                const auto* const last = key.data() + key.size();
                const auto [end, bad] = std::from_chars(key.data(), last, number);
                if (bad == std::errc{} && end == last) shut_.emplace(number, bar);
                continue;
            }
            const auto tenant = tenants.find(key);
            if (tenant == tenants.end()) continue;  // of another platform
            if (rule.kind == ListKind::tenants_barred) {
                barred_.emplace(tenant->second, bar);
                continue;
            }
            const double rate = static_cast<double>(value) / 3'600'000;
            // Of several caps the lowest holds.
            const auto [at, fresh] = caps_.try_emplace(tenant->second);
            if (!fresh && at->second.rate <= rate) continue;
            at->second.by = &rule.name;
            at->second.rate = rate;
        }
    }
    for (auto& [tenant, cap] : caps_) {
        const auto was = before.find(tenant);
        if (was == before.end()) {
            cap.lane = Lane(shape_of(cap.rate), now);
        } else {
            cap.lane = std::move(was->second.lane);
            cap.lane.reshape(shape_of(cap.rate), now);
        }
    }
}

Lists::Look Lists::look(Time now, const Subject& subject, std::uint64_t print) {
    if (const auto shut = shut_.find(subject.destination); shut != shut_.end())
        return {shut->second.by, shut->second.pause_ms};
    if (const auto barred = barred_.find(subject.tenant); barred != barred_.end())
        return {barred->second.by, barred->second.pause_ms};
    const auto cap = caps_.find(subject.tenant);
    if (cap == caps_.end()) return {};
    Look look;
    look.capped = true;
    look.grant = cap->second.lane.look(now, print);
    if (look.grant == Lane::Grant::none) look.by = cap->second.by;
    return look;
}

void Lists::take(const Look& look, const Subject& subject, std::uint64_t print) {
    if (look.capped) caps_.at(subject.tenant).lane.take(look.grant, print);
}

double Lists::refuse(Time now, const Subject& subject, std::uint64_t print, bool again) {
    return caps_.at(subject.tenant).lane.refuse(now, print, again);
}

void Lists::undo(std::uint16_t tenant) {
    if (const auto cap = caps_.find(tenant); cap != caps_.end()) cap->second.lane.give_back();
}

}  // namespace brasslift::plan
