// The one way from the store to files: a folder's, by name. Calls answer 0 or more, or less errno's number,
// so that a test can fail any of them. They may block; none waits for another process.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace brasslift::store {

class File {
public:
    virtual ~File() = default;  // closes it
    // Fewer bytes than asked for: the file ends there.
    virtual ssize_t read_at(char* into, std::size_t size, std::uint64_t offset) const = 0;
    // At the end; may write fewer bytes than given.
    virtual ssize_t append(std::string_view bytes) = 0;
    virtual int truncate(std::uint64_t size) = 0;
    virtual int sync() = 0;  // may be called on another thread, beside the others
};

enum class Mode { read, append, create };  // create: a file that is not there yet

class Files {
public:
    struct Entry {
        std::string name;
        std::uint64_t size = 0;
    };
    virtual ~Files() = default;
    virtual int open(const std::string& name, Mode mode, std::unique_ptr<File>& into) = 0;
    virtual int rename(const std::string& from, const std::string& to) = 0;
    virtual int remove(const std::string& name) = 0;
    virtual int list(std::vector<Entry>& into) = 0;
    virtual int sync_folder() = 0;  // may be called on another thread
    // Held until this object goes, and asked for again without harm; a process that dies lets it go, so a
    // file left behind locks nobody out.
    virtual int lock(const std::string& name) = 0;
};

// The folder itself must be there.
std::unique_ptr<Files> files_in(std::string folder);

// Writes everything; 0 or less errno's number.
int append_all(File& file, std::string_view bytes);
// A whole file of so many bytes at most.
int read_all(Files& files, const std::string& name, std::size_t most, std::string& into);

// What a file takes in a folder whose files count in whole blocks.
constexpr std::uint64_t block = 512;
constexpr std::uint64_t blocks_of(std::uint64_t size) { return (size + block - 1) / block * block; }

}  // namespace brasslift::store
