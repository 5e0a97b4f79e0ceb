// A configuration from its files: read, joined by includes, bound to the schema, checked, compiled to rules.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "brasslift/config/v1/operator.pb.h"
#include "lang/bind.hpp"
#include "lang/source.hpp"
#include "plan/rules.hpp"

namespace brasslift::lang {

// What the platform's own config says, where it is at hand: the bounds that a policy may not widen, and the
// names that there are.
struct Platform {
    struct Class {
        std::string name;
        double deadline_ms = 0;
    };
    std::vector<Class> classes;
    std::vector<std::string> tenants;  // none: any
    int attempts = 0;
    double dial_timeout_ms = 0, idle_ms = 0;
    double most_pause_ms = 0;  // that its clients are told; 0: no such limit
};

struct Document {
    config::v1::Operator config;
    Places places;
    bool whole = true;  // every file could be read
};

constexpr std::size_t most_files = 1000, most_bytes = 16 << 20;

// Reads a file and what it includes. Faults are told; what could be read is in the document.
void read(const std::string& path, const Files& files, Document& document, Findings& findings);
// Judges a document as a whole and compiles it. Rules that are returned beside errors must not be used.
plan::Rules compile(const Document& document, const Platform* platform, Findings& findings);
// The names that rules speak of, and for each beginning of a name one that stands for all others with it:
// what a configuration is judged by where the platform's names are not at hand.
plan::Names names_in(const plan::Rules& rules);

}  // namespace brasslift::lang
