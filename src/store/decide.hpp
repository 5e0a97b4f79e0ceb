// What the store decides, without I/O: how large segments are, what is written, what is compacted, what a
// start concludes from what it finds.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "store/files.hpp"
#include "store/types.hpp"

namespace brasslift::store {

// What a write is for. New work is refused first. What has been taken on may still be ended where nothing new
// is begun, and what compaction copies may use what both leave: its room comes back.
enum class Purpose : std::uint8_t { fresh, owed, copy };

struct Room {
    std::uint64_t budget = 0;   // of the folder, in whole blocks
    std::uint64_t used = 0;     // of it, the manifest's next form included
    std::uint64_t live = 0;     // of that, what compaction would copy
    std::uint64_t segment = 0;  // a segment's size
};

// A size for segments: an eighth of the budget within bounds; half of it where that would be too small for
// one record of the largest size that is written often.
std::uint64_t segment_size_for(std::uint64_t budget);
// What new work may fill; the rest is for what follows from it and for copies.
std::uint64_t most_live(const Room& room);
// Whether so many blocks' bytes may be added. `bytes`: what becomes live with them.
bool admits(const Room& room, std::uint64_t grows, std::uint64_t bytes, Purpose purpose);

struct SegmentState {
    Number number = 0;
    std::uint64_t size = 0, live = 0;  // live: puts that count and erases that still end something
    bool sealed = true, held = false;  // held: may not go yet
};
enum class Need : std::uint8_t { none, background, pressing };
// Whether anything should be compacted now.
Need need_of(const Room& room, std::span<const SegmentState> segments);
// Which sealed segment to compact next: the one that gives most room for what it costs to copy, older ones
// before younger ones of the same worth. Nothing where none gives any, or its copies do not fit.
std::optional<Number> victim_of(const Room& room, std::span<const SegmentState> segments, Need need);
// Whether the segment written to should be sealed before it is full, so that it can be compacted.
bool seal_early(const Room& room, std::span<const SegmentState> segments);

// How much the next slice of compaction reads, after one that read so much and held the loop so long: it aims
// at 1 to 2 ms, far under the 5 ms that a slice may take.
constexpr std::uint64_t first_slice = 64 * 1024;
std::uint64_t next_slice(std::uint64_t bytes, double took_ms);

// What a scan of one segment's file came to.
struct Reading {
    Number number = 0;
    bool present = true, head_good = true;
    Version first = 0;           // by its head or by the manifest
    Version durable = 0;         // by its head: what was durable when it was made
    bool listed = false;         // in the manifest
    std::uint64_t promised = 0;  // its size by the manifest; 0: none was said
    std::uint64_t size = 0;      // the file's
    std::uint64_t whole = 0;     // up to the end of its last good frame
    std::uint64_t damaged = 0;   // bytes that are no frame, with good ones behind them
    bool spoilt_tail = false;    // so to the end
    bool torn_tail = false;
    bool unreadable = false;               // the file system said so
    Version next = 0;                      // that follows its last good frame
    std::optional<Version> behind_damage;  // of the first good frame behind the last damage
};
struct Judgement {
    Number number = 0;
    enum class What : std::uint8_t { whole, torn, damaged, lost } what = What::whole;
    std::uint64_t bytes = 0;  // dropped or unreadable
    std::string why;
};
struct Conclusion {
    std::vector<Judgement> findings;  // whatever is not whole
    // Operations with older versions may have been changed by what cannot be read.
    std::optional<Version> suspect_below;
    bool cut_tail = false;       // the last segment ends in a torn frame, to be cut off
    bool fresh_segment = false;  // the last one is not to be written to again
    Version next = 0;
};
// `readings` in the order of numbers; `manifest`: whether one could be read.
Conclusion conclude(std::span<const Reading> readings, bool manifest, Version next);

struct Aged {
    Stamp stamp = 0;
    std::uint64_t size = 0;
};
// Whether the oldest of a keyspace goes. A stamp that lies ahead of the clock does not age.
bool outlived(const Retention& retention, std::uint64_t count, std::uint64_t bytes, const Aged& oldest,
              Stamp now);

}  // namespace brasslift::store
