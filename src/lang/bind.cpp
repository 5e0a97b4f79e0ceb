#include "lang/bind.hpp"

#include <arpa/inet.h>

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

#include "lang/units.hpp"

namespace brasslift::lang {

namespace pb = google::protobuf;
using config::v1::Rule;

void Places::put(const pb::Message& message, int line, int column) {
    known_[&message].at = {static_cast<std::uint32_t>(files_.size() - 1), line, column};
}

void Places::put(const pb::Message& message, const pb::FieldDescriptor& field, int line, int column) {
    known_[&message].fields.push_back(
        {field.number(), {static_cast<std::uint32_t>(files_.size() - 1), line, column}});
}

void Places::put_meant(const pb::Message& message, const pb::FieldDescriptor& field) {
    known_[&message].meant.push_back(field.number());
}

Place Places::place(const Spot& spot) const {
    return spot.line == 0 ? Place{} : Place{files_[spot.file], spot.line, spot.column};
}

Place Places::of(const pb::Message& message) const {
    const auto found = known_.find(&message);
    return found == known_.end() ? Place{} : place(found->second.at);
}

Place Places::of(const pb::Message& message, const std::string& name, int index) const {
    const auto& field = *message.GetDescriptor()->FindFieldByName(name);
    const auto found = known_.find(&message);
    if (found == known_.end()) return {};
    if (field.is_repeated() && field.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
        const auto* const reflection = message.GetReflection();
        if (index < reflection->FieldSize(message, &field))
            return of(reflection->GetRepeatedMessage(message, &field, index));
        return place(found->second.at);
    }
    for (const auto& [number, spot] : found->second.fields)
        if (number == field.number() && index-- == 0) return place(spot);
    return place(found->second.at);
}

bool Places::written(const pb::Message& message, const pb::FieldDescriptor& field) const {
    const auto found = known_.find(&message);
    if (found == known_.end()) return false;
    const auto& fields = found->second.fields;
    return std::any_of(fields.begin(), fields.end(),
                       [&](const auto& f) { return f.first == field.number(); });
}

bool Places::tried(const pb::Message& message, const std::string& name) const {
    const auto& field = *message.GetDescriptor()->FindFieldByName(name);
    if (written(message, field)) return true;
    const auto found = known_.find(&message);
    if (found == known_.end()) return false;
    const auto& meant = found->second.meant;
    return std::find(meant.begin(), meant.end(), field.number()) != meant.end();
}

const Rule& rule_of(const pb::FieldDescriptor& field) {
    return field.options().GetExtension(config::v1::rule);
}

namespace {

std::optional<Unit> unit_of(config::v1::Kind kind) {
    switch (kind) {
        case config::v1::DURATION: return Unit::duration;
        case config::v1::SIZE: return Unit::size;
        case config::v1::RATE: return Unit::rate;
        case config::v1::SHARE: return Unit::share;
        default: return std::nullopt;
    }
}

Misread misread_name(std::string_view text) {
    return {shown(text, 80) + " is no name",
            "use letters, digits, '-', '_' and '.', a letter or digit first, at most 64"};
}

// What is wrong with a text by its rule.
std::optional<Misread> judge_text(const Rule& rule, const std::string& text) {
    if (const auto unit = unit_of(rule.kind())) {
        const auto read = read_quantity(*unit, text);
        if (const auto* const misread = std::get_if<Misread>(&read)) return *misread;
        const auto value = std::get<Quantity>(read).value;
        const auto bound = [&](const std::string& written) {
            return std::get<Quantity>(read_quantity(*unit, written)).value;
        };
        if (!rule.least().empty() && value < bound(rule.least()))
            return Misread{'"' + text + "\" is less than \"" + rule.least() + '"',
                           "write \"" + rule.least() + "\" or more"};
        if (!rule.most().empty() && value > bound(rule.most()))
            return Misread{'"' + text + "\" is more than \"" + rule.most() + '"',
                           "write \"" + rule.most() + "\" or less"};
        return std::nullopt;
    }
    switch (rule.kind()) {
        case config::v1::NAME: return is_name(text) ? std::nullopt : std::optional(misread_name(text));
        case config::v1::PATTERN: {
            const auto stem = text.ends_with('*') ? text.substr(0, text.size() - 1) : text;
            if (is_name(stem)) return std::nullopt;
            return Misread{shown(text, 80) + " is no name and no beginning of one",
                           text == "*" ? "leave the field out: then everything matches"
                                       : "write a name, with '*' only at its end"};
        }
        case config::v1::DESTINATION: {
            const auto read = read_destination(text);
            const auto* const misread = std::get_if<Misread>(&read);
            return misread == nullptr ? std::nullopt : std::optional(*misread);
        }
        case config::v1::LABEL: {
            const auto equals = text.find('=');
            if (equals != std::string::npos && is_name(text.substr(0, equals)) &&
                is_name(text.substr(equals + 1)))
                return std::nullopt;
            return Misread{shown(text, 80) + " is no label", "write it as \"key=value\""};
        }
        case config::v1::ADDRESS: {
            const auto colon = text.rfind(':');
            in_addr host{};
            unsigned port = 0;
            const auto* const end = text.data() + text.size();
            if (colon != std::string::npos &&
                ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) == 1) {
                const auto [at, fault] = std::from_chars(text.data() + colon + 1, end, port);
                if (fault == std::errc{} && at == end && port > 0 && port < 65536) return std::nullopt;
            }
            return Misread{shown(text, 80) + " is no address", "write it as \"127.0.0.1:4318\""};
        }
        case config::v1::PATH:
            if (!text.empty()) return std::nullopt;
            return Misread{"an empty path", "write the file's path, relative to this file"};
        default: return std::nullopt;
    }
}

std::string list_of(const std::vector<std::string>& names) {
    std::string all;
    for (const auto& name : names) all += (all.empty() ? "" : ", ") + name;
    return all;
}

}  // namespace

std::string canonical(const pb::FieldDescriptor& field, const std::string& text) {
    const auto unit = unit_of(rule_of(field).kind());
    if (!unit) return text;
    const auto read = read_quantity(*unit, text);
    return std::holds_alternative<Quantity>(read) ? write_quantity(*unit, std::get<Quantity>(read)) : text;
}

class Binder {
public:
    Binder(const std::string& file, Places& places, Findings& findings)
        : file_(file), places_(places), findings_(findings) {}

    void field(const Field& field, pb::Message& into) {
        const std::string name(field.name);
        const auto* const known = into.GetDescriptor()->FindFieldByName(name);
        if (known == nullptr) return unknown(field, into);
        if (!known->is_repeated() && places_.written(into, *known))
            return error(field.line, field.column,
                         '\'' + name + "' is given twice; the first is at " + to_text(places_.of(into, name)),
                         "keep one of them");
        if (field.kind != Field::Kind::list) return value(field, *known, into);
        if (!known->is_repeated())
            return error(field.value_line, field.value_column, '\'' + name + "' takes one value, not a list",
                         "write the value without brackets");
        for (const auto& item : field.children) value(item, *known, into);
    }

private:
    void error(int line, int column, std::string what, std::string fix) {
        findings_.error({file_, line, column}, std::move(what), std::move(fix));
    }

    void unknown(const Field& field, const pb::Message& into) {
        const auto& type = *into.GetDescriptor();
        std::vector<std::string> names;
        for (int i = 0; i < type.field_count(); ++i) names.push_back(type.field(i)->name());
        const auto near = nearest(field.name, names);
        if (!near.empty()) places_.put_meant(into, *type.FindFieldByName(near));
        error(field.line, field.column,
              type.name() + " has no field '" + std::string(field.name.substr(0, 80)) + '\'',
              near.empty() ? "use one of " + list_of(names) : "write '" + near + '\'');
    }

    void value(const Field& field, const pb::FieldDescriptor& known, pb::Message& into) {
        const int line = field.value_line, column = field.value_column;
        const bool message = known.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE;
        if (message != (field.kind == Field::Kind::block)) {
            places_.put_meant(into, known);
            error(
                line, column,
                message ? '\'' + known.name() + "' is a block" : '\'' + known.name() + "' is a single value",
                message ? "write " + known.name() + " { ... }" : "write " + known.name() + ": VALUE");
            return;
        }
        const auto* const reflection = into.GetReflection();
        if (message) {
            auto* const sub = known.is_repeated() ? reflection->AddMessage(&into, &known)
                                                  : reflection->MutableMessage(&into, &known);
            // The place of an entry of a list is its own, that of a named block is its name's.
            places_.put(*sub, field.line, field.column);
            if (!known.is_repeated()) places_.put(into, known, field.line, field.column);
            for (const auto& child : field.children) this->field(child, *sub);
            return;
        }
        places_.put(into, known, line, column);
        const auto& first = field.value.front();
        const auto say = [&](const std::string& what, const std::string& fix) {
            error(line, column, what, fix);
        };
        const auto shown = '\'' + std::string(first.text.substr(0, 40)) + '\'';
        switch (known.cpp_type()) {
            case pb::FieldDescriptor::CPPTYPE_STRING: return text(field, known, into);
            case pb::FieldDescriptor::CPPTYPE_ENUM: {
                std::vector<std::string> names;
                for (int i = 0; i < known.enum_type()->value_count(); ++i)
                    if (known.enum_type()->value(i)->number() != 0)
                        names.push_back(known.enum_type()->value(i)->name());
                const auto* const chosen = first.kind == Token::Kind::name && field.value.size() == 1
                                               ? known.enum_type()->FindValueByName(std::string(first.text))
                                               : nullptr;
                if (chosen == nullptr || chosen->number() == 0) {
                    const auto near = nearest(first.text, names);
                    return say(shown + " is no value of '" + known.name() + '\'',
                               near.empty() ? "use one of " + list_of(names) : "write " + near);
                }
                if (known.is_repeated())
                    reflection->AddEnum(&into, &known, chosen);
                else
                    reflection->SetEnum(&into, &known, chosen);
                return;
            }
            case pb::FieldDescriptor::CPPTYPE_INT32:
            case pb::FieldDescriptor::CPPTYPE_UINT32: return whole(field, known, into);
            default: return say("fields of this type are not supported", "");
        }
    }

    void whole(const Field& field, const pb::FieldDescriptor& known, pb::Message& into) {
        const auto say = [&](const std::string& what, const std::string& fix) {
            error(field.value_line, field.value_column, what, fix);
        };
        const auto& last = field.value.back();
        const bool negative = field.value.size() > 1;
        const auto shown = std::string(negative ? "-" : "") + std::string(last.text.substr(0, 40));
        const auto& rule = rule_of(known);
        const bool is_signed = known.cpp_type() == pb::FieldDescriptor::CPPTYPE_INT32;
        std::int64_t value = 0;
        const auto [end, fault] =
            std::from_chars(last.text.data(), last.text.data() + last.text.size(), value);
        if (last.kind != Token::Kind::number ||
            (fault == std::errc{} && end != last.text.data() + last.text.size()) ||
            fault == std::errc::invalid_argument)
            return say((last.kind == Token::Kind::text ? std::string("a text") : '\'' + shown + '\'') +
                           " is no whole number",
                       "write digits alone, without quotes");
        const auto bound = [](const std::string& written, std::int64_t standard) {
            return written.empty() ? standard : std::stoll(written);
        };
        const auto least = bound(rule.least(), is_signed ? std::numeric_limits<std::int32_t>::min() : 0);
        const auto most = bound(rule.most(), is_signed ? std::numeric_limits<std::int32_t>::max()
                                                       : std::numeric_limits<std::uint32_t>::max());
        if (negative) value = -value;
        if (fault == std::errc::result_out_of_range || value > most)
            return say(shown + " is more than " + std::to_string(most),
                       "write " + std::to_string(most) + " or less");
        if (value < least)
            return say(shown + " is less than " + std::to_string(least),
                       "write " + std::to_string(least) + " or more");
        const auto* const reflection = into.GetReflection();
        if (is_signed)
            reflection->SetInt32(&into, &known, static_cast<std::int32_t>(value));
        else
            reflection->SetUInt32(&into, &known, static_cast<std::uint32_t>(value));
    }

    void text(const Field& field, const pb::FieldDescriptor& known, pb::Message& into) {
        std::string all;
        for (const auto& part : field.value) {
            if (part.kind != Token::Kind::text) {
                const auto written =
                    (field.value.size() > 1 ? "-" : "") + std::string(field.value.back().text.substr(0, 40));
                return error(field.value_line, field.value_column, '\'' + known.name() + "' is a text",
                             "write it in quotes: \"" + written + '"');
            }
            const auto read = unquote(part.text);
            if (!read.fault.empty())
                return error(part.line, part.column + static_cast<int>(read.fault_at), read.fault,
                             "write '\\\\' for a backslash");
            all += read.text;
        }
        if (first_bad_utf8(all) != std::string_view::npos || all.find('\0') != std::string::npos)
            return error(field.value_line, field.value_column, "the text's escapes make no UTF-8 text",
                         "write the characters themselves");
        if (const auto wrong = judge_text(rule_of(known), all))
            return error(field.value_line, field.value_column, wrong->what, wrong->fix);
        const auto* const reflection = into.GetReflection();
        if (known.is_repeated())
            reflection->AddString(&into, &known, std::move(all));
        else
            reflection->SetString(&into, &known, std::move(all));
    }

    const std::string& file_;
    Places& places_;
    Findings& findings_;
};

void bind_field(const std::string& file, const Field& field, pb::Message& into, Places& places,
                Findings& findings) {
    Binder(file, places, findings).field(field, into);
}

void check_required(const pb::Message& message, const Places& places, Findings& findings) {
    const auto& type = *message.GetDescriptor();
    const auto* const reflection = message.GetReflection();
    for (int i = 0; i < type.field_count(); ++i) {
        const auto& field = *type.field(i);
        const bool message_type = field.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE;
        if (field.is_repeated()) {
            for (int n = 0; message_type && n < reflection->FieldSize(message, &field); ++n)
                check_required(reflection->GetRepeatedMessage(message, &field, n), places, findings);
            continue;
        }
        // A field that was there and could not be read has had its finding.
        const auto at = places.of(message);
        const bool written = places.tried(message, field.name());
        if (reflection->HasField(message, &field)) {
            if (message_type) check_required(reflection->GetMessage(message, &field), places, findings);
        } else if (rule_of(field).required() && !written) {
            std::string entry;  // as the schema's field is written: RetryBudget as retry_budget
            for (const char c : type.name()) {
                const bool upper = c >= 'A' && c <= 'Z';
                if (upper && !entry.empty()) entry += '_';
                entry += upper ? static_cast<char>(c | 0x20) : c;
            }
            findings.error(at, "this " + entry + " has no '" + field.name() + '\'',
                           "add " + field.name() + ": ...");
        }
    }
}

}  // namespace brasslift::lang
