#include "lab/child.hpp"

#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace brasslift::lab {
namespace {

double status_kb(pid_t process, const char* name) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name))
            return std::strtod(line.c_str() + std::char_traits<char>::length(name), nullptr);
    return 0;
}

}  // namespace

Child::Child(const std::function<void()>& work) {
    const auto parent = ::getpid();
    id_ = ::fork();
    if (id_ < 0) throw std::runtime_error("no process can be started");
    if (id_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    try {
        work();
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift-lab: %s\n", fault.what());
        ::_exit(1);
    }
    ::_exit(0);
}

Child::~Child() {
    if (!running()) return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
}

bool Child::running() {
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) != 0) id_ = 0;
    return id_ > 0;
}

std::vector<double> Tape::sorted_from(std::size_t place) const {
    const auto count = size();
    std::vector<double> some(values_ + std::min(place, count), values_ + count);
    std::sort(some.begin(), some.end());
    return some;
}

void* shared_memory(std::size_t bytes) {
    void* const at = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (at == MAP_FAILED) throw std::runtime_error("no memory to share");
    return at;
}

void give_back(void* memory, std::size_t bytes) { ::munmap(memory, bytes); }

double quantile_of(const std::vector<double>& sorted, double part) {
    if (sorted.empty()) return 0;
    return sorted[std::min(sorted.size() - 1,
                           static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

double cpu_ms_of(pid_t process) {
    double sum = 0;
    std::error_code error;
    const std::filesystem::path tasks("/proc/" + std::to_string(process) + "/task");
    for (std::filesystem::directory_iterator each(tasks, error), end; !error && each != end;
         each.increment(error)) {
        std::ifstream in(each->path() / "schedstat");
        double nanoseconds = 0;
        if (in >> nanoseconds) sum += nanoseconds / 1e6;
    }
    return sum;
}

double resident_bytes_of(pid_t process) { return status_kb(process, "VmRSS:") * 1024; }
double peak_resident_bytes_of(pid_t process) { return status_kb(process, "VmHWM:") * 1024; }

}  // namespace brasslift::lab
