// Protobuf's wire form, written from the end to the beginning; used by the encoders alone.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "telemetry/trace.hpp"

namespace brasslift::telemetry {

enum class Wire : std::uint32_t { varint = 0, fixed64 = 1, bytes = 2 };

// A buffer that is filled from its end. What is written first comes last.
class Backwards {
public:
    explicit Backwards(std::size_t guess) : buffer_(guess, '\0'), at_(guess) {}

    std::size_t size() const { return buffer_.size() - at_; }
    std::string take() {
        buffer_.erase(0, at_);
        return std::move(buffer_);
    }
    std::string_view written() const { return std::string_view(buffer_).substr(at_); }
    // Empty again, with its room.
    void clear() { at_ = buffer_.size(); }

    void raw(const void* bytes, std::size_t size) {
        make_room(size);
        at_ -= size;
        std::memcpy(buffer_.data() + at_, bytes, size);
    }
    void varint(std::uint64_t value) {
        char bytes[10];
        std::size_t size = 0;
        do {
            bytes[size++] = static_cast<char>((value & 0x7f) | (value > 0x7f ? 0x80 : 0));
            value >>= 7;
        } while (value != 0);
        raw(bytes, size);
    }
    void tag(std::uint32_t field, Wire wire) { varint(field << 3 | static_cast<std::uint32_t>(wire)); }

    // Fields that hold their type's zero are not written, as the format has it.
    void number(std::uint32_t field, std::uint64_t value) {
        if (value == 0) return;
        varint(value);
        tag(field, Wire::varint);
    }
    void fixed(std::uint32_t field, std::uint64_t value, bool even_zero = false) {
        if (value == 0 && !even_zero) return;
        char bytes[8];  // little-endian, whatever the machine
        for (std::size_t i = 0; i < 8; ++i) bytes[i] = static_cast<char>(value >> (8 * i));
        raw(bytes, sizeof bytes);
        tag(field, Wire::fixed64);
    }
    void text(std::uint32_t field, std::string_view value, bool even_empty = false) {
        if (value.empty() && !even_empty) return;
        raw(value.data(), value.size());
        varint(value.size());
        tag(field, Wire::bytes);
    }
    template <std::size_t Size>
    void id(std::uint32_t field, const std::array<std::uint8_t, Size>& value) {
        raw(value.data(), Size);
        varint(Size);
        tag(field, Wire::bytes);
    }
    // A number that is written zero or not: of a oneof, of a repeated field.
    void real(std::uint32_t field, double value) {
        std::uint64_t bits = 0;
        std::memcpy(&bits, &value, sizeof bits);
        fixed(field, bits, true);
    }
    void zigzag(std::uint32_t field, std::int32_t value) {
        number(field, (static_cast<std::uint32_t>(value) << 1) ^ static_cast<std::uint32_t>(value >> 31));
    }
    // Closes what was written since the buffer had that size into one field.
    void close(std::uint32_t field, std::size_t since) {
        varint(size() - since);
        tag(field, Wire::bytes);
    }

private:
    void make_room(std::size_t size) {
        if (size <= at_) return;
        const auto more = std::max(size, buffer_.size() + 64);
        buffer_.insert(0, more, '\0');
        at_ += more;
    }
    std::string buffer_;
    std::size_t at_;
};

void put(Backwards& out, const Value& value);
void put(Backwards& out, std::uint32_t field, const std::vector<Attribute>& attributes);

}  // namespace brasslift::telemetry
