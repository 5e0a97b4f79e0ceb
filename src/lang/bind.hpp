// From trees to the schema's messages: every field checked by its type and its rule, every message with its
// place.
#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "brasslift/config/v1/rule.pb.h"
#include "lang/tree.hpp"

namespace brasslift::lang {

// Where each message of a configuration and its fields were written.
class Places {
public:
    // Of a message, in the file that is `begin`'s latest.
    void begin(const std::string& file) { files_.push_back(file); }
    void put(const google::protobuf::Message& message, int line, int column);
    void put(const google::protobuf::Message& message, const google::protobuf::FieldDescriptor& field,
             int line, int column);
    // A misspelt name is nearest to this field's.
    void put_meant(const google::protobuf::Message& message, const google::protobuf::FieldDescriptor& field);

    Place of(const google::protobuf::Message& message) const;
    // Of a field's value, the `index`-th of a repeated one; the message's own where it has none.
    Place of(const google::protobuf::Message& message, const std::string& field, int index = 0) const;
    // Whether a field was written, if only by a name that is nearly its own or with a value that is none.
    bool tried(const google::protobuf::Message& message, const std::string& field) const;
    bool written(const google::protobuf::Message& message,
                 const google::protobuf::FieldDescriptor& field) const;

private:
    struct Spot {
        std::uint32_t file = 0;
        int line = 0, column = 0;
    };
    struct Known {
        Spot at;
        std::vector<std::pair<int, Spot>>
            fields;  // by number; those of entries with places of their own are left out
        std::vector<int> meant;
    };
    Place place(const Spot& spot) const;

    std::vector<std::string> files_;
    std::unordered_map<const google::protobuf::Message*, Known> known_;
};

// The rule of a field, the empty one where it has none.
const config::v1::Rule& rule_of(const google::protobuf::FieldDescriptor& field);
// A text as its rule means it, written in one way only: "2000ms" as "2s". Unchanged where it cannot be read.
std::string canonical(const google::protobuf::FieldDescriptor& field, const std::string& text);

// Adds what a file's field says to a message. Whatever cannot be is told and left out. The places' file is
// the one that `Places::begin` named last.
void bind_field(const std::string& file, const Field& field, google::protobuf::Message& into, Places& places,
                Findings& findings);
// What a whole configuration lacks: fields that must be there.
void check_required(const google::protobuf::Message& message, const Places& places, Findings& findings);

}  // namespace brasslift::lang
