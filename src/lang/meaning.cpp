#include "lang/meaning.hpp"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <set>

namespace brasslift::lang {
namespace {

namespace pb = google::protobuf;

// By what entries of a repeated message are told apart.
std::string key_of(const pb::Message& message) {
    const auto& type = *message.GetDescriptor();
    const auto* const reflection = message.GetReflection();
    if (const auto* const name = type.FindFieldByName("name"); name != nullptr)
        return reflection->GetString(message, name);
    for (const char* const owner : {"tenant", "class", "route"})
        if (const auto* const field = type.FindFieldByName(owner);
            field != nullptr && !field->is_repeated() && reflection->HasField(message, field))
            return std::string(owner) + ' ' + quote(reflection->GetString(message, field));
    return {};
}

// Tells one secret from another without saying either.
std::string secret(const std::string& text) {
    const auto print = std::hash<std::string>()("brasslift secret\n" + text) & 0xffff;
    return quote("(secret " + std::to_string(print) + ")");
}

std::string single(const pb::Message& m, const pb::FieldDescriptor& field, int index) {
    const auto* const r = m.GetReflection();
    const bool many = field.is_repeated();
    switch (field.cpp_type()) {
        case pb::FieldDescriptor::CPPTYPE_STRING:
            if (rule_of(field).secret()) return secret(r->GetString(m, &field));
            return quote(
                canonical(field, many ? r->GetRepeatedString(m, &field, index) : r->GetString(m, &field)));
        case pb::FieldDescriptor::CPPTYPE_ENUM:
            return (many ? r->GetRepeatedEnum(m, &field, index) : r->GetEnum(m, &field))->name();
        case pb::FieldDescriptor::CPPTYPE_INT32: return std::to_string(r->GetInt32(m, &field));
        case pb::FieldDescriptor::CPPTYPE_UINT32: return std::to_string(r->GetUInt32(m, &field));
        default: return {};
    }
}

// What holds where the field is absent, written as its values are; empty where that is said in words only.
std::string standard_of(const pb::FieldDescriptor& field) {
    const auto& standard = rule_of(field).standard();
    if (standard.empty() || standard.find(' ') != std::string::npos) return {};
    if (field.cpp_type() != pb::FieldDescriptor::CPPTYPE_STRING) return standard;
    return quote(canonical(field, standard));
}

class Flattener {
public:
    Flattener(const Document& document, bool standards) : document_(document), standards_(standards) {}

    std::vector<Entry> run() {
        const auto& config = document_.config;
        const auto& type = *config.GetDescriptor();
        const auto* const reflection = config.GetReflection();
        for (int i = 0; i < type.field_count(); ++i) {
            const auto& field = *type.field(i);
            if (field.cpp_type() != pb::FieldDescriptor::CPPTYPE_MESSAGE)
                continue;  // includes: where, not what
            if (!field.is_repeated()) {
                if (reflection->HasField(config, &field))
                    add(field.name(), reflection->GetMessage(config, &field));
                continue;
            }
            for (int n = 0; n < reflection->FieldSize(config, &field); ++n)
                add(field.name(), reflection->GetRepeatedMessage(config, &field, n));
        }
        std::sort(entries_.begin(), entries_.end(), [](const Entry& a, const Entry& b) {
            return std::pair(a.kind, a.name) < std::pair(b.kind, b.name);
        });
        return std::move(entries_);
    }

private:
    void add(const std::string& kind, const pb::Message& message) {
        Entry entry;
        entry.kind = kind;
        entry.name = key_of(message);
        entry.at = document_.places.of(message);
        fields(message, "", entry);
        // A block that says nothing beyond what holds anyway is as good as absent.
        if (!entry.fields.empty() || !entry.name.empty()) entries_.push_back(std::move(entry));
    }

    void fields(const pb::Message& message, const std::string& path, Entry& entry) {
        const auto& type = *message.GetDescriptor();
        const auto* const reflection = message.GetReflection();
        for (int i = 0; i < type.field_count(); ++i) {
            const auto& field = *type.field(i);
            const auto at = path + field.name();
            if (field.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
                if (field.is_repeated()) {
                    for (int n = 0; n < reflection->FieldSize(message, &field); ++n) {
                        const auto& sub = reflection->GetRepeatedMessage(message, &field, n);
                        fields(sub, at + '[' + key_of(sub) + "].", entry);
                    }
                } else if (reflection->HasField(message, &field)) {
                    fields(reflection->GetMessage(message, &field), at + '.', entry);
                }
                continue;
            }
            const auto standard = standard_of(field);
            if (field.is_repeated()) {
                std::set<std::string> values;  // an order or a repetition means nothing
                for (int n = 0; n < reflection->FieldSize(message, &field); ++n)
                    values.insert(single(message, field, n));
                if (values.empty()) continue;
                std::string all;
                for (const auto& value : values) all += (all.empty() ? "" : ", ") + value;
                entry.fields[at] = {'[' + all + ']', document_.places.of(message, field.name())};
            } else if (reflection->HasField(message, &field)) {
                const auto value = single(message, field, 0);
                if (standards_ || value != standard)
                    entry.fields[at] = {value, document_.places.of(message, field.name())};
            } else if (standards_ && !standard.empty()) {
                entry.fields[at] = {standard, {}};
            }
        }
    }

    const Document& document_;
    bool standards_;
    std::vector<Entry> entries_;
};

std::string entry_name(const std::string& kind, const std::string& name) {
    return name.empty() ? kind : kind + ' ' + quote(name);
}

class Shower {
public:
    std::string run(const std::vector<Entry>& entries) {
        for (const auto& entry : entries) {
            if (!out_.empty()) out_ += '\n';
            out_ += entry.kind + " {  # " + lang::to_text(entry.at) + '\n';
            block(entry.fields, "", 1);
            out_ += "}\n";
        }
        return std::move(out_);
    }

private:
    // Paths are printed as nested blocks: "match.class", "guarantee[tenant \"a\"].part".
    void block(const std::map<std::string, Value>& fields, const std::string& prefix, int depth) {
        const std::string pad(static_cast<std::size_t>(depth) * 2, ' ');
        for (auto it = fields.lower_bound(prefix); it != fields.end() && it->first.starts_with(prefix);) {
            const auto rest = it->first.substr(prefix.size());
            const auto bracket = rest.find('['), dot = rest.find('.');
            if (bracket == std::string::npos && dot == std::string::npos) {
                const bool standard = it->second.at.line == 0;
                out_ += pad + (standard ? "# " : "") + rest + ": " + it->second.text +
                        (standard ? "  (standard)" : "  # " + lang::to_text(it->second.at)) + '\n';
                ++it;
                continue;
            }
            // The key of an entry may hold dots of its own.
            const auto end = bracket < dot ? rest.find("].") + 2 : dot + 1;
            const auto inner = prefix + rest.substr(0, end);
            out_ += pad + rest.substr(0, std::min(bracket, dot)) + " {\n";
            block(fields, inner, depth + 1);
            out_ += pad + "}\n";
            while (it != fields.end() && it->first.starts_with(inner)) ++it;
        }
    }

    std::string out_;
};

}  // namespace

std::vector<Entry> meaning_of(const Document& document, bool with_standards) {
    return Flattener(document, with_standards).run();
}

std::vector<Change> differences(const Document& before, const Document& after) {
    const auto old_entries = meaning_of(before, false), new_entries = meaning_of(after, false);
    std::map<std::pair<std::string, std::string>, std::pair<const Entry*, const Entry*>> both;
    for (const auto& e : old_entries) both[{e.kind, e.name}].first = &e;
    for (const auto& e : new_entries) both[{e.kind, e.name}].second = &e;
    std::vector<Change> changes;
    for (const auto& [id, pair] : both) {
        const auto& [old_entry, new_entry] = pair;
        if (old_entry == nullptr || new_entry == nullptr) {
            changes.push_back({old_entry == nullptr ? Change::Kind::added : Change::Kind::removed, id.first,
                               id.second, "", "", ""});
            const auto& there = old_entry == nullptr ? *new_entry : *old_entry;
            for (const auto& [path, value] : there.fields) {
                if (path == "name") continue;
                changes.push_back({changes.back().kind, id.first, id.second, path,
                                   old_entry == nullptr ? "" : value.text,
                                   old_entry == nullptr ? value.text : ""});
            }
            continue;
        }
        std::set<std::string> paths;
        for (const auto& [path, value] : old_entry->fields) paths.insert(path);
        for (const auto& [path, value] : new_entry->fields) paths.insert(path);
        for (const auto& path : paths) {
            const auto a = old_entry->fields.find(path), b = new_entry->fields.find(path);
            const auto was = a == old_entry->fields.end() ? std::string() : a->second.text;
            const auto is = b == new_entry->fields.end() ? std::string() : b->second.text;
            if (was != is) changes.push_back({Change::Kind::changed, id.first, id.second, path, was, is});
        }
    }
    return changes;
}

std::string to_text(const std::vector<Change>& changes) {
    std::string out;
    for (const auto& c : changes) {
        const char mark = c.kind == Change::Kind::added ? '+' : c.kind == Change::Kind::removed ? '-' : '~';
        (out += mark) += ' ' + entry_name(c.entry, c.name);
        if (!c.field.empty()) {
            out += ": " + c.field + ": ";
            if (c.kind == Change::Kind::changed)
                out += (c.before.empty() ? "(absent)" : c.before) + " -> " +
                       (c.after.empty() ? "(absent)" : c.after);
            else
                out += c.before + c.after;
        }
        out += '\n';
    }
    return out;
}

std::string show(const Document& document) { return Shower().run(meaning_of(document, true)); }

}  // namespace brasslift::lang
