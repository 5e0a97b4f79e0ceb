// Writes the field reference of docs/config-language.md from the schema's comments and rules.
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "brasslift/config/v1/operator.pb.h"
#include "lang/bind.hpp"

namespace {

namespace pb = google::protobuf;
using brasslift::config::v1::Kind;

std::string one_line(std::string text) {
    std::string out;
    for (const char c : text) {
        if (c == '\n' || c == ' ') {
            if (!out.empty() && out.back() != ' ') out += ' ';
        } else {
            if (c == '|') out += '\\';
            out += c;
        }
    }
    while (!out.empty() && out.back() == ' ') out.pop_back();
    return out;
}

template <class Descriptor>
std::string comment_of(const Descriptor& d) {
    pb::SourceLocation at;
    return d.GetSourceLocation(&at) ? one_line(at.leading_comments) : "";
}

std::string type_of(const pb::FieldDescriptor& f) {
    static const char* const kinds[] = {"text",   "duration",           "size",        "rate",  "share",
                                        "name",   "name or beginning*", "destination", "label", "path",
                                        "address"};
    if (f.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE)
        return "[" + f.message_type()->name() + "](#" + f.message_type()->name() + ")";
    if (f.cpp_type() == pb::FieldDescriptor::CPPTYPE_ENUM) {
        std::string values;
        for (int i = 0; i < f.enum_type()->value_count(); ++i)
            if (f.enum_type()->value(i)->number() != 0)
                values += (values.empty() ? "" : ", ") + f.enum_type()->value(i)->name();
        return values;
    }
    if (f.cpp_type() != pb::FieldDescriptor::CPPTYPE_STRING) return "whole number";
    return kinds[brasslift::lang::rule_of(f).kind()];
}

std::string bounds_of(const pb::FieldDescriptor& f) {
    const auto& rule = brasslift::lang::rule_of(f);
    const bool whole = f.cpp_type() == pb::FieldDescriptor::CPPTYPE_UINT32;
    const auto least = rule.least().empty() && whole ? "0" : rule.least();
    if (least.empty() && rule.most().empty()) return "";
    return least + " .. " + (rule.most().empty() ? std::string() : rule.most());
}

void message(const pb::Descriptor& d) {
    std::printf("### %s\n\n", d.name().c_str());
    if (const auto text = comment_of(d); !text.empty()) std::printf("%s\n\n", text.c_str());
    std::printf("| field | value | bounds | where absent | meaning |\n| --- | --- | --- | --- | --- |\n");
    for (int i = 0; i < d.field_count(); ++i) {
        const auto& f = *d.field(i);
        const auto& rule = brasslift::lang::rule_of(f);
        const auto absent = rule.required() ? std::string("must be given") : rule.standard();
        std::printf("| `%s`%s | %s | %s | %s | %s |\n", f.name().c_str(), f.is_repeated() ? " (several)" : "",
                    type_of(f).c_str(), bounds_of(f).c_str(), absent.c_str(), comment_of(f).c_str());
    }
    std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return std::fprintf(stderr, "usage: schema_doc SCHEMA.desc\n"), 2;
    std::ifstream in(argv[1], std::ios::binary);
    pb::FileDescriptorSet set;
    if (!set.ParseFromIstream(&in))
        return std::fprintf(stderr, "schema_doc: %s cannot be read\n", argv[1]), 1;
    pb::DescriptorPool own;
    const pb::FileDescriptor* schema = nullptr;
    for (const auto& file : set.file()) schema = own.BuildFile(file);
    if (schema == nullptr) return std::fprintf(stderr, "schema_doc: the schema cannot be built\n"), 1;
    for (int i = 0; i < schema->message_type_count(); ++i) message(*schema->message_type(i));
    return 0;
}
