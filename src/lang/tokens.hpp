// The tokens of protobuf's text format, comments among them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lang/source.hpp"

namespace brasslift::lang {

struct Token {
    enum class Kind : unsigned char { name, number, text, mark, comment, end };
    std::string_view text;  // as it stands in the source, which outlives it
    int line = 1, column = 1;
    Kind kind = Kind::end;
    bool blank_before = false;   // a blank line stands before it
    bool first_of_line = false;  // nothing but space stands before it
};

// Bounds that hold whatever a file says.
constexpr std::size_t most_file_bytes = 4 << 20, most_tokens = 1 << 20;

// All tokens of a file, `end` last. A fault ends the reading: it is told, and what came before is returned.
std::vector<Token> read_tokens(const std::string& file, std::string_view source, Findings& findings);

// What a text token means, escapes resolved; nothing and a reason where an escape cannot be read.
struct Unquoted {
    std::string text;
    std::string fault;
    std::size_t fault_at = 0;  // in the token
};
Unquoted unquote(std::string_view token);
std::string quote(std::string_view text);

}  // namespace brasslift::lang
