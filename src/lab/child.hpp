// Parts of a measurement in processes of their own, so that none takes time from another: forked children,
// the memory that they share with whoever started them, and what the kernel says of a process.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace brasslift::lab {

// Runs the work in a fork of this process and ends with it, or with its parent. Errors: throws
// std::runtime_error where nothing can be forked.
class Child {
public:
    explicit Child(const std::function<void()>& work);
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    bool running();

private:
    pid_t id_ = 0;
};

// Numbers that one process appends and others read. Those beyond its room are counted, not kept.
class Tape {
public:
    static constexpr std::size_t room = 1 << 18;
    void put(double value) {
        const auto at = count_.load(std::memory_order_relaxed);
        if (at < room) values_[at] = value;
        count_.store(at + 1, std::memory_order_release);
    }
    std::size_t size() const {
        const auto count = count_.load(std::memory_order_acquire);
        return count < room ? count : room;
    }
    // Those that came from a place on, sorted.
    std::vector<double> sorted_from(std::size_t place) const;

private:
    std::atomic<std::size_t> count_{0};
    double values_[room];
};

// One object in memory that children share. Errors: throws std::runtime_error where there is no memory.
void* shared_memory(std::size_t bytes);
void give_back(void* memory, std::size_t bytes);
template <class T>
class Shared {
public:
    Shared() : at_(new (shared_memory(sizeof(T))) T) {}
    ~Shared() { give_back(at_, sizeof(T)); }
    Shared(const Shared&) = delete;
    Shared& operator=(const Shared&) = delete;
    T* operator->() const { return at_; }
    T& operator*() const { return *at_; }

private:
    T* at_;
};

// Of sorted values; 0 where there are none.
double quantile_of(const std::vector<double>& sorted, double part);

// Processor time of all threads, ms; resident memory now and at its peak, bytes. 0 where it is not there.
double cpu_ms_of(pid_t process);
double resident_bytes_of(pid_t process);
double peak_resident_bytes_of(pid_t process);

}  // namespace brasslift::lab
