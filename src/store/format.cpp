#include "store/format.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <charconv>
#include <cstdio>

namespace brasslift::store {
namespace {

constexpr std::uint32_t frame_mark = 0x004c4c42;  // "BLL", then the flags
constexpr std::uint32_t mark_mask = 0x00ffffff;
constexpr std::uint32_t compressed_flag = 1U << 24, copied_flag = 1U << 25;
constexpr std::string_view segment_magic = "brasslift-seg-01", manifest_magic = "brasslift-man-01";
constexpr std::size_t manifest_fixed = 16 + 3 * 8 + 4 + 1 + 8, manifest_line = 3 * 8 + 1;
constexpr std::size_t most_listed = 1 << 20;

std::uint32_t head_check(std::string_view head) { return XXH32(head.data(), head.size(), 0); }

std::optional<Manifest> read_one_manifest(std::string_view bytes) {
    if (bytes.size() < manifest_fixed || !bytes.starts_with(manifest_magic)) return std::nullopt;
    const auto count = number_at<std::uint32_t>(bytes, 40);
    if (count > most_listed) return std::nullopt;
    const std::size_t size = manifest_fixed + count * manifest_line;
    if (bytes.size() < size + 8 || number_at<std::uint64_t>(bytes, size) != hash_of(bytes.substr(0, size)))
        return std::nullopt;
    Manifest manifest{number_at<std::uint64_t>(bytes, 16),
                      number_at<std::uint64_t>(bytes, 24),
                      number_at<Number>(bytes, 32),
                      {},
                      {}};
    if (bytes[44] != 0) manifest.suspect_below = number_at<Version>(bytes, 45);
    for (std::size_t at = manifest_fixed; at < size; at += manifest_line)
        manifest.segments.push_back({number_at<Number>(bytes, at), number_at<Version>(bytes, at + 8),
                                     number_at<std::uint64_t>(bytes, at + 16), bytes[at + 24] != 0});
    return manifest;
}

std::string numbered(const char* prefix, Number number) {
    char name[32];
    std::snprintf(name, sizeof name, "%s%08llu", prefix, static_cast<unsigned long long>(number));
    return name;
}

std::optional<Number> number_behind(std::string_view prefix, std::string_view name) {
    if (!name.starts_with(prefix)) return std::nullopt;
    name.remove_prefix(prefix.size());
    Number number = 0;
    const auto [end, bad] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (bad != std::errc{} || end != name.data() + name.size() || number == 0) return std::nullopt;
    return number;
}

}  // namespace

const char* text_of(Fault fault) {
    switch (fault) {
        case Fault::none: return "no fault";
        case Fault::no_room: return "no room";
        case Fault::io: return "a file operation failed";
        case Fault::broken: return "a sync failed; nothing is written until the next start";
        case Fault::damaged: return "damaged";
        case Fault::missing: return "not there";
        case Fault::locked: return "another process has the folder";
        case Fault::read_only: return "opened for reading only";
        case Fault::too_large: return "too large";
    }
    return "unknown";
}

std::uint64_t hash_of(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint32_t Content::add(const Operation& o) {
    const auto at = static_cast<std::uint32_t>(bytes_.size());
    bytes_ += static_cast<char>(o.kind);
    bytes_ += static_cast<char>(o.keyspace);
    append_number(bytes_, static_cast<std::uint16_t>(o.key.size()));
    append_number(bytes_, static_cast<std::uint32_t>(o.kind == Kind::put ? o.value.size() : erase_size));
    append_number(bytes_, o.version);
    append_number(bytes_, o.stamp);
    bytes_ += o.key;
    if (o.kind == Kind::put)
        bytes_ += o.value;
    else
        append_number(bytes_, o.from), append_number(bytes_, o.to);
    return at;
}

std::string Content::frame(Version version, bool copied, bool compress) const {
    std::string packed;
    bool smaller = false;
    if (compress) {
        packed.resize(ZSTD_compressBound(bytes_.size()));
        const auto size = ZSTD_compress(packed.data(), packed.size(), bytes_.data(), bytes_.size(), 1);
        smaller = ZSTD_isError(size) == 0 && size + bytes_.size() / 8 <= bytes_.size();
        if (smaller) packed.resize(size);
    }
    const std::string& stored = smaller ? packed : bytes_;
    std::string frame;
    frame.reserve(frame_head + stored.size());
    append_number(frame, frame_mark | (smaller ? compressed_flag : 0) | (copied ? copied_flag : 0));
    append_number(frame, static_cast<std::uint32_t>(stored.size()));
    append_number(frame, version);
    append_number(frame, static_cast<std::uint32_t>(bytes_.size()));
    append_number(frame, head_check(frame));
    append_number(frame, hash_of(stored, version));
    return frame += stored;
}

std::optional<FrameHead> read_frame_head(std::string_view bytes) {
    if (bytes.size() < frame_head) return std::nullopt;
    const auto mark = number_at<std::uint32_t>(bytes, 0);
    if ((mark & mark_mask) != frame_mark || (mark & ~(mark_mask | compressed_flag | copied_flag)) != 0 ||
        number_at<std::uint32_t>(bytes, 20) != head_check(bytes.substr(0, 20)))
        return std::nullopt;
    FrameHead head{(mark & compressed_flag) != 0,      (mark & copied_flag) != 0,
                   number_at<std::uint32_t>(bytes, 4), number_at<std::uint32_t>(bytes, 16),
                   number_at<Version>(bytes, 8),       number_at<std::uint64_t>(bytes, 24)};
    if (head.stored > most_content || head.plain > most_content) return std::nullopt;
    return head;
}

std::optional<std::string_view> read_content(const FrameHead& head, std::string_view stored,
                                             std::string& buffer) {
    if (stored.size() != head.stored || hash_of(stored, head.version) != head.hash) return std::nullopt;
    if (!head.compressed) return head.plain == head.stored ? std::optional(stored) : std::nullopt;
    buffer.resize(head.plain);
    const auto size = ZSTD_decompress(buffer.data(), buffer.size(), stored.data(), stored.size());
    if (ZSTD_isError(size) != 0 || size != head.plain) return std::nullopt;
    return buffer;
}

std::optional<Operation> read_operation(std::string_view content, std::size_t at, std::size_t* next) {
    if (at > content.size() || content.size() - at < operation_head) return std::nullopt;
    Operation o;
    o.kind = static_cast<Kind>(content[at]);
    o.keyspace = static_cast<std::uint8_t>(content[at + 1]);
    const std::size_t key = number_at<std::uint16_t>(content, at + 2);
    const std::size_t value = number_at<std::uint32_t>(content, at + 4);
    o.version = number_at<Version>(content, at + 8);
    o.stamp = number_at<Stamp>(content, at + 16);
    if (content.size() - at - operation_head < key + value) return std::nullopt;
    o.key = content.substr(at + operation_head, key);
    o.value = content.substr(at + operation_head + key, value);
    if (o.kind == Kind::erase) {
        if (value != erase_size) return std::nullopt;
        o.from = number_at<Number>(o.value, 0);
        o.to = number_at<Number>(o.value, 8);
        o.value = {};
    } else if (o.kind != Kind::put) {
        return std::nullopt;
    }
    if (next != nullptr) *next = at + operation_head + key + value;
    return o;
}

bool each_operation(std::string_view content,
                    const std::function<void(const Operation&, std::uint32_t)>& act) {
    for (std::size_t at = 0; at < content.size();) {
        std::size_t next = 0;
        const auto operation = read_operation(content, at, &next);
        if (!operation) return false;
        act(*operation, static_cast<std::uint32_t>(at));
        at = next;
    }
    return true;
}

std::string write_segment_head(const SegmentHead& head) {
    std::string bytes(segment_magic);
    append_number(bytes, head.store);
    append_number(bytes, head.number);
    append_number(bytes, head.first);
    append_number(bytes, head.made);
    append_number(bytes, head.durable);
    append_number(bytes, hash_of(bytes));
    return bytes;
}

std::optional<SegmentHead> read_segment_head(std::string_view bytes) {
    if (bytes.size() < segment_head || !bytes.starts_with(segment_magic) ||
        number_at<std::uint64_t>(bytes, 56) != hash_of(bytes.substr(0, 56)))
        return std::nullopt;
    return SegmentHead{number_at<std::uint64_t>(bytes, 16), number_at<Number>(bytes, 24),
                       number_at<Version>(bytes, 32), number_at<Stamp>(bytes, 40),
                       number_at<Version>(bytes, 48)};
}

std::string write_manifest(const Manifest& manifest) {
    std::string bytes(manifest_magic);
    append_number(bytes, manifest.store);
    append_number(bytes, manifest.generation);
    append_number(bytes, manifest.next);
    append_number(bytes, static_cast<std::uint32_t>(manifest.segments.size()));
    bytes += static_cast<char>(manifest.suspect_below.has_value());
    append_number(bytes, manifest.suspect_below.value_or(0));
    for (const auto& segment : manifest.segments) {
        append_number(bytes, segment.number);
        append_number(bytes, segment.first);
        append_number(bytes, segment.size);
        bytes += static_cast<char>(segment.damaged);
    }
    append_number(bytes, hash_of(bytes));
    return bytes + bytes;
}

std::optional<Manifest> read_manifest(std::string_view bytes) {
    if (auto first = read_one_manifest(bytes)) return first;
    return read_one_manifest(bytes.substr(bytes.size() / 2));
}

std::string segment_name(Number number) { return numbered("seg.", number); }
std::optional<Number> number_of_segment(std::string_view name) { return number_behind("seg.", name); }
std::string damaged_name(Number number) { return numbered("damaged.", number); }
std::optional<Number> number_of_damaged(std::string_view name) { return number_behind("damaged.", name); }

}  // namespace brasslift::store
