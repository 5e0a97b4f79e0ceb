// A disk in memory that fails, forgets and loses power on script, behind the store's seam to files.
//
// A process's end keeps what was written. A power cut keeps what was synced: of files whose name was synced
// in the folder, the bytes that were synced and some of those that were not, as disks do that write in any
// order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "store/files.hpp"

namespace brasslift::standins {

// Thrown out of a call at which the machine or the process ends.
struct Ended {};

class Disk {
public:
    struct Inode {
        std::string bytes, synced;
    };
    enum class Call { open, read, append, truncate, sync, rename, remove, list, sync_folder, lock };
    // What becomes of the nth call (from 0): the answer in its place (less errno's number), 0: as usual.
    // `half`: of an append, half of its bytes are written first. Throws Ended, or sets `end_behind`, for a
    // crash.
    struct Fate {
        int error = 0;
        bool half = false, end_before = false, end_behind = false;
    };
    using Script = std::function<Fate(std::size_t nth, Call call, const std::string& name)>;

    // The files as a process sees them; each is one process's, and lets its lock go with its end.
    std::unique_ptr<store::Files> mount();
    void follow(Script script) {
        script_ = std::move(script);
        calls_ = 0;
    }
    std::size_t calls() const { return calls_; }
    // Syncs of the folder are answered and do nothing: names do not last.
    void forget_names(bool forgets) { forgets_ = forgets; }
    // Everything that was not synced may go, by chance of `seed`.
    void cut_power(std::uint64_t seed);
    // A disk with the same content, synced and not.
    Disk copy() const;

    std::map<std::string, std::shared_ptr<Inode>> names;
    std::uint64_t room = ~std::uint64_t{0};  // ENOSPC beyond
    std::uint64_t size() const;              // in blocks
    std::uint64_t most = 0;                  // that it ever was

private:
    class Mounted;
    class Opened;
    Fate fate(Call call, const std::string& name);

    std::map<std::string, std::shared_ptr<Inode>> synced_names_;
    Script script_;
    std::size_t calls_ = 0;
    bool forgets_ = false;
    std::weak_ptr<int> lock_;
};

}  // namespace brasslift::standins
