// The wire's frames: bytes to events of the library and its actions to bytes. Decides nothing.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::wire {

constexpr std::size_t batch_header_size = 20;
constexpr std::size_t reply_header_size = 12;
constexpr std::size_t event_size = 56;
constexpr std::size_t action_size = 32;
constexpr std::size_t entry_size = 24;
constexpr std::size_t list_count = 16;

// A frame that cannot be read; the text names batch, record and field in one line.
class Malformed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct BatchHeader {
    std::uint32_t number = 0;
    double now = 0;
    std::uint32_t length = 0;
    std::uint32_t records = 0;
};

struct Spawn {
    std::uint64_t seed = 0;
    std::string settings;
};
struct Halt {};
using Lists = std::array<std::vector<Listing>, list_count>;
struct Record {
    std::uint16_t instance = 0;
    std::variant<std::monostate, Spawn, Halt, Event> what;  // monostate: nothing for an instance
};

BatchHeader read_header(std::string_view bytes);

// Reads record number `index` of a body; lists are replaced as the records name them.
Record read_record(const BatchHeader& header, std::string_view body, std::size_t index, Lists& lists);

// Throws Malformed where the body is too short for its records.
void check_body(const BatchHeader& header, std::string_view body);

class Reply {
public:
    void add(std::uint16_t instance, const Action& action);
    void add_fault(std::uint16_t instance, std::string_view text);
    std::string frame(std::uint32_t batch) const;

private:
    char* record(std::uint16_t code, std::uint16_t instance);
    void add_text(std::uint16_t code, std::uint16_t instance, std::string_view text);
    std::string records_;
    std::string tail_;
    std::uint32_t count_ = 0;
};

}  // namespace brasslift::wire
