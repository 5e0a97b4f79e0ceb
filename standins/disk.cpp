#include "disk.hpp"

#include <algorithm>
#include <cerrno>
#include <random>

namespace brasslift::standins {

using store::blocks_of;
using store::Mode;

class Disk::Opened : public store::File {
public:
    Opened(Disk& disk, std::string name, std::shared_ptr<Inode> inode, bool writable)
        : disk_(disk), name_(std::move(name)), inode_(std::move(inode)), writable_(writable) {}

    ssize_t read_at(char* into, std::size_t size, std::uint64_t offset) const override {
        const auto fate = disk_.fate(Call::read, name_);
        if (fate.error != 0) return fate.error;
        if (offset >= inode_->bytes.size()) return 0;
        return static_cast<ssize_t>(inode_->bytes.copy(into, size, offset));
    }
    ssize_t append(std::string_view bytes) override {
        if (!writable_) return -EBADF;
        const auto fate = disk_.fate(Call::append, name_);
        if (fate.half) bytes = bytes.substr(0, bytes.size() / 2);
        if (fate.error != 0 && !fate.half) return fate.error;
        const auto before = blocks_of(inode_->bytes.size());
        if (disk_.size() - before + blocks_of(inode_->bytes.size() + bytes.size()) > disk_.room)
            return -ENOSPC;
        inode_->bytes += bytes;
        disk_.most = std::max(disk_.most, disk_.size());
        if (fate.end_behind) throw Ended{};
        if (fate.half && fate.error != 0 && bytes.empty()) return fate.error;
        return static_cast<ssize_t>(bytes.size());
    }
    int truncate(std::uint64_t size) override {
        const auto fate = disk_.fate(Call::truncate, name_);
        if (fate.error != 0) return fate.error;
        inode_->bytes.resize(size);
        if (fate.end_behind) throw Ended{};
        return 0;
    }
    int sync() override {
        const auto fate = disk_.fate(Call::sync, name_);
        if (fate.error != 0) return fate.error;
        inode_->synced = inode_->bytes;
        if (fate.end_behind) throw Ended{};
        return 0;
    }

private:
    Disk& disk_;
    std::string name_;
    std::shared_ptr<Inode> inode_;
    bool writable_;
};

class Disk::Mounted : public store::Files {
public:
    explicit Mounted(Disk& disk) : disk_(disk) {}

    int open(const std::string& name, Mode mode, std::unique_ptr<store::File>& into) override {
        const auto fate = disk_.fate(Call::open, name);
        if (fate.error != 0) return fate.error;
        const auto found = disk_.names.find(name);
        if (mode == Mode::create) {
            if (found != disk_.names.end()) return -EEXIST;
            disk_.names[name] = std::make_shared<Inode>();
        } else if (found == disk_.names.end()) {
            return -ENOENT;
        }
        into = std::make_unique<Opened>(disk_, name, disk_.names[name], mode != Mode::read);
        if (fate.end_behind) throw Ended{};
        return 0;
    }
    int rename(const std::string& from, const std::string& to) override {
        const auto fate = disk_.fate(Call::rename, to);
        if (fate.error != 0) return fate.error;
        const auto found = disk_.names.find(from);
        if (found == disk_.names.end()) return -ENOENT;
        disk_.names[to] = found->second;
        disk_.names.erase(from);
        if (fate.end_behind) throw Ended{};
        return 0;
    }
    int remove(const std::string& name) override {
        const auto fate = disk_.fate(Call::remove, name);
        if (fate.error != 0) return fate.error;
        if (disk_.names.erase(name) == 0) return -ENOENT;
        if (fate.end_behind) throw Ended{};
        return 0;
    }
    int list(std::vector<Entry>& into) override {
        const auto fate = disk_.fate(Call::list, "");
        if (fate.error != 0) return fate.error;
        into.clear();
        for (const auto& [name, inode] : disk_.names) into.push_back({name, inode->bytes.size()});
        return 0;
    }
    int sync_folder() override {
        const auto fate = disk_.fate(Call::sync_folder, "");
        if (fate.error != 0) return fate.error;
        if (!disk_.forgets_) disk_.synced_names_ = disk_.names;
        if (fate.end_behind) throw Ended{};
        return 0;
    }
    int lock(const std::string& name) override {
        const auto fate = disk_.fate(Call::lock, name);
        if (fate.error != 0) return fate.error;
        if (held_) return 0;
        if (!disk_.lock_.expired()) return -EWOULDBLOCK;
        held_ = std::make_shared<int>(0);
        disk_.lock_ = held_;
        if (disk_.names.count(name) == 0) disk_.names[name] = std::make_shared<Inode>();
        return 0;
    }

private:
    Disk& disk_;
    std::shared_ptr<int> held_;
};

std::unique_ptr<store::Files> Disk::mount() { return std::make_unique<Mounted>(*this); }

Disk::Fate Disk::fate(Call call, const std::string& name) {
    if (!script_) return {};
    const auto fate = script_(calls_++, call, name);
    if (fate.end_before) throw Ended{};
    return fate;
}

std::uint64_t Disk::size() const {
    std::uint64_t sum = 0;
    for (const auto& [name, inode] : names) sum += blocks_of(inode->bytes.size());
    return sum;
}

void Disk::cut_power(std::uint64_t seed) {
    std::mt19937_64 chance(seed);
    // A name that was not synced may have lasted all the same, and so may a removal.
    auto kept = synced_names_;
    for (const auto& [name, inode] : names)
        if (kept.count(name) == 0 && chance() % 2 == 0) kept[name] = inode;
    for (auto it = kept.begin(); it != kept.end();)
        it = names.count(it->first) == 0 && chance() % 2 == 0 ? kept.erase(it) : std::next(it);
    names.clear();
    for (const auto& [name, inode] : kept) {
        auto after = std::make_shared<Inode>();
        after->bytes = inode->synced;
        const bool grown = inode->bytes.size() > inode->synced.size() &&
                           inode->bytes.compare(0, inode->synced.size(), inode->synced) == 0;
        if (grown) {
            const auto more = inode->bytes.size() - inode->synced.size();
            auto tail = inode->bytes.substr(inode->synced.size(), chance() % (more + 1));
            // The length may have lasted where the bytes did not.
            if (chance() % 3 == 0)
                std::fill(tail.begin() + static_cast<long>(tail.size() / 2), tail.end(), '\0');
            after->bytes += tail;
        }
        after->synced = after->bytes;
        names[name] = after;
    }
    synced_names_ = names;
}

Disk Disk::copy() const {
    Disk other;
    std::map<const Inode*, std::shared_ptr<Inode>> copies;
    const auto twin = [&](const std::shared_ptr<Inode>& inode) {
        auto& copy = copies[inode.get()];
        if (!copy) copy = std::make_shared<Inode>(*inode);
        return copy;
    };
    for (const auto& [name, inode] : names) other.names[name] = twin(inode);
    for (const auto& [name, inode] : synced_names_) other.synced_names_[name] = twin(inode);
    other.room = room;
    other.forgets_ = forgets_;
    return other;
}

}  // namespace brasslift::standins
