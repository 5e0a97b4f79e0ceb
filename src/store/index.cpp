#include "store/index.hpp"

namespace brasslift::store {

Index::Index(const std::vector<KeyspaceRule>& rules) {
    for (const auto& rule : rules) space(rule.id).by_time = rule.by_time || rule.retention.any();
}

Index::Space& Index::space(std::uint8_t keyspace) {
    auto& space = spaces_[keyspace];
    if (!space) space = std::make_unique<Space>();
    return *space;
}

const Entry* Index::find(std::uint8_t keyspace, std::string_view key) const {
    const auto& space = spaces_[keyspace];
    if (!space) return nullptr;
    const auto found = space->entries.find(key);
    return found == space->entries.end() ? nullptr : &found->second;
}

std::optional<Entry> Index::put(std::uint8_t keyspace, std::string_view key, const Entry& entry) {
    auto& in = space(keyspace);
    std::optional<Entry> before;
    auto found = in.entries.find(key);
    if (found != in.entries.end()) {
        if (in.by_time) in.times.erase(&*found);
        in.bytes -= found->second.size;
        before = found->second;
        found->second = entry;
        found->second.first = before->first;
    } else {
        found = in.entries.emplace(key, entry).first;
    }
    in.bytes += entry.size;
    if (in.by_time) in.times.insert(&*found);
    return before;
}

std::optional<Entry> Index::erase(std::uint8_t keyspace, std::string_view key) {
    auto& in = space(keyspace);
    const auto found = in.entries.find(key);
    if (found == in.entries.end()) return std::nullopt;
    if (in.by_time) in.times.erase(&*found);
    const Entry before = found->second;
    in.bytes -= before.size;
    in.entries.erase(found);
    return before;
}

void Index::move(std::uint8_t keyspace, std::string_view key, const Place& place) {
    auto& in = space(keyspace);
    const auto found = in.entries.find(key);
    if (found == in.entries.end()) return;
    // Where it was the put stays on disk until that segment has gone, which a kill may put off: `first`
    // stays.
    found->second.place = place;
}

void Index::scan(std::uint8_t keyspace, std::string_view prefix, std::string_view after,
                 const Act& act) const {
    const auto& in = spaces_[keyspace];
    if (!in) return;
    auto at =
        after.empty() || after < prefix ? in->entries.lower_bound(prefix) : in->entries.upper_bound(after);
    for (; at != in->entries.end() && std::string_view(at->first).starts_with(prefix); ++at)
        if (!act(at->first, at->second)) return;
}

void Index::scan_times(std::uint8_t keyspace, Stamp from, Stamp to, const Act& act) const {
    const auto& in = spaces_[keyspace];
    if (!in) return;
    for (auto at = in->times.lower_bound(from); at != in->times.end() && (*at)->second.stamp <= to; ++at)
        if (!act((*at)->first, (*at)->second)) return;
}

std::uint64_t Index::count(std::uint8_t keyspace) const {
    return spaces_[keyspace] ? spaces_[keyspace]->entries.size() : 0;
}
std::uint64_t Index::bytes(std::uint8_t keyspace) const {
    return spaces_[keyspace] ? spaces_[keyspace]->bytes : 0;
}

std::vector<std::uint8_t> Index::keyspaces() const {
    std::vector<std::uint8_t> ids;
    for (std::size_t id = 0; id < spaces_.size(); ++id)
        if (spaces_[id]) ids.push_back(static_cast<std::uint8_t>(id));
    return ids;
}

}  // namespace brasslift::store
