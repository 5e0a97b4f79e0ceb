// A file as a tree of fields, with the place and the comments of each: what the checker binds to the schema
// and what the formatter prints.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lang/tokens.hpp"

namespace brasslift::lang {

struct Field {
    enum class Kind { scalar, block, list };
    Kind kind = Kind::scalar;
    std::string_view name;  // empty within a list
    int line = 0, column = 0;
    int value_line = 0, value_column = 0;
    bool blank_before = false;             // a blank line stands before it or its comments
    std::vector<std::string_view> before;  // comments on lines of their own; an empty one is a blank line
    std::vector<std::string_view> behind;  // comments on its last line
    std::vector<Token> value;              // of a scalar: texts that belong together, or a sign and a word
    std::vector<Field> children;           // of a block; the entries of a list
    std::vector<std::string_view> inner;   // comments behind the last child
    bool inner_blank = false;              // a blank line stands before those
};

struct Tree {
    std::string file;
    std::vector<Field> fields;
    std::vector<std::string_view> inner;  // comments at the end of the file
    bool inner_blank = false;
    bool sound = true;  // a tree with a fault holds what could be read, and is neither bound nor printed
};

constexpr int most_depth = 32;

// Reads a file field by field, so that none stays longer than it is needed; the file's own comments go into
// the tree. False: the file has a fault.
using Sink = std::function<void(Field)>;
bool read_fields(const std::string& file, std::string_view source, Findings& findings, Tree& tree,
                 const Sink& sink);

// The source must outlive the tree. After a fault the reading goes on where a line begins with a field's
// name.
Tree read_tree(const std::string& file, std::string_view source, Findings& findings);

// The one layout that a tree has.
std::string format(const Tree& tree);

}  // namespace brasslift::lang
