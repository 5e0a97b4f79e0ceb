// A client of the soak: a connection that it keeps from request to request for as long as it stays open, and
// what it sees of each request's end. One request at a time. Whether a request that got no answer had been
// read shows from outside: an end over unread bytes is followed by a reset, an end behind all bytes is not.
// Threads: the loop's. Units: milliseconds of the steady clock. Errors: are what it sees.
#pragma once

#include <functional>
#include <string>

#include "runtime/socket.hpp"

namespace brasslift::lab {

// How a request ended, as its client sees it.
enum class HandInEnd : std::uint8_t {
    answered,
    unreached,  // there was no connection, or it ended before the request was written
    unread,     // the connection was reset: the request was not read, and may be sent again
    dropped,    // the connection ended behind it, in order: it was read
    silent      // nothing came for as long as the client waits
};

struct HandInResult {
    HandInEnd end = HandInEnd::unreached;
    int status = 0;  // of the answer
};

// A request as it is written.
struct HandIn {
    std::string request;
    double pause_ms = 0;                    // between its halves; 0: in one write
    std::function<void()> written = [] {};  // told once its last byte is written
};

class SoakClient {
public:
    SoakClient(runtime::Scheduler& scheduler, runtime::Address to)
        : scheduler_(scheduler), to_(to), waker_(scheduler) {}

    bool connected() const { return static_cast<bool>(socket_); }
    // Lets go of a connection that has ended.
    void look();
    void close() { socket_.close(); }
    // Over the kept connection; without one, over a new one.
    runtime::Task<HandInResult> hand_in(HandIn request);
    // Connects where there is no connection, and waits for its end, for so long at most. Whether it ended.
    runtime::Task<bool> rest(double most_ms);

private:
    runtime::Task<bool> connect();
    runtime::Task<bool> write(std::string_view bytes);
    runtime::Task<HandInResult> read_answer();
    runtime::Task<bool> reset_follows();

    runtime::Scheduler& scheduler_;
    runtime::Address to_;
    runtime::Waker waker_;
    runtime::Socket socket_;
};

}  // namespace brasslift::lab
