// Keyspaces with types: what a codec makes of keys and values, so that no one else touches bytes.
#pragma once

#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "store/store.hpp"

namespace brasslift::store {

// Numbers as keys, so that the order of bytes is the order of numbers.
inline std::string key_of(std::uint64_t number) {
    std::string key(8, '\0');
    for (int i = 7; i >= 0; --i, number >>= 8) key[static_cast<std::size_t>(i)] = static_cast<char>(number);
    return key;
}
inline std::optional<std::uint64_t> number_of(std::string_view key) {
    if (key.size() != 8) return std::nullopt;
    std::uint64_t number = 0;
    for (const char c : key) number = number << 8 | static_cast<unsigned char>(c);
    return number;
}

// Values written field by field; what a later version adds stands behind what this one reads.
class ValueWriter {
public:
    template <class T>
    ValueWriter& number(T value) {
        static_assert(std::is_trivially_copyable_v<T>);
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    ValueWriter& text(std::string_view value) {
        number(static_cast<std::uint32_t>(value.size()));
        bytes_ += value;
        return *this;
    }
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

class ValueReader {
public:
    explicit ValueReader(std::string_view bytes) : bytes_(bytes) {}
    template <class T>
    T number() {
        T value{};
        if (bytes_.size() < sizeof value) {
            good_ = false;
            return value;
        }
        std::memcpy(&value, bytes_.data(), sizeof value);
        bytes_.remove_prefix(sizeof value);
        return value;
    }
    std::string text() {
        const auto size = number<std::uint32_t>();
        if (size > bytes_.size()) {
            good_ = false;
            return {};
        }
        std::string value(bytes_.substr(0, size));
        bytes_.remove_prefix(size);
        return value;
    }
    bool good() const { return good_; }

private:
    std::string_view bytes_;
    bool good_ = true;
};

// `Codec` has Key, Value and static functions: std::string key(const Key&), std::optional<Key>
// key(string_view), std::string value(const Value&), std::optional<Value> value(string_view); and the
// keyspace's `id`.
template <class Codec>
struct Keyspace {
    using Key = typename Codec::Key;
    using Value = typename Codec::Value;

    static void put(Batch& batch, const Key& key, const Value& value, Stamp stamp) {
        batch.put(Codec::id, Codec::key(key), Codec::value(value), stamp);
    }
    static void erase(Batch& batch, const Key& key) { batch.erase(Codec::id, Codec::key(key)); }
    static const Entry* find(const Store& store, const Key& key) {
        return store.index().find(Codec::id, Codec::key(key));
    }
    // `act(key, value, entry)`, or `unreadable(key bytes)` for what cannot be made out any more.
    template <class Act, class Unreadable>
    static void each(const Store& store, Act act, Unreadable unreadable) {
        store.index().scan(Codec::id, {}, {}, [&](std::string_view bytes, const Entry& entry) {
            std::string value;
            const auto key = Codec::key(bytes);
            if (!key || store.read(entry.place, value) != Fault::none) {
                unreadable(bytes);
            } else if (auto made = Codec::value(std::string_view(value))) {
                act(*key, std::move(*made), entry);
            } else {
                unreadable(bytes);
            }
            return true;
        });
    }
};

}  // namespace brasslift::store
