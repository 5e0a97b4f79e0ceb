#include "lab/size.hpp"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace brasslift::lab {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// The first fault; later ones follow from it.
class FirstFault : public google::protobuf::io::ErrorCollector {
public:
    explicit FirstFault(std::string file) : file_(std::move(file)) {}
    void AddError(int line, int column, const std::string& message) override {
        if (!said_.empty()) return;
        said_ = file_ + ':';
        // Lines and columns are counted from 0; -1: of the whole.
        if (line >= 0) said_ += std::to_string(line + 1) + ':' + std::to_string(column + 1) + ':';
        said_ += ' ' + message;
    }
    const std::string& said() const { return said_; }

private:
    std::string file_, said_;
};

double number_in(const Message& message, const FieldDescriptor& field) {
    const auto& values = *message.GetReflection();
    switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_INT64: return static_cast<double>(values.GetInt64(message, &field));
        case FieldDescriptor::CPPTYPE_DOUBLE: return values.GetDouble(message, &field);
        case FieldDescriptor::CPPTYPE_ENUM: return values.GetEnumValue(message, &field);
        default: return 1;
    }
}

// The path of a figure that is not there, or not above 0; empty: all are.
std::string missing_in(const Message& message) {
    const auto& type = *message.GetDescriptor();
    for (int i = 0; i < type.field_count(); ++i) {
        const auto& field = *type.field(i);
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            if (const auto path = missing_in(message.GetReflection()->GetMessage(message, &field));
                !path.empty())
                return field.name() + '.' + path;
        } else if (const double value = number_in(message, field); !(value > 0) || !std::isfinite(value)) {
            return field.name();
        }
    }
    return "";
}

}  // namespace

v1::Size size_of(const std::string& text, const std::string& file) {
    v1::Size size;
    FirstFault fault(file);
    google::protobuf::TextFormat::Parser parser;
    parser.RecordErrorsTo(&fault);
    if (!parser.ParseFromString(text, &size))
        throw std::runtime_error(fault.said().empty() ? file + ": cannot be read" : fault.said());
    if (const auto path = missing_in(size); !path.empty())
        throw std::runtime_error(file + ": " + path + " has to be given, above 0");
    return size;
}

v1::Size read_size(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw std::runtime_error(path + ": cannot be read");
    return size_of(text.str(), path);
}

}  // namespace brasslift::lab
