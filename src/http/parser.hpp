// An incremental HTTP/1.1 parser. It is fed bytes and does no reading of its own.
#pragma once

#include <cstdint>

#include "http/message.hpp"

namespace brasslift::http {

// What a message that cannot be taken deserves; `none` while all is well.
enum class Fault { none, malformed, head_too_large, body_too_large, unsupported, version };
int status_of(Fault fault);

class Parser {
public:
    enum class Side { request, response };
    explicit Parser(Side side, Limits limits = {}) : side_(side), limits_(limits) {}

    // Takes what belongs to the present message and returns how much that was.
    std::size_t feed(std::string_view bytes);
    // The peer has ended its sending: completes a body that runs to the end, else cuts the message short.
    void end();

    bool started() const { return phase_ != Phase::start || !line_.empty(); }
    bool head_done() const { return phase_ >= Phase::sized && phase_ != Phase::failed; }
    bool has_status() const { return message_.status != 0; }
    bool complete() const { return phase_ == Phase::complete; }
    Fault fault() const { return fault_; }
    // Bytes of memory that the message takes so far.
    std::size_t memory() const;

    Message& message() { return message_; }
    const Message& message() const { return message_; }
    Message take();  // of a complete message; the parser is ready for the next

    // Where it stands in a message; side and limits are the new owner's.
    template <class Archive>
    void serialize(Archive& archive) {
        archive(phase_, fault_, message_, line_, head_size_, interim_, left_);
    }

private:
    enum class Phase {
        start,
        headers,
        sized,
        chunk_size,
        chunk,
        chunk_end,
        trailers,
        to_end,
        complete,
        failed
    };
    bool take_line(std::string_view& bytes, std::string& line);
    void on_line(const std::string& line);
    void on_start(const std::string& line);
    void on_header(const std::string& line);
    void on_head();
    void on_chunk_size(const std::string& line);
    void add_body(std::string_view part);
    void fail(Fault fault);

    Side side_;
    Limits limits_;
    Phase phase_ = Phase::start;
    Fault fault_ = Fault::none;
    Message message_;
    std::string line_;
    std::size_t head_size_ = 0;
    std::size_t chunk_extra_ = 0;  // bytes of chunks' size lines beyond plain sizes
    int interim_ = 0;
    std::uint64_t left_ = 0;
};

}  // namespace brasslift::http
