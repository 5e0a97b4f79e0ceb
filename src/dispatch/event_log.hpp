// The history of messages: each step of each message, with its ids and the reason, in a bounded ring. Whoever
// looks into a broken rule gets the steps that led to it; a process that is told a file (PROXY_EVENTS) also
// appends every step to it as a line.
// Threads: the loop's alone. Units: milliseconds of the steady clock. Errors: a file that cannot be written
// is given up, which is logged once; the ring goes on.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/types.hpp"

namespace brasslift::dispatch {

enum class Step : std::uint8_t {
    refused,          // answered without being taken on
    taken,            // has its record
    restored,         // of an earlier process
    withdrawn,        // not taken on after all, or its client could not be told
    sent,             // an attempt has its record and goes to its host
    unsent,           // an attempt that did not leave this process
    landed,           // an attempt has its outcome
    sleeps,           // the module leaves it alone for a while
    ended,            // delivered, or its client is to be told otherwise
    notice_answered,  // its client was told
};
std::string_view name_of(Step step);

struct MessageEvent {
    Time at = 0;
    Step step = Step::taken;
    MessageId id = 0;
    std::string_view name = {};    // the client's id
    std::string_view reason = {};  // why, by the names of dispatch/names.hpp; outlasts the program
    EndpointId host = {};          // of an attempt
    int attempt = -1;              // its number, from 0; -1: none
    double wait_ms = 0;            // that was told or is slept
    std::size_t together = 1;      // messages that shared the attempt's call
    int status = 0;                // of the attempt's answer; 0: none
    ConnectionUse connection = {};
};

// The end of a client's connection; only the file has it.
struct ConnectionEvent {
    Time at = 0;
    std::uint64_t connection = 0;
    std::string_view reason = {};
    std::uint64_t answered = 0;        // requests
    std::size_t unanswered_bytes = 0;  // that were read
};

// The end of a connection to an endpoint; only the file has it.
struct EndpointConnectionEvent {
    Time at = 0;
    std::uint64_t connection = 0;
    EndpointId host;
    std::string_view reason = {};
    std::uint32_t calls = 0;  // that it carried
    double idle_ms = 0;       // since its latest answer
};

class EventLog {
public:
    explicit EventLog(std::size_t most = 1024) : ring_(most) {}
    // Appends to that file from now on; empty: to none.
    void append_to(const std::string& path);
    void note(const MessageEvent& event);
    void note(const ConnectionEvent& event);
    void note(const EndpointConnectionEvent& event);
    // What the ring still has of a message, oldest first, a line each.
    std::vector<std::string> about(MessageId id) const;
    std::uint64_t noted() const { return noted_; }

private:
    struct Kept {
        MessageEvent event;
        std::string name;
    };
    struct CloseFile {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    static std::string line_of(const MessageEvent& event);
    void append(const std::string& line);

    std::vector<Kept> ring_;
    std::uint64_t noted_ = 0;
    std::unique_ptr<std::FILE, CloseFile> file_;
};

}  // namespace brasslift::dispatch
