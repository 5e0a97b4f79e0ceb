// What a configuration means, apart from how it is written: for comparing two and for showing one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lang/load.hpp"

namespace brasslift::lang {

struct Value {
    std::string text;  // in one way of writing only
    Place at;          // no line: it holds by itself
};

// An entry of a configuration, such as pool "a", with its fields by their paths.
struct Entry {
    std::string kind, name;
    Place at;
    std::map<std::string, Value> fields;
};

// `with_standards`: also what holds where a file says nothing.
std::vector<Entry> meaning_of(const Document& document, bool with_standards);

struct Change {
    enum class Kind { added, removed, changed } kind = Kind::changed;
    std::string entry, name, field;  // the field is empty where the entry as a whole came or went
    std::string before, after;
};
// Sorted. Empty where both mean the same, however they are written and in which files.
std::vector<Change> differences(const Document& before, const Document& after);
std::string to_text(const std::vector<Change>& changes);

// The whole configuration in one file that means the same, each value with the place it came from.
std::string show(const Document& document);

// Which rules hold for a message and why not the others.
struct Question {
    std::string tenant, message_class;
    DestinationId destination = 0;
};
std::string explain(const Document& document, const plan::Rules& rules, const plan::Names& names,
                    const Question& question, bool all);

}  // namespace brasslift::lang
