// The named lists that members agree on (docs/design/lists.md): entries, versions, digests, changes. Pure and
// the same at every member: no clock, no I/O, no chance. Memory: some 80 bytes an entry and its text.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "brasslift/members/v1/members.pb.h"

namespace brasslift::members {

namespace v1 = members::v1;

// Of one list's entries: the sum of their hashes, so that their order does not count and a change costs its
// own size.
struct ListDigest {
    std::uint64_t high = 0, low = 0;
    void add(const std::string& key, std::uint64_t value);
    void take(const std::string& key, std::uint64_t value);
    bool operator==(const ListDigest&) const = default;
    std::string text() const;  // hexadecimal
};

struct List {
    std::uint32_t kind = 0;
    std::uint64_t version = 0;  // of its own, from 1
    std::uint64_t number = 0;   // of all that is agreed, under which it got that version
    ListDigest digest;
    std::string who, ticket;
    std::int64_t when_ms = 0;
    std::map<std::string, std::uint64_t> entries;
    std::size_t bytes = 0;  // as they travel
};

// What a member's store has room for; each judges by its own.
struct ListBounds {
    std::size_t bytes = 2 << 20, entries = 200'000, entry_bytes = 256;
};

std::size_t bytes_of(const v1::ListChange& change);

class Lists {
public:
    using All = std::map<std::string, List>;
    const All& all() const { return all_; }
    const List* find(const std::string& name) const;

    // What makes this list of the one that there is; without entries where it is the same already.
    v1::ListChange difference(const std::string& name, std::uint32_t kind,
                              const std::map<std::string, std::uint64_t>& wanted) const;
    // All its entries, as a change.
    v1::ListChange whole(const std::string& name) const;
    // Why a change cannot follow what there is; empty: it can. `bounds`: nullptr where it is agreed already.
    std::string judge(const v1::ListChange& change, const ListBounds* bounds) const;
    // After judge() alone.
    void apply(const v1::ListChange& change, const v1::Version& said, std::uint64_t number);

    void save(v1::State& into) const;
    // False: what was read is not what was saved.
    bool load(const v1::State& from);

private:
    static void put(List& list, const std::string& key, std::uint64_t value);
    static void drop(List& list, const std::string& key);
    All all_;
};

}  // namespace brasslift::members
