// Requests to one peer over one kept connection, one at a time: for notices and exports. Nothing is sent
// again here. Threads: the loop's alone. Units: milliseconds of the steady clock. Errors: no answer.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "http/message.hpp"
#include "http/reuse.hpp"
#include "runtime/socket.hpp"

namespace brasslift::client {

// When a kept connection carries the next request: at once, where an answer that belongs to another request
// does no harm, or once it has rested behind the latest answer (http/reuse).
enum class Reuse : std::uint8_t { at_once, rested };

class Caller {
public:
    // `limits`: of answers.
    explicit Caller(runtime::Scheduler& scheduler, http::Limits limits = {}, Reuse reuse = Reuse::at_once)
        : scheduler_(scheduler), waker_(scheduler), limits_(limits), reuse_(reuse) {}

    // The answer, where a whole one came in time; without one the connection is closed, so that a late answer
    // finds nobody. `until` is asked again whenever the call is nudged.
    runtime::Task<std::optional<http::Message>> call(runtime::Address to, std::string request,
                                                     std::function<runtime::Time()> until);
    // Whether the next call goes over a connection that is there already, and may be silently dead.
    bool kept() const { return connected() && may_carry(); }
    bool connected() const { return static_cast<bool>(socket_); }
    void nudge() { waker_.notify(); }
    void close() { socket_.close(); }

private:
    bool may_carry() const;
    bool connect(runtime::Address to);

    runtime::Scheduler& scheduler_;
    runtime::Waker waker_;
    runtime::Socket socket_;
    http::Limits limits_;
    Reuse reuse_;
    http::ReuseRule rule_;
    runtime::Time answered_at_ = 0;  // when the latest answer had been read
};

}  // namespace brasslift::client
