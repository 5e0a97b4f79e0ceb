#include "store/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "runtime/descriptor.hpp"

namespace brasslift::store {
namespace {

using runtime::Descriptor;

// Repeats a call that a signal interrupted; its result, or less errno's number.
template <class Call>
int uninterrupted(Call call) {
    for (;;) {
        const int result = call();
        if (result >= 0) return result;
        if (errno != EINTR) return -errno;
    }
}

class DiskFile : public File {
public:
    explicit DiskFile(Descriptor fd) : fd_(std::move(fd)) {}
    ssize_t read_at(char* into, std::size_t size, std::uint64_t offset) const override {
        std::size_t done = 0;
        while (done < size) {
            const auto got = ::pread(fd_.get(), into + done, size - done, static_cast<off_t>(offset + done));
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) return -errno;
            if (got == 0) break;
            done += static_cast<std::size_t>(got);
        }
        return static_cast<ssize_t>(done);
    }
    ssize_t append(std::string_view bytes) override {
        for (;;) {
            const auto put = ::write(fd_.get(), bytes.data(), bytes.size());
            if (put >= 0) return put;
            if (errno != EINTR) return -errno;
        }
    }
    int truncate(std::uint64_t size) override {
        return uninterrupted([&] { return ::ftruncate(fd_.get(), static_cast<off_t>(size)); });
    }
    int sync() override {
        return uninterrupted([&] { return ::fdatasync(fd_.get()); });
    }

private:
    Descriptor fd_;
};

class Folder : public Files {
public:
    explicit Folder(std::string path)
        : fd_(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)), error_(fd_ ? 0 : errno) {}

    int open(const std::string& name, Mode mode, std::unique_ptr<File>& into) override {
        if (!fd_) return -error_;
        const int flags = mode == Mode::read     ? O_RDONLY
                          : mode == Mode::append ? O_RDWR | O_APPEND
                                                 : O_RDWR | O_APPEND | O_CREAT | O_EXCL;
        const int opened =
            uninterrupted([&] { return ::openat(fd_.get(), name.c_str(), flags | O_CLOEXEC, 0600); });
        if (opened < 0) return opened;
        Descriptor fd(opened);
        into = std::make_unique<DiskFile>(std::move(fd));
        return 0;
    }
    int rename(const std::string& from, const std::string& to) override {
        return uninterrupted([&] { return ::renameat(fd_.get(), from.c_str(), fd_.get(), to.c_str()); });
    }
    int remove(const std::string& name) override {
        return uninterrupted([&] { return ::unlinkat(fd_.get(), name.c_str(), 0); });
    }
    int list(std::vector<Entry>& into) override {
        if (!fd_) return -error_;
        const int copy = ::openat(fd_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (copy < 0) return -errno;
        DIR* const entries = ::fdopendir(copy);
        if (entries == nullptr) {
            const int error = errno;
            ::close(copy);
            return -error;
        }
        into.clear();
        for (const dirent* entry = nullptr; (entry = ::readdir(entries)) != nullptr;) {
            struct stat about {};
            if (::fstatat(fd_.get(), entry->d_name, &about, AT_SYMLINK_NOFOLLOW) == 0 &&
                S_ISREG(about.st_mode))
                into.push_back({entry->d_name, static_cast<std::uint64_t>(about.st_size)});
        }
        ::closedir(entries);
        return 0;
    }
    int sync_folder() override {
        return uninterrupted([&] { return ::fsync(fd_.get()); });
    }
    int lock(const std::string& name) override {
        if (!fd_) return -error_;
        if (lock_) return 0;  // held already: a start is tried again
        const int opened = uninterrupted(
            [&] { return ::openat(fd_.get(), name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600); });
        if (opened < 0) return opened;
        Descriptor fd(opened);
        if (const int bad = uninterrupted([&] { return ::flock(fd.get(), LOCK_EX | LOCK_NB); }); bad < 0)
            return bad;
        lock_ = std::move(fd);
        return 0;
    }

private:
    Descriptor fd_, lock_;
    int error_ = 0;
};

}  // namespace

std::unique_ptr<Files> files_in(std::string folder) { return std::make_unique<Folder>(std::move(folder)); }

int append_all(File& file, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto put = file.append(bytes);
        if (put < 0) return static_cast<int>(put);
        if (put == 0) return -EIO;
        bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return 0;
}

int read_all(Files& files, const std::string& name, std::size_t most, std::string& into) {
    std::unique_ptr<File> file;
    if (const int bad = files.open(name, Mode::read, file); bad < 0) return bad;
    into.clear();
    char part[16384];
    while (into.size() < most) {
        const auto got = file->read_at(part, std::min(sizeof part, most - into.size()), into.size());
        if (got < 0) return static_cast<int>(got);
        if (got == 0) break;
        into.append(part, static_cast<std::size_t>(got));
    }
    return 0;
}

}  // namespace brasslift::store
