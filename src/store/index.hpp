// Where the newest put of each key is. Holds keys and places, no values; memory follows what is live.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "store/types.hpp"

namespace brasslift::store {

struct Entry {
    Place place;
    Version version = 0;
    Stamp stamp = 0;
    std::uint32_t size = 0;  // of the operation on disk, unpacked
    Number first = 0;        // the lowest segment that may have a put of this key's present life
};

class Index {
public:
    // Keyspaces that no rule names are kept as they are: another version's.
    explicit Index(const std::vector<KeyspaceRule>& rules);

    const Entry* find(std::uint8_t keyspace, std::string_view key) const;
    // What was there before, if anything was.
    std::optional<Entry> put(std::uint8_t keyspace, std::string_view key, const Entry& entry);
    std::optional<Entry> erase(std::uint8_t keyspace, std::string_view key);
    void move(std::uint8_t keyspace, std::string_view key, const Place& place);

    // In the order of keys. `act` answers whether to go on; it may change nothing.
    using Act = std::function<bool(std::string_view key, const Entry& entry)>;
    void scan(std::uint8_t keyspace, std::string_view prefix, std::string_view after, const Act& act) const;
    // In the order of stamps, of those keyspaces that are kept so; from and to included.
    void scan_times(std::uint8_t keyspace, Stamp from, Stamp to, const Act& act) const;

    std::uint64_t count(std::uint8_t keyspace) const;
    std::uint64_t bytes(std::uint8_t keyspace) const;  // of the operations, unpacked
    std::vector<std::uint8_t> keyspaces() const;

private:
    using Entries = std::map<std::string, Entry, std::less<>>;
    struct ByTime {
        using is_transparent = void;
        bool operator()(const Entries::value_type* a, const Entries::value_type* b) const {
            return a->second.stamp != b->second.stamp ? a->second.stamp < b->second.stamp
                                                      : a->first < b->first;
        }
        bool operator()(const Entries::value_type* a, Stamp b) const { return a->second.stamp < b; }
        bool operator()(Stamp a, const Entries::value_type* b) const { return a < b->second.stamp; }
    };
    struct Space {
        Entries entries;
        std::set<const Entries::value_type*, ByTime> times;
        std::uint64_t bytes = 0;
        bool by_time = false;
    };
    Space& space(std::uint8_t keyspace);

    std::array<std::unique_ptr<Space>, 256> spaces_;
};

}  // namespace brasslift::store
