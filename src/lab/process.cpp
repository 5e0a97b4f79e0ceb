#include "lab/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utility>

namespace brasslift::lab {

Process::~Process() {
    if (id_ > 0) kill();
}

Process::Process(Process&& other) noexcept
    : id_(std::exchange(other.id_, 0)), exit_(other.exit_), ends_with_parent_(other.ends_with_parent_) {}

Process& Process::operator=(Process&& other) noexcept {
    if (id_ > 0) kill();
    id_ = std::exchange(other.id_, 0);
    exit_ = other.exit_;
    ends_with_parent_ = other.ends_with_parent_;
    return *this;
}

bool Process::start(const std::vector<std::string>& words,
                    const std::map<std::string, std::string>& environment, const std::string& log,
                    std::uint64_t most_file_bytes) {
    std::vector<char*> arguments;
    for (const auto& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const auto parent = ::getpid();
    id_ = ::fork();
    if (id_ < 0) return id_ = 0, false;
    if (id_ > 0) return true;
    if (ends_with_parent_) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(1);
    }
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    const int out = ::open(log.empty() ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (most_file_bytes > 0) {
        const rlimit limit{most_file_bytes, most_file_bytes};
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

void Process::ended(int status) {
    id_ = 0;
    exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool Process::running() {
    int status = 0;
    if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) ended(status);
    return id_ > 0;
}

void Process::signal(int number) {
    if (running()) ::kill(id_, number);
}

void Process::kill() {
    if (id_ <= 0) return;
    ::kill(id_, SIGKILL);
    int status = 0;
    if (::waitpid(id_, &status, 0) == id_) ended(status);
}

int run_command(const std::vector<std::string>& words,
                const std::map<std::string, std::string>& environment) {
    Process process;
    if (!process.start(words, environment, "")) return -1;
    while (process.running()) ::usleep(2000);
    return process.exit_code();
}

}  // namespace brasslift::lab
