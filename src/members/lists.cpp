#include "members/lists.hpp"

#include <xxhash.h>

#include <cstdio>

namespace brasslift::members {
namespace {

constexpr std::size_t entry_overhead = 8;

XXH128_hash_t hash_of(const std::string& key, std::uint64_t value) {
    return XXH3_128bits_withSeed(key.data(), key.size(), value);
}

std::size_t bytes_of_entry(const std::string& key) { return key.size() + entry_overhead; }

}  // namespace

void ListDigest::add(const std::string& key, std::uint64_t value) {
    const auto hash = hash_of(key, value);
    high += hash.high64;
    low += hash.low64;
}

void ListDigest::take(const std::string& key, std::uint64_t value) {
    const auto hash = hash_of(key, value);
    high -= hash.high64;
    low -= hash.low64;
}

std::string ListDigest::text() const {
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text;
}

std::size_t bytes_of(const v1::ListChange& change) {
    std::size_t bytes = 0;
    for (const auto& entry : change.put()) bytes += bytes_of_entry(entry.key());
    for (const auto& key : change.drop()) bytes += bytes_of_entry(key);
    return bytes;
}

const List* Lists::find(const std::string& name) const {
    const auto found = all_.find(name);
    return found == all_.end() ? nullptr : &found->second;
}

v1::ListChange Lists::difference(const std::string& name, std::uint32_t kind,
                                 const std::map<std::string, std::uint64_t>& wanted) const {
    static const List none;
    const auto* const known = find(name);
    const auto& list = known == nullptr ? none : *known;
    v1::ListChange change;
    change.set_name(name);
    change.set_kind(kind);
    change.set_version(list.version + 1);
    // Both are in order: one walk along the two.
    auto is = list.entries.begin();
    auto to_be = wanted.begin();
    const auto put = [&change](const auto& entry) {
        auto* const fresh = change.add_put();
        fresh->set_key(entry.first);
        fresh->set_value(entry.second);
    };
    while (is != list.entries.end() || to_be != wanted.end()) {
        if (to_be == wanted.end() || (is != list.entries.end() && is->first < to_be->first)) {
            change.add_drop((is++)->first);
        } else if (is == list.entries.end() || to_be->first < is->first) {
            put(*to_be++);
        } else {
            if (is->second != to_be->second) put(*to_be);
            ++is, ++to_be;
        }
    }
    return change;
}

v1::ListChange Lists::whole(const std::string& name) const {
    v1::ListChange change;
    const auto* const list = find(name);
    if (list == nullptr) return change;
    change.set_name(name);
    change.set_kind(list->kind);
    change.set_version(list->version);
    change.set_whole(true);
    for (const auto& [key, value] : list->entries) {
        auto* const entry = change.add_put();
        entry->set_key(key);
        entry->set_value(value);
    }
    return change;
}

std::string Lists::judge(const v1::ListChange& change, const ListBounds* bounds) const {
    const auto* const list = find(change.name());
    const auto version = list == nullptr ? 0 : list->version;
    if (change.version() != version + 1)
        return "list " + change.name() + " is at version " + std::to_string(version) +
               (list == nullptr ? "" : " by " + list->who) + "; look at it and publish again";
    if (list != nullptr && list->kind != change.kind() && !list->entries.empty())
        return "list " + change.name() + " has entries of another kind; empty it first";
    if (bounds == nullptr) return {};
    std::size_t entries = 0, bytes = 0;
    for (const auto& [name, each] : all_) {
        entries += each.entries.size();
        bytes += each.bytes;
    }
    for (const auto& entry : change.put()) {
        if (entry.key().size() > bounds->entry_bytes)
            return "an entry of list " + change.name() + " has " + std::to_string(entry.key().size()) +
                   " bytes, and " + std::to_string(bounds->entry_bytes) + " at most are had here";
        if (list != nullptr && list->entries.count(entry.key()) != 0) continue;
        ++entries;
        bytes += bytes_of_entry(entry.key());
    }
    if (list != nullptr)
        for (const auto& key : change.drop())
            if (list->entries.count(key) != 0) {
                --entries;
                bytes -= bytes_of_entry(key);
            }
    if (entries > bounds->entries)
        return "the lists would have " + std::to_string(entries) + " entries, and " +
               std::to_string(bounds->entries) + " at most are had here";
    if (bytes > bounds->bytes)
        return "the lists would have " + std::to_string(bytes) + " bytes, and " +
               std::to_string(bounds->bytes) + " at most are had here";
    return {};
}

void Lists::put(List& list, const std::string& key, std::uint64_t value) {
    const auto [at, fresh] = list.entries.try_emplace(key, value);
    if (fresh)
        list.bytes += bytes_of_entry(key);
    else
        list.digest.take(key, at->second);
    at->second = value;
    list.digest.add(key, value);
}

void Lists::drop(List& list, const std::string& key) {
    const auto found = list.entries.find(key);
    if (found == list.entries.end()) return;
    list.digest.take(key, found->second);
    list.bytes -= bytes_of_entry(key);
    list.entries.erase(found);
}

void Lists::apply(const v1::ListChange& change, const v1::Version& said, std::uint64_t number) {
    auto& list = all_[change.name()];
    if (change.whole()) list = {};
    list.kind = change.kind();
    list.version = change.version();
    list.number = number;
    list.who = said.who();
    list.ticket = said.ticket();
    list.when_ms = said.when_ms();
    for (const auto& key : change.drop()) drop(list, key);
    for (const auto& entry : change.put()) put(list, entry.key(), entry.value());
}

void Lists::save(v1::State& into) const {
    for (const auto& [name, list] : all_) {
        auto* const one = into.add_list();
        *one->mutable_entries() = whole(name);
        one->set_number(list.number);
        one->set_digest_high(list.digest.high);
        one->set_digest_low(list.digest.low);
        one->set_who(list.who);
        one->set_when_ms(list.when_ms);
        one->set_ticket(list.ticket);
    }
}

bool Lists::load(const v1::State& from) {
    all_.clear();
    for (const auto& one : from.list()) {
        v1::Version said;
        said.set_who(one.who());
        said.set_ticket(one.ticket());
        said.set_when_ms(one.when_ms());
        apply(one.entries(), said, one.number());
        if (all_[one.entries().name()].digest != ListDigest{one.digest_high(), one.digest_low()})
            return false;
    }
    return true;
}

}  // namespace brasslift::members
