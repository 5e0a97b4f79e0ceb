#include "store/decide.hpp"

#include <algorithm>

namespace brasslift::store {
namespace {

constexpr std::uint64_t smallest_segment = 160 * 1024, largest_segment = 64 << 20;
constexpr double live_share = 0.6;  // of the budget less one segment
constexpr double background_share = 0.75;

// So that any sealed segment can be copied: it holds no more than this that is live.
std::uint64_t copy_reserve(const Room& room) {
    return std::min(room.segment, room.live) + room.segment / 16 + 2 * block;
}
std::uint64_t owed_reserve(const Room& room) { return room.segment / 8 + block; }

std::uint64_t garbage_of(const SegmentState& s) { return s.size > s.live ? s.size - s.live : 0; }

}  // namespace

std::uint64_t segment_size_for(std::uint64_t budget) {
    const auto size = std::clamp(budget / 8, smallest_segment, largest_segment);
    return std::max<std::uint64_t>(std::min(size, budget / 2), 8 * block) / block * block;
}

std::uint64_t most_live(const Room& room) {
    return room.budget <= room.segment
               ? 0
               : static_cast<std::uint64_t>(live_share * static_cast<double>(room.budget - room.segment));
}

bool admits(const Room& room, std::uint64_t grows, std::uint64_t bytes, Purpose purpose) {
    std::uint64_t kept = 0;
    if (purpose != Purpose::copy) kept += copy_reserve(room);
    if (purpose == Purpose::fresh) {
        kept += owed_reserve(room);
        if (room.live + bytes > most_live(room)) return false;
    }
    return room.used + grows + kept <= room.budget;
}

Need need_of(const Room& room, std::span<const SegmentState> segments) {
    std::uint64_t garbage = 0;
    for (const auto& s : segments) garbage += garbage_of(s);
    if (garbage < std::min<std::uint64_t>(room.segment / 4, room.budget / 16)) return Need::none;
    if (!admits(room, room.segment / 4, 0, Purpose::fresh)) return Need::pressing;
    if (static_cast<double>(room.used) > background_share * static_cast<double>(room.budget))
        return Need::background;
    return garbage > 2 * room.segment && garbage > room.live ? Need::background : Need::none;
}

std::optional<Number> victim_of(const Room& room, std::span<const SegmentState> segments, Need need) {
    if (need == Need::none) return std::nullopt;
    const auto free = room.budget > room.used ? room.budget - room.used : 0;
    const SegmentState* best = nullptr;
    double most = 0;
    double age = static_cast<double>(segments.size());
    for (const auto& s : segments) {
        age -= 1;
        if (!s.sealed || s.held || garbage_of(s) < std::max<std::uint64_t>(block, s.size / 16)) continue;
        // Blocks at both ends of what is written, and frames' heads.
        if (s.live > 0 && s.live + s.live / 64 + 2 * block > free) continue;
        const double garbage = static_cast<double>(garbage_of(s)), live = static_cast<double>(s.live);
        // As in log-structured file systems: what is gained, times how long it will stay so, for the cost of
        // reading it and writing what lives. Under pressure the room alone counts.
        const double worth = need == Need::pressing
                                 ? garbage / (1 + live)
                                 : garbage * (1 + age) / (static_cast<double>(s.size) + live + 1);
        if (best == nullptr || worth > most) best = &s, most = worth;
    }
    return best == nullptr ? std::nullopt : std::optional(best->number);
}

bool seal_early(const Room& room, std::span<const SegmentState> segments) {
    for (const auto& s : segments)
        if (!s.sealed) return garbage_of(s) > room.segment / 4;
    return false;
}

std::uint64_t next_slice(std::uint64_t bytes, double took_ms) {
    constexpr std::uint64_t least = 8 * 1024, most = 128 * 1024;
    if (took_ms > 1.5) return std::max(bytes / 2, least);
    return took_ms > 0.1 && took_ms < 0.3 ? std::min(bytes * 2, most) : bytes;
}

Conclusion conclude(std::span<const Reading> readings, bool manifest, Version next) {
    Conclusion out;
    out.next = next;
    const auto suspect = [&](Version below) {
        if (!out.suspect_below || older(*out.suspect_below, below)) out.suspect_below = below;
    };
    bool to_the_end = !manifest;  // whether what follows everything read may have been lost too
    if (!manifest) out.findings.push_back({0, Judgement::What::damaged, 0, "the manifest cannot be read"});
    std::optional<Version> expected;  // of the next frame, where nothing lies between
    Number previous = 0;
    for (std::size_t i = 0; i < readings.size(); ++i) {
        const auto& r = readings[i];
        const bool last = i + 1 == readings.size();
        if (!r.present) {
            out.findings.push_back({r.number, Judgement::What::lost, r.promised, "the file is not there"});
            // Everything up to what follows may have been in it.
            to_the_end = true;
            expected.reset();
            previous = r.number;
            continue;
        }
        if (to_the_end && i > 0 && r.head_good) {
            suspect(r.first);
            to_the_end = !manifest;
        }
        if (r.head_good && expected && r.number == previous + 1 && r.first != *expected) {
            // What had not been synced when the next segment was made was not acknowledged before that one
            // was synced with it: a power cut took the log's end. Anything else was there once.
            const bool unsynced = !older(*expected, r.durable);
            out.findings.push_back({previous, unsynced ? Judgement::What::torn : Judgement::What::damaged, 0,
                                    "its last frames are missing: the next segment says so"});
            if (!unsynced) suspect(r.first);
        }
        const auto damaged = [&](std::uint64_t bytes, const char* why) {
            out.findings.push_back({r.number, Judgement::What::damaged, bytes, why});
            if (last) out.fresh_segment = true;
        };
        if (!r.head_good) {
            // A file that ends in its head has never had a frame, where it is the newest and nobody has said
            // so.
            if (last && !r.listed && r.size < 64) {
                out.findings.push_back({r.number, Judgement::What::torn, r.size, "it was being made"});
                out.fresh_segment = true;
                continue;
            }
            damaged(r.size - (r.whole < r.size ? r.whole : r.size), "its head is not as written");
        }
        if (r.damaged > 0) {
            damaged(r.damaged, "frames in its middle are not as written");
            suspect(r.behind_damage.value_or(r.next));
        }
        const bool short_of = r.promised > r.whole;
        if (r.unreadable) damaged(r.size - r.whole, "it cannot be read");
        if (r.spoilt_tail) damaged(r.size - r.whole, "its last frames are not as written");
        if (short_of && !r.unreadable && !r.spoilt_tail)
            damaged(r.promised - r.whole, "it is shorter than when it was sealed");
        if (!r.head_good || r.unreadable || r.spoilt_tail || short_of) {
            to_the_end = true;
            expected.reset();
        } else {
            if (r.torn_tail && last) {
                out.findings.push_back(
                    {r.number, Judgement::What::torn, r.size - r.whole, "a frame whose writing did not end"});
                out.cut_tail = !out.fresh_segment;
            }
            expected = r.next;
        }
        previous = r.number;
    }
    // Versions that may have been lost are not given out again.
    constexpr Version leap = 1 << 20;
    if (to_the_end) {
        out.next = next + leap;
        suspect(out.next);
    }
    return out;
}

bool outlived(const Retention& r, std::uint64_t count, std::uint64_t bytes, const Aged& oldest, Stamp now) {
    return (r.count > 0 && count > r.count) || (r.bytes > 0 && bytes > r.bytes) ||
           (r.age_ms > 0 && now - oldest.stamp > r.age_ms);
}

}  // namespace brasslift::store
