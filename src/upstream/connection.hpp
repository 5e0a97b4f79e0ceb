// A connection to an endpoint, what it has carried, and how connections end.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "brasslift/sender.hpp"
#include "runtime/socket.hpp"

namespace brasslift::upstream {

using runtime::Time;

// What ended a connection to an endpoint.
enum class ClosedBy : std::uint8_t {
    call_failed,    // its call broke, timed out, was withheld or got an answer that cannot be read
    answer,         // the answer says that it ends, or was not read whole
    surplus,        // more came than belongs to the answer
    unsolicited,    // bytes came while no call was out
    peer,           // the endpoint ended it while no call was out
    expired,        // idle for too long
    not_kept,       // there was no room for another idle connection
    shed,           // its descriptor was needed
    capped,         // it rested, and its place under a cap on connections was needed
    endpoint_left,  // the endpoint drains, moved or is gone, or the module gave its connections back
};
constexpr std::size_t closed_by_count = 10;
std::string_view name_of(ClosedBy by);

// A connection that may carry another call. Times: milliseconds of the steady clock.
struct Connection {
    runtime::Socket socket;
    std::uint64_t number = 0;  // of this process's connections to endpoints, from 1
    std::uint32_t calls = 0;   // that it has carried
    Time answered_at = 0;      // when the latest answer had been read
    Time expires_at = 0;
    std::string pool;  // of the operators; empty: none
};

// The end of a connection to an endpoint, for the history of events.
struct ConnectionEnd {
    std::uint64_t number = 0;
    EndpointId host;
    ClosedBy by = ClosedBy::peer;
    std::uint32_t calls = 0;
    double idle_ms = 0;  // since its latest answer
};

// Since the start of the process.
struct ConnectionFigures {
    std::uint64_t opened = 0;  // begun, whether or not they came up
    std::uint64_t reused = 0;  // calls over a connection that had carried another one
    std::array<std::uint64_t, closed_by_count> closed{};
};

}  // namespace brasslift::upstream
