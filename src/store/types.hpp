// What the parts of the store share: versions, places, faults and keyspaces.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace brasslift::store {

// Of a frame, and of the operations that were first written in it. It goes round at 2^64, so it is compared
// as a serial number (RFC 1982) and never with `<`.
using Version = std::uint64_t;
constexpr bool older(Version a, Version b) { return static_cast<std::int64_t>(a - b) < 0; }

using Number = std::uint64_t;  // of a segment; never used twice in a store
using Stamp = std::int64_t;    // milliseconds of the Unix epoch, as the writer's clock had it

enum class Fault : std::uint8_t {
    none,
    no_room,    // the budget's, by rule; nothing was written
    io,         // a call failed, ENOSPC included; nothing was added, a later try may succeed
    broken,     // what is on disk is no longer known (a failed sync); until the next start nothing is written
    damaged,    // what was read is not what was written
    missing,    // no such key, file or store
    locked,     // another process has the folder
    read_only,  // opened for reading
    too_large,  // a key or a batch beyond the format
};
const char* text_of(Fault fault);

// Where an operation is: its frame's segment, offset and size on disk, and the operation's offset in the
// frame's plain content.
struct Place {
    Number segment = 0;
    std::uint64_t offset = 0;
    std::uint32_t size = 0, at = 0;
    bool operator==(const Place&) const = default;
};

// How much of a keyspace is kept; 0: as much as there is. The oldest by stamp goes first.
struct Retention {
    Stamp age_ms = 0;
    std::uint64_t count = 0, bytes = 0;
    bool any() const { return age_ms > 0 || count > 0 || bytes > 0; }
};

struct KeyspaceRule {
    std::uint8_t id = 0;  // 1 to 255; on disk
    std::string name;
    Retention retention;
    bool by_time = false;  // scanned by stamp
};

enum class Kind : std::uint8_t { put = 1, erase = 2 };

// One operation as it is written or read. An erase names the segments, from..to, in which puts that it ends
// may be: once they have gone it has nothing left to end and may go as well.
struct Operation {
    Kind kind = Kind::put;
    std::uint8_t keyspace = 0;
    std::string_view key, value;
    Version version = 0;
    Stamp stamp = 0;
    Number from = 0, to = 0;
};

// Written whole or not at all.
class Batch {
public:
    struct Item {
        Kind kind;
        std::uint8_t keyspace;
        Stamp stamp;
        std::string key, value;
    };
    Batch& put(std::uint8_t keyspace, std::string key, std::string value, Stamp stamp) {
        items_.push_back({Kind::put, keyspace, stamp, std::move(key), std::move(value)});
        return *this;
    }
    Batch& erase(std::uint8_t keyspace, std::string key) {
        items_.push_back({Kind::erase, keyspace, 0, std::move(key), {}});
        return *this;
    }
    const std::vector<Item>& items() const { return items_; }
    bool empty() const { return items_.empty(); }

private:
    std::vector<Item> items_;
};

}  // namespace brasslift::store
