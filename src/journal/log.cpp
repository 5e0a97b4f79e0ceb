#include "journal/log.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <optional>
#include <system_error>

#include "runtime/log.hpp"

namespace brasslift::journal {
namespace {

namespace fs = std::filesystem;
constexpr std::string_view magic = "dispatch-log-01\n";
constexpr std::string_view prefix = "journal.";
constexpr std::size_t most_record = 1 << 20;

std::uint32_t checksum(std::string_view bytes) {
    return static_cast<std::uint32_t>(
        ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::string frame(std::string_view record) {
    const std::uint32_t head[2] = {static_cast<std::uint32_t>(record.size()), checksum(record)};
    std::string bytes(reinterpret_cast<const char*>(head), sizeof head);
    return bytes.append(record);
}

bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto put = ::write(fd, bytes.data(), bytes.size());
        if (put < 0 && errno == EINTR) continue;
        if (put <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return true;
}

std::vector<std::uint64_t> numbers_in(const std::string& folder) {
    std::vector<std::uint64_t> numbers;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error)) {
        const auto name = entry.path().filename().string();
        std::uint64_t number = 0;
        if (!name.starts_with(prefix)) continue;
        const auto [end, bad] =
            std::from_chars(name.data() + prefix.size(), name.data() + name.size(), number);
        if (bad == std::errc{} && end == name.data() + name.size()) numbers.push_back(number);
    }
    std::sort(numbers.rbegin(), numbers.rend());
    return numbers;
}

std::optional<std::string> read_file(const std::string& path) {
    const runtime::Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file) return std::nullopt;
    std::string text;
    char part[65536];
    for (;;) {
        const auto got = ::read(file.get(), part, sizeof part);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return std::nullopt;
        if (got == 0) return text;
        text.append(part, static_cast<std::size_t>(got));
    }
}

// The length of what is whole, from the start on; a record cut short by a kill ends it.
std::size_t replay_text(std::string_view text, const Log::Replay& replay) {
    std::size_t at = magic.size();
    while (text.size() - at >= 8) {
        std::uint32_t head[2];
        std::memcpy(head, text.data() + at, sizeof head);
        if (head[0] > most_record || head[0] > text.size() - at - 8) break;
        const auto record = text.substr(at + 8, head[0]);
        if (checksum(record) != head[1]) break;
        replay(record);
        at += 8 + head[0];
    }
    return at;
}

}  // namespace

std::string Log::path(std::uint64_t number) const {
    return folder_ + '/' + std::string(prefix) + std::to_string(number);
}

bool Log::inspect(const std::string& folder, const Replay& replay) {
    for (const auto number : numbers_in(folder)) {
        const auto text = read_file(folder + '/' + std::string(prefix) + std::to_string(number));
        if (!text || !text->starts_with(magic)) continue;
        replay_text(*text, replay);
        return true;
    }
    return false;
}

bool Log::open(const Replay& replay) {
    // A rewrite is renamed into place whole, so the highest number is the log; what a kill left beside it,
    // the older log or an unfinished copy, goes.
    const auto numbers = numbers_in(folder_);
    for (const auto number : numbers) {
        const auto text = read_file(path(number));
        if (!text || !text->starts_with(magic)) continue;
        const auto whole = replay_text(*text, replay);
        if (whole < text->size())
            runtime::log("journal", "%zu bytes of a torn tail were dropped", text->size() - whole);
        file_ = runtime::Descriptor(::open(path(number).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
        if (!file_ || (whole < text->size() && ::ftruncate(file_.get(), static_cast<off_t>(whole)) != 0))
            return false;
        size_ = whole;
        number_ = number;
        break;
    }
    std::error_code error;
    std::vector<fs::path> stale;
    for (const auto& entry : fs::directory_iterator(folder_, error))
        if (entry.path().filename().string().starts_with(prefix) &&
            (!file_ || entry.path() != fs::path(path(number_))))
            stale.push_back(entry.path());
    for (const auto& name : stale) fs::remove(name, error);
    return file_ || rewrite({});
}

bool Log::append(std::string_view record) {
    if (broken_ || !file_) return false;
    const auto bytes = frame(record);
    // Where no rewrite succeeds the log must still not outgrow the folder.
    if (size_ + bytes.size() > 2 * half_) return false;
    if (write_all(file_.get(), bytes)) {
        size_ += bytes.size();
        return true;
    }
    runtime::log("journal", "a record could not be written: %s", std::strerror(errno));
    // A part of a record in mid-file would hide all that follow it: cut it off, or write no more.
    if (::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0) broken_ = true;
    return false;
}

bool Log::rewrite(const std::vector<std::string>& records) {
    const auto next = path(number_ + 1), copy = next + ".part";
    std::string text(magic);
    for (const auto& record : records) text += frame(record);
    runtime::Descriptor file(::open(copy.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    if (!file || !write_all(file.get(), text) || ::rename(copy.c_str(), next.c_str()) != 0) {
        runtime::log("journal", "the log could not be rewritten: %s", std::strerror(errno));
        ::unlink(copy.c_str());
        return false;
    }
    if (file_) ::unlink(path(number_).c_str());
    ++number_;
    file_ = std::move(file);
    size_ = text.size();
    broken_ = false;
    return true;
}

}  // namespace brasslift::journal
