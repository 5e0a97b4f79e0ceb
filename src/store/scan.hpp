// Reads one segment's frames in order, in parts of bounded size, and past damage.
#pragma once

#include <string>

#include "store/files.hpp"
#include "store/format.hpp"

namespace brasslift::store {

struct Found {
    enum class What : std::uint8_t {
        frame,
        damage,  // bytes that are no frame, or one that is not as written; frames follow
        spoilt,  // the same to the end
        torn,    // a frame's beginning, or zeros, to the end: as a write leaves it that did not end
        end,
        failed,  // the file cannot be read
    } what = What::end;
    std::uint64_t offset = 0, size = 0;
    FrameHead head;
    std::string_view content;  // plain; until the next call
};

class Scan {
public:
    // The bytes from `from`, where a frame begins, to `to`.
    Scan(const File& file, std::uint64_t from, std::uint64_t to) : file_(file), at_(from), to_(to) {}
    Found next();
    std::uint64_t at() const { return at_; }

private:
    // So many bytes from there on, fewer at the end; nothing where the file cannot be read.
    std::optional<std::string_view> look(std::uint64_t at, std::size_t size);
    std::optional<std::uint64_t> next_frame(std::uint64_t from);
    bool zeros(std::uint64_t from);
    Found whole(std::uint64_t at, const FrameHead& head);

    const File& file_;
    std::uint64_t at_, to_;
    std::string buffer_, unpacked_;
    std::uint64_t begin_ = 0;  // of the buffer, in the file
    bool failed_ = false;
};

}  // namespace brasslift::store
