// From trees to the schema's messages: every field checked by its type and its rule, every message with its
// place.
#pragma once

#include <google/protobuf/message.h>

#include <unordered_map>

#include "brasslift/config/v1/rule.pb.h"
#include "lang/tree.hpp"

namespace brasslift::lang {

// Where each message of a configuration and its fields were written.
class Places {
public:
    void put(const google::protobuf::Message& message, const std::string& file, const Field& field);
    Place of(const google::protobuf::Message& message) const;
    // Of a field's value, the `index`-th of a repeated one; the message's own where it has none.
    Place of(const google::protobuf::Message& message, std::string_view field, int index = 0) const;
    // Whether a field was written, if only by a name that is nearly its own or with a value that is none.
    bool tried(const google::protobuf::Message& message, const std::string& field) const;

private:
    struct Known {
        Place at;
        std::vector<std::string> meant;  // fields that a misspelt name is nearest to
        std::unordered_map<std::string, std::vector<Place>> fields;
    };
    std::unordered_map<const google::protobuf::Message*, Known> known_;
    friend class Binder;
};

// The rule of a field, the empty one where it has none.
const config::v1::Rule& rule_of(const google::protobuf::FieldDescriptor& field);
// A text as its rule means it, written in one way only: "2000ms" as "2s". Unchanged where it cannot be read.
std::string canonical(const google::protobuf::FieldDescriptor& field, const std::string& text);

// Adds what a tree says to a message. Whatever cannot be is told and left out.
void bind(const Tree& tree, google::protobuf::Message& into, Places& places, Findings& findings);
// What a whole configuration lacks: fields that must be there.
void check_required(const google::protobuf::Message& message, const Places& places, Findings& findings);

}  // namespace brasslift::lang
