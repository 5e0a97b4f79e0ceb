// The parties round the dispatchers, as the rig plays them: partners that answer after a while, discovery
// that takes notices, clients that hand in and look at what they are answered.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http/parser.hpp"
#include "http/writer.hpp"
#include "lab/account.hpp"
#include "lab/link.hpp"

namespace brasslift::lab {

// An HTTP server whose handler says what to answer and when.
class Party {
public:
    struct Reply {
        int status = 200;  // 0: the connection is reset; -1: no answer ever
        std::string body;
        double after_ms = 0;
        std::function<void(bool written)> told = {};
        http::HeaderList headers = {};
        double again_after_ms = 0;  // the same bytes once more, so long behind the answer; 0: no
    };
    using Handle = std::function<Reply(const http::Message&)>;
    Party(runtime::Scheduler& scheduler, Handle handle);
    // At an address of its own; throws where that cannot be had.
    Party(runtime::Scheduler& scheduler, runtime::Address at, Handle handle);
    std::uint16_t port() const { return port_; }

private:
    struct Connection;
    runtime::Task<void> listen();
    runtime::Task<void> serve(std::shared_ptr<Connection> connection);
    runtime::Task<void> write_again(std::shared_ptr<Connection> connection, std::string answer,
                                    double after_ms);

    runtime::Scheduler& scheduler_;
    Handle handle_;
    runtime::Waker waker_;
    runtime::Socket listener_;
    std::uint16_t port_ = 0;
};

// One request on a connection of its own, and its answer; status 0: none came in time.
runtime::Task<http::Message> ask_once(runtime::Scheduler& scheduler, runtime::Address to, std::string request,
                                      double patience_ms);

// Ids and payloads of a call to a partner, single or bulk.
std::vector<std::string> ids_of(const http::Message& request);

}  // namespace brasslift::lab
