// The bytes on disk (docs/store-format.md): frames, segments' heads, the manifest. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/types.hpp"

namespace brasslift::store {

constexpr std::size_t segment_head = 64, frame_head = 32, operation_head = 24;
constexpr std::size_t most_key = 4096, most_content = 16 << 20;  // of one operation's key, of one frame

// A number that is only read and written in little-endian order.
template <class T>
void append_number(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        out += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
}
template <class T>
T number_at(std::string_view bytes, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    return static_cast<T>(value);
}

constexpr std::size_t erase_size = 16;  // the value of an erase
inline std::size_t size_of(const Operation& o) {
    return operation_head + o.key.size() + (o.kind == Kind::put ? o.value.size() : erase_size);
}

// Collects a frame's operations.
class Content {
public:
    // The offset at which it stands.
    std::uint32_t add(const Operation& operation);
    std::size_t size() const { return bytes_.size(); }
    bool empty() const { return bytes_.empty(); }
    // The frame with everything added. `copied`: its operations keep the versions that they had; otherwise
    // they have `version` and those behind it. `compress`: where that makes it smaller by an eighth at least.
    std::string frame(Version version, bool copied, bool compress) const;
    void clear() { bytes_.clear(); }

private:
    std::string bytes_;
};

struct FrameHead {
    bool compressed = false, copied = false;
    std::uint32_t stored = 0, plain = 0;  // bytes of content on disk, and unpacked
    Version version = 0;
    std::uint64_t hash = 0;
    std::size_t size() const { return frame_head + stored; }
};
// Nothing where these bytes are no head.
std::optional<FrameHead> read_frame_head(std::string_view bytes);
// The plain content of a frame whose stored content that is; `buffer` holds it where it had to be unpacked.
std::optional<std::string_view> read_content(const FrameHead& head, std::string_view stored,
                                             std::string& buffer);
// The operation that begins there, and where the next one does.
std::optional<Operation> read_operation(std::string_view content, std::size_t at,
                                        std::size_t* next = nullptr);
// False: the content ends in the middle of an operation.
bool each_operation(std::string_view content,
                    const std::function<void(const Operation&, std::uint32_t)>& act);

struct SegmentHead {
    std::uint64_t store = 0;  // the store's own number: a file of another one is not taken for ours
    Number number = 0;
    Version first = 0;  // of the frame that comes first
    Stamp made = 0;
    Version durable = 0;  // before which everything was durable when it was made
};
std::string write_segment_head(const SegmentHead& head);
std::optional<SegmentHead> read_segment_head(std::string_view bytes);

struct Listed {
    Number number = 0;
    Version first = 0;
    std::uint64_t size = 0;  // 0: still written to when this was said
    bool damaged = false;
};
struct Manifest {
    std::uint64_t store = 0, generation = 0;
    Number next = 1;  // every segment below that is not listed has gone
    std::vector<Listed> segments;
    std::optional<Version> suspect_below;  // what a start concluded and nobody has settled yet
};
// The manifest stands twice in its file, so that damage in one place spares the other.
std::string write_manifest(const Manifest& manifest);
std::optional<Manifest> read_manifest(std::string_view bytes);

std::string segment_name(Number number);
std::optional<Number> number_of_segment(std::string_view name);
std::string damaged_name(Number number);
std::optional<Number> number_of_damaged(std::string_view name);
constexpr const char* manifest_name = "manifest";
constexpr const char* manifest_part = "manifest.part";  // its next form
constexpr const char* lock_name = "store.lock";
constexpr const char* restoring_name = "restoring";  // as long as it is there, no store opens

std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace brasslift::store
