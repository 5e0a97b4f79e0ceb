// The signals that the program heeds, as a descriptor on the loop.
#pragma once

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

#include "runtime/scheduler.hpp"

namespace brasslift::serve {

// From now on the signals that are heeded wait, and those that would end the process for a failed write are
// left out. Called first of all: a signal that comes while the process starts is served once it can be.
inline sigset_t hold_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);  // a journal that may not grow is a failed write, not the end
    return set;
}

class Signals {
public:
    Signals(runtime::Scheduler& scheduler, runtime::Waker& waker) {
        const sigset_t set = hold_signals();
        fd_ = runtime::Descriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
        if (!fd_ || scheduler.watch(fd_.get(), waker) == 0) throw std::runtime_error("signals cannot be had");
    }
    // The next signal that came, 0 if there is none. A read that was interrupted is repeated: the loop is
    // told of a signal once only.
    int next() const {
        signalfd_siginfo info;
        for (;;) {
            const auto got = ::read(fd_.get(), &info, sizeof info);
            if (got == sizeof info) return static_cast<int>(info.ssi_signo);
            if (got >= 0 || errno != EINTR) return 0;
        }
    }

private:
    runtime::Descriptor fd_;
};

}  // namespace brasslift::serve
