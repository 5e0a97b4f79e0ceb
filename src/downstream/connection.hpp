// A client's connection, of the server's own.
#pragma once

#include <memory>
#include <string>

#include "downstream/server.hpp"

namespace brasslift::downstream {

// How a connection is closed. Nothing that belongs to another request is read then: what has
// been read is owed an answer, and what has not been read its client may send again.
enum class CloseMode : std::uint8_t {
    immediate,      // it rests or its client is gone: closed at once
    after_answer,   // the client gets time to take the answer; nothing is read
    after_refusal,  // the same, and the rest of the refused request is read, for a reset would take the
                    // answer along
};

class Server::Connection : public dispatch::Client {
public:
    Connection(runtime::Scheduler& scheduler, runtime::Descriptor fd, http::Limits limits)
        : waker(scheduler),
          mailbox(waker),
          socket(scheduler, std::move(fd), waker),
          parser(http::Parser::Side::request, limits) {}
    // Whoever has ended its sending before it was answered may hand the message in elsewhere at once.
    // Bytes that it sent before may still wait to be read.
    bool present() const override { return socket && !socket.news_of_end() && !socket.peer_has_ended(); }
    void answer(const dispatch::Answer& answer) override { mailbox.put(answer); }

    runtime::Waker waker;
    runtime::Mailbox<dispatch::Answer> mailbox;
    runtime::Socket socket;
    http::Parser parser;
    std::string unread;    // bytes behind the present request
    Time since = 0;        // idle, or when its request began
    Time heard = 0;        // the latest bytes
    std::size_t held = 0;  // bytes of its request, as the server counts them
    ClosedBy closed_by = ClosedBy::client;
    CloseMode close_mode = CloseMode::immediate;
    std::uint64_t number = 0, answered = 0;
    std::size_t unanswered_bytes = 0;  // that were read behind its last answer, where nobody was refused
    // leaving: it closes where no request has begun; closing: no request of it will be read any more;
    // lingering: its last answer has been written, and its client has time to take it.
    bool busy = false, served = false, evicted = false, leaving = false, closing = false, lingering = false;
};

}  // namespace brasslift::downstream
