#include "store/scan.hpp"

#include <algorithm>

namespace brasslift::store {
namespace {

constexpr std::size_t part = 256 * 1024;

}  // namespace

std::optional<std::string_view> Scan::look(std::uint64_t at, std::size_t size) {
    size = static_cast<std::size_t>(std::min<std::uint64_t>(size, at < to_ ? to_ - at : 0));
    if (at < begin_ || at + size > begin_ + buffer_.size()) {
        const auto want =
            static_cast<std::size_t>(std::min<std::uint64_t>(std::max(size, part), at < to_ ? to_ - at : 0));
        buffer_.resize(want);
        const auto got = want == 0 ? 0 : file_.read_at(buffer_.data(), want, at);
        if (got < 0) {
            buffer_.clear();
            failed_ = true;
            return std::nullopt;
        }
        buffer_.resize(static_cast<std::size_t>(got));
        begin_ = at;
    }
    return std::string_view(buffer_).substr(static_cast<std::size_t>(at - begin_), size);
}

bool Scan::zeros(std::uint64_t from) {
    for (auto at = from; at < to_;) {
        const auto bytes = look(at, part);
        if (!bytes || bytes->empty()) return bytes.has_value();
        if (bytes->find_first_not_of('\0') != bytes->npos) return false;
        at += bytes->size();
    }
    return true;
}

Found Scan::whole(std::uint64_t at, const FrameHead& head) {
    Found found{Found::What::damage, at, head.size(), head, {}};
    const auto bytes = look(at, head.size());
    if (!bytes) return {Found::What::failed, at, 0, {}, {}};
    if (bytes->size() < head.size()) return found;
    if (const auto content = read_content(head, bytes->substr(frame_head), unpacked_)) {
        found.what = Found::What::frame;
        found.content = *content;
    }
    return found;
}

// Where a frame begins that is whole, behind damage.
std::optional<std::uint64_t> Scan::next_frame(std::uint64_t from) {
    for (auto at = from; at + frame_head <= to_;) {
        const auto bytes = look(at, part);
        if (!bytes) return std::nullopt;
        const auto mark = bytes->find("BLL");
        if (mark == bytes->npos || mark + frame_head > bytes->size()) {
            if (bytes->size() < part) return std::nullopt;
            at += mark == bytes->npos ? bytes->size() - 2 : mark;  // the mark may be cut by the part's end
            continue;
        }
        at += mark;
        const auto head = read_frame_head(bytes->substr(mark, frame_head));
        if (head && at + head->size() <= to_ && whole(at, *head).what == Found::What::frame) return at;
        ++at;
    }
    return std::nullopt;
}

Found Scan::next() {
    const auto at = at_;
    if (at >= to_) return {Found::What::end, at, 0, {}, {}};
    const auto ends = [&](Found::What what) {
        at_ = to_;
        return failed_ ? Found{Found::What::failed, at, 0, {}, {}} : Found{what, at, to_ - at, {}, {}};
    };
    const auto bytes = look(at, frame_head);
    if (!bytes) return ends(Found::What::failed);
    if (bytes->size() < frame_head) return ends(Found::What::torn);
    if (const auto head = read_frame_head(*bytes)) {
        if (at + head->size() > to_) return ends(Found::What::torn);
        at_ = at + head->size();  // the head has a check of its own, so its length holds
        auto found = whole(at, *head);
        if (found.what == Found::What::damage && at_ >= to_) found.what = Found::What::spoilt;
        return found;
    }
    if (const auto behind = next_frame(at + 1)) {
        at_ = *behind;
        return {Found::What::damage, at, *behind - at, {}, {}};
    }
    if (failed_) return ends(Found::What::failed);
    return ends(zeros(at) ? Found::What::torn : Found::What::spoilt);
}

}  // namespace brasslift::store
