// The operators' front: an address of its own, an actor for each caller, one call a connection.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "http/parser.hpp"
#include "runtime/socket.hpp"

namespace brasslift::admin {

// A call's answer.
struct Reply {
    int status = 200;
    std::string body, allow;  // allow: the method that the path has
    std::string type = "text/plain";
};

// What the process does when it is asked.
struct Calls {
    std::function<bool()> ready, drain, undrain;
    std::function<std::string()> figures;
    std::function<std::string()> note = {};  // what /ready says beside yes or no
    // Calls below /members and /rules, which may take their time; none: there are no such paths.
    std::function<runtime::Task<Reply>(const http::Message&)> more = {};
};
bool is_more(const http::Message& request);

// Which call a request is, and what it comes to. 503: the process cannot do that at the moment.
Reply answer(const http::Message& request, const Calls& calls);

class Server {
public:
    Server(runtime::Scheduler& scheduler, Calls calls);
    bool listen(runtime::Address address);
    // A listener that another server had, and to give it up.
    bool adopt(runtime::Descriptor listener);
    runtime::Descriptor release();
    runtime::Task<void> run();
    std::size_t open() const { return callers_.size(); }

private:
    struct Caller;
    runtime::Task<void> serve(std::shared_ptr<Caller> caller);
    runtime::Task<bool> read_call(Caller& caller);
    runtime::Task<void> write(Caller& caller, const Reply& reply);
    void take(runtime::Descriptor fd);
    void evict_oldest();
    void keep_aside();

    runtime::Scheduler& scheduler_;
    Calls calls_;
    runtime::Waker waker_;
    runtime::Socket listener_;
    std::list<std::shared_ptr<Caller>> callers_;  // in the order in which they came
    std::vector<runtime::Descriptor> aside_;      // given up where none is left for a caller
};

}  // namespace brasslift::admin
