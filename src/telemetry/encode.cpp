#include "telemetry/encode.hpp"

#include <algorithm>
#include <cstring>

namespace brasslift::telemetry {
namespace {

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

void put(Backwards& out, const Value& value) {
    struct Put {
        Backwards& out;
        // A oneof's member is written also where it holds a zero.
        void operator()(const std::string& text) const { out.text(1, text, true); }
        void operator()(bool flag) const {
            out.varint(flag ? 1 : 0);
            out.tag(2, Wire::varint);
        }
        void operator()(std::int64_t number) const {
            out.varint(static_cast<std::uint64_t>(number));
            out.tag(3, Wire::varint);
        }
        void operator()(double number) const {
            std::uint64_t bits = 0;
            std::memcpy(&bits, &number, sizeof bits);
            out.fixed(4, bits, true);
        }
    };
    std::visit(Put{out}, value);
}

void put(Backwards& out, std::uint32_t field, const std::vector<Attribute>& attributes) {
    for (auto a = attributes.rbegin(); a != attributes.rend(); ++a) {
        const auto whole = out.size();
        put(out, a->value);
        out.close(2, whole);
        out.text(1, a->key);
        out.close(field, whole);
    }
}

bool any(const SpanId& id) {
    return std::any_of(id.begin(), id.end(), [](auto b) { return b != 0; });
}

void put(Backwards& out, const Span& span) {
    const auto whole = out.size();
    if (span.status != Status::unset || !span.message.empty()) {
        out.number(3, static_cast<std::uint64_t>(span.status));
        out.text(2, span.message);
        out.close(15, whole);
    }
    for (auto l = span.links.rbegin(); l != span.links.rend(); ++l) {
        const auto link = out.size();
        put(out, 4, l->attributes);
        out.id(2, l->span);
        out.id(1, l->trace);
        out.close(13, link);
    }
    for (auto e = span.events.rbegin(); e != span.events.rend(); ++e) {
        const auto event = out.size();
        put(out, 3, e->attributes);
        out.text(2, e->name);
        out.fixed(1, e->at);
        out.close(11, event);
    }
    put(out, 9, span.attributes);
    out.fixed(8, span.end);
    out.fixed(7, span.start);
    out.number(6, static_cast<std::uint64_t>(span.kind));
    out.text(5, span.name);
    if (any(span.parent)) out.id(4, span.parent);
    out.text(3, span.state);
    out.id(2, span.id);
    out.id(1, span.trace);
    out.close(2, whole);
}

}  // namespace

std::string encode(const Source& source, std::span<const Span> spans) {
    constexpr std::size_t usual_span = 320;
    Backwards out(256 + spans.size() * usual_span);
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) put(out, *span);
    const auto behind = out.size();
    out.text(2, source.version);
    out.text(1, source.scope);
    out.close(1, behind);
    out.close(2, 0);
    const auto scopes = out.size();
    put(out, 1, source.resource);
    out.close(1, scopes);
    out.close(1, 0);
    return out.take();
}

}  // namespace brasslift::telemetry
