// A connection that a party of the rig has accepted, with what has come of a request on it.
#pragma once

#include "http/parser.hpp"
#include "runtime/socket.hpp"

namespace brasslift::lab {

struct PeerConnection {
    PeerConnection(runtime::Scheduler& scheduler, runtime::Descriptor fd)
        : waker(scheduler),
          socket(scheduler, std::move(fd), waker),
          parser(http::Parser::Side::request, {16 << 10, 1 << 20}) {}
    runtime::Waker waker;
    runtime::Socket socket;
    http::Parser parser;
};

}  // namespace brasslift::lab
