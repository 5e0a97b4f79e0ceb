// The durable log: append-only records with length and checksum, in one file of the state folder.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/descriptor.hpp"

namespace brasslift::journal {

class Log {
public:
    // `half`: the size past which the log is rewritten; it and its copy together stay under twice that.
    Log(std::string folder, std::size_t half) : folder_(std::move(folder)), half_(half) {}

    using Replay = std::function<void(std::string_view)>;
    // Replays the newest whole log and opens it for more. A torn tail is cut off. False: no log can be had.
    bool open(const Replay& replay);
    // Reads without changing anything; false where there is no log.
    static bool inspect(const std::string& folder, const Replay& replay);

    // False: nothing was added; what the record would have permitted must not happen.
    bool append(std::string_view record);
    // Whether the next record of this size should wait for a rewrite.
    bool wants_rewrite(std::size_t record) const { return size_ + framed(record) > half_; }
    // Puts these records in place of all. On failure the old log stays in use.
    bool rewrite(const std::vector<std::string>& records);

    std::size_t size() const { return size_; }
    std::size_t half() const { return half_; }
    static std::size_t framed(std::size_t record) { return record + 8; }

private:
    std::string path(std::uint64_t number) const;

    std::string folder_;
    std::size_t half_ = 0, size_ = 0;
    std::uint64_t number_ = 0;
    runtime::Descriptor file_;
    bool broken_ = false;
};

}  // namespace brasslift::journal
