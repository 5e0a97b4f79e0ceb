// The background: retention, and compaction as the copying of what lives to the log's end.
#include <algorithm>
#include <limits>

#include "store/store.hpp"

namespace brasslift::store {
namespace {

constexpr std::size_t group = 32 * 1024;     // of operations that are copied into one frame
constexpr std::size_t expired_at_once = 64;  // by one frame

}  // namespace

bool Store::expire(Stamp now) {
    for (const auto& rule : options_.keyspaces) {
        if (!rule.retention.any()) continue;
        Batch batch;
        auto count = index_.count(rule.id), bytes = index_.bytes(rule.id);
        index_.scan_times(rule.id, std::numeric_limits<Stamp>::min(), std::numeric_limits<Stamp>::max(),
                          [&](std::string_view key, const Entry& entry) {
                              if (batch.items().size() >= expired_at_once ||
                                  !outlived(rule.retention, count, bytes, {entry.stamp, entry.size}, now))
                                  return false;
                              batch.erase(rule.id, std::string(key));
                              --count;
                              bytes -= entry.size;
                              return true;
                          });
        if (batch.empty() || !write(batch)) continue;
        stats_.expired += batch.items().size();
        return true;
    }
    return false;
}

bool Store::step(Stamp now, std::uint64_t bytes) {
    if (options_.read_only || broken_) return false;
    if (manifest_due_ && installs_at_once() && !install()) return false;
    if ((!works_apart_ && shrink()) || expire(now)) return true;
    if (compaction_) return go_on(bytes);
    const auto states = this->states();
    const auto need = need_of(room(), states);
    if (settled_)
        for (const auto& [number, s] : segments_)
            if (s.damaged && s.sealed && !s.stuck) {
                compaction_.emplace(Compaction{number, nullptr, {}, {}});
                return true;
            }
    return need != Need::none && begin_compaction(need);
}

bool Store::begin_compaction(Need need) {
    auto states = this->states();
    auto victim = victim_of(room(), states, need);
    if (!victim && seal_early(room(), states) && seal()) {
        states = this->states();
        victim = victim_of(room(), states, need);
    }
    if (!victim) return false;
    compaction_.emplace(Compaction{*victim, nullptr, {}, {}});
    return true;
}

// Whether this operation of the segment that is compacted still counts.
bool Store::needed(const Operation& o, const Place& place) const {
    if (o.kind == Kind::erase) return ends_something(o.from, o.to, place.segment);
    const auto* const entry = index_.find(o.keyspace, o.key);
    return entry != nullptr && entry->place == place;
}

bool Store::go_on(std::uint64_t bytes) {
    auto& c = *compaction_;
    const auto found = segments_.find(c.victim);
    if (found == segments_.end()) return compaction_.reset(), true;
    auto& victim = found->second;
    if (live_of(c.victim, victim) == 0) return end_compaction();
    if (!c.scan) c.scan = std::make_unique<Scan>(*victim.file, segment_head, victim.size);
    const auto from = c.scan->at();
    while (c.scan->at() - from < bytes) {
        const auto frame = c.scan->next();
        if (frame.what == Found::What::end) {
            if (!copy_group()) return false;
            return end_compaction();
        }
        if (frame.what != Found::What::frame) {
            if (victim.damaged && frame.what != Found::What::failed)
                continue;  // known; what counts is beside it
            victim.stuck = victim.damaged = true;
            why_ = segment_name(c.victim) + " is damaged; it stays as it is until the next start";
            compaction_.reset();
            return true;
        }
        const Place place{c.victim, frame.offset, static_cast<std::uint32_t>(frame.size), 0};
        each_operation(frame.content, [&](const Operation& o, std::uint32_t at) {
            auto exact = place;
            exact.at = at;
            if (!needed(o, exact)) return;
            c.moved.push_back({o.kind, o.keyspace, c.content.add(o), static_cast<std::uint32_t>(size_of(o)),
                               o.from, o.to, std::string(o.key)});
        });
        if (c.content.size() >= group && !copy_group()) return false;
    }
    // What was read is copied within the slice: in between, keys may change.
    return copy_group();
}

// False: it could not be written; the compaction begins again some other time, nothing is lost by that.
bool Store::copy_group() {
    auto& c = *compaction_;
    if (c.moved.empty()) return true;
    Place place;
    const bool copied = prepare(frame_head + c.content.size(), 0, Purpose::copy) == Fault::none &&
                        append(c.content.frame(next_, true, options_.compress), place) == Fault::none;
    if (!copied) {
        compaction_.reset();
        return false;
    }
    ++next_;
    stats_.copied += place.size;
    auto& victim = segments_.at(c.victim);
    auto& target = segments_.at(place.segment);
    for (const auto& moved : c.moved) {
        if (moved.kind == Kind::erase) {
            target.erases += moved.size;
            erases_ += moved.size;
            target.from = target.from == 0 ? moved.from : std::min(target.from, moved.from);
            target.to = std::max(target.to, moved.to);
            continue;
        }
        victim.puts -= std::min<std::uint64_t>(victim.puts, moved.size);
        target.puts += moved.size;
        place.at = moved.at;
        index_.move(moved.keyspace, moved.key, place);
    }
    c.content.clear();
    c.moved.clear();
    return true;
}

bool Store::end_compaction() {
    const auto number = compaction_->victim;
    compaction_.reset();
    const auto found = segments_.find(number);
    if (found->second.puts != 0) {
        // Something that counts was not met: never removed.
        found->second.stuck = found->second.damaged = true;
        why_ = segment_name(number) + " holds records that could not be found in it";
        return true;
    }
    leaving_.emplace_back(number, found->second.damaged);
    auto segment = std::move(found->second);
    segments_.erase(found);
    shadows_.emplace(number, std::move(segment));
    ++stats_.compacted;
    publish();
    count_erases();
    return true;
}

Fault Store::compact_all(const std::function<void(std::uint64_t, std::uint64_t)>& progress) {
    if (options_.read_only) return Fault::read_only;
    if (!seal()) return Fault::io;
    std::vector<Number> todo;
    std::uint64_t all = 0, done = 0;
    for (const auto& state : states())
        if (state.sealed && !state.held && state.live < state.size) {
            todo.push_back(state.number);
            all += state.size;
        }
    for (const auto number : todo) {
        if (segments_.find(number) == segments_.end() || segments_.at(number).stuck) continue;
        const auto size = segments_.at(number).size;
        compaction_.emplace(Compaction{number, nullptr, {}, {}});
        while (compaction_ && compaction_->victim == number)
            if (!go_on(1 << 20)) return broken_ ? Fault::broken : Fault::no_room;
        done += size;
        if (progress) progress(done, all);
    }
    return Fault::none;
}

}  // namespace brasslift::store
