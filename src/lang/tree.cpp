#include "lang/tree.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace brasslift::lang {
namespace {

using Kind = Token::Kind;

class Reader {
public:
    Reader(const std::string& file, std::vector<Token> tokens, Findings& findings)
        : file_(file), tokens_(std::move(tokens)), findings_(findings) {}

    bool read(Tree& tree, const Sink& sink) {
        bool sound = true;
        while (!at(Kind::end)) {
            if (is('}') || is('>') || is(']')) {
                fault(std::string("nothing is open that this '") + next().text[0] + "' could close",
                      "remove it");
            } else {
                Field field;
                if (read_field(field, 1)) sink(std::move(field));
            }
            if (failed_) {
                sound = false;
                recover();
            }
            gather();
        }
        tree.inner = std::exchange(comments_, {});
        tree.inner_blank = comments_blank_;
        return sound;
    }

private:
    // Comments are set aside as they come; whoever is next takes them.
    void gather() {
        while (tokens_[at_].kind == Kind::comment) {
            if (comments_.empty())
                comments_blank_ = tokens_[at_].blank_before;
            else if (tokens_[at_].blank_before)
                comments_.emplace_back();
            comments_.push_back(tokens_[at_++].text);
        }
    }
    const Token& next() {
        gather();
        return tokens_[at_];
    }
    bool at(Kind kind) { return next().kind == kind; }
    bool is(char mark) { return next().kind == Kind::mark && next().text[0] == mark; }
    const Token& take() {
        next();
        return tokens_[at_ == tokens_.size() - 1 ? at_ : at_++];
    }

    void fault(std::string what, std::string fix) { fault_at(next(), std::move(what), std::move(fix)); }
    void fault_at(const Token& token, std::string what, std::string fix) {
        if (!failed_) findings_.error({file_, token.line, token.column}, std::move(what), std::move(fix));
        failed_ = true;
    }
    // To where the next entry of the file begins: a name at the left edge, followed by ':' or a bracket.
    void recover() {
        failed_ = false;
        comments_.clear();
        if (tokens_[at_].kind != Kind::end) ++at_;
        for (; tokens_[at_].kind != Kind::end; ++at_)
            if (tokens_[at_].kind == Kind::name && tokens_[at_].column == 1) return;
    }

    static std::string shown(const Token& token) {
        return token.kind == Kind::end ? "the end of the file"
                                       : '\'' + std::string(token.text.substr(0, 40)) + '\'';
    }

    // A comment on the line where a field ends is that field's.
    void take_behind(Field& field) {
        while (tokens_[at_].kind == Kind::comment && !tokens_[at_].first_of_line)
            field.behind.push_back(tokens_[at_++].text);
    }

    bool read_field(Field& field, int depth) {
        const Token name = next();
        const bool set_apart = !comments_.empty() && name.blank_before;
        field.before = std::exchange(comments_, {});
        if (set_apart) field.before.emplace_back();
        field.blank_before = field.before.empty() ? name.blank_before : comments_blank_;
        field.line = name.line;
        field.column = name.column;
        if (name.kind != Kind::name) {
            fault_at(name, "a field's name should stand here, not " + shown(name),
                     name.kind == Kind::text ? "write the field and ':' before the value"
                                             : "write NAME: VALUE or NAME { ... }");
            return false;
        }
        field.name = name.text;
        take();
        const bool colon = is(':');
        if (colon) take();
        if (is('{') || is('<')) {
            if (!read_block(field, depth)) return false;
        } else if (is('[')) {
            if (!colon)
                return fault("a list needs ':' before it", "write " + std::string(name.text) + ": [...]"),
                       false;
            if (!read_list(field, depth)) return false;
        } else if (!colon) {
            return fault("':' or '{' should follow '" + std::string(name.text) + "', not " + shown(next()),
                         "write " + std::string(name.text) + ": VALUE"),
                   false;
        } else if (!read_scalar(field)) {
            return false;
        }
        // Comments from within a value stay with it.
        std::move(comments_.begin(), comments_.end(), std::back_inserter(field.before));
        comments_.clear();
        take_behind(field);
        // A separator may come lines later; comments on the way to it are the next one's.
        auto ahead = at_;
        while (tokens_[ahead].kind == Kind::comment) ++ahead;
        if (tokens_[ahead].kind == Kind::mark && (tokens_[ahead].text == "," || tokens_[ahead].text == ";")) {
            take();
            take_behind(field);
        }
        return true;
    }

    bool read_scalar(Field& field) {
        const Token first = next();
        field.kind = Field::Kind::scalar;
        field.value_line = first.line;
        field.value_column = first.column;
        if (first.kind == Kind::text) {
            while (at(Kind::text)) field.value.push_back(take());
            // Comments behind the last part are not within the value.
            while (!comments_.empty() && tokens_[at_ - 1].kind == Kind::comment) {
                --at_;
                comments_.pop_back();
                if (!comments_.empty() && comments_.back().empty()) comments_.pop_back();
            }
            return true;
        }
        if (is('-')) {
            field.value.push_back(take());
            if (!at(Kind::number) && !at(Kind::name))
                return fault("a number should follow '-'", "write -1, for example"), false;
        }
        if (!at(Kind::number) && !at(Kind::name))
            return fault("a value should stand here, not " + shown(next()),
                         "write a text in quotes, a number or a name"),
                   false;
        field.value.push_back(take());
        return true;
    }

    // The bracket that begins a value; comments between the name and it stay with the field.
    Token open(Field& field, Field::Kind kind) {
        const Token bracket = take();
        field.kind = kind;
        field.value_line = bracket.line;
        field.value_column = bracket.column;
        std::move(comments_.begin(), comments_.end(), std::back_inserter(field.before));
        comments_.clear();
        return bracket;
    }

    bool read_block(Field& field, int depth) {
        const Token open = this->open(field, Field::Kind::block);
        if (depth >= most_depth)
            return fault_at(open, "blocks are nested more than " + std::to_string(most_depth) + " deep",
                            "nothing needs that; remove some"),
                   false;
        const char close = open.text[0] == '{' ? '}' : '>';
        while (!is(close)) {
            if (at(Kind::end))
                return fault_at(open,
                                std::string("the '") + open.text[0] + "' of '" + std::string(field.name) +
                                    "' is never closed",
                                std::string("write '") + close + "' where it ends"),
                       false;
            if (is('}') || is('>') || is(']'))
                return fault(std::string("'") + next().text[0] + "' does not close the '" + open.text[0] +
                                 "' of line " + std::to_string(open.line),
                             std::string("write '") + close + '\''),
                       false;
            Field child;
            if (!read_field(child, depth + 1)) return false;
            field.children.push_back(std::move(child));
        }
        field.inner = std::exchange(comments_, {});
        field.inner_blank = comments_blank_;
        take();
        return true;
    }

    bool read_list(Field& field, int depth) {
        const Token open = this->open(field, Field::Kind::list);
        while (!is(']')) {
            if (at(Kind::end))
                return fault_at(open, "the '[' of '" + std::string(field.name) + "' is never closed",
                                "write ']' where it ends"),
                       false;
            Field item;
            item.line = next().line;
            item.column = next().column;
            item.before = std::exchange(comments_, {});
            if (is('{') || is('<')) {
                if (!read_block(item, depth + 1)) return false;
            } else if (!read_scalar(item)) {
                return false;
            }
            std::move(comments_.begin(), comments_.end(), std::back_inserter(item.before));
            comments_.clear();
            take_behind(item);
            if (is(',')) {
                take();
                take_behind(item);
                if (is(']')) return fault("a value should follow ','", "remove the last ','"), false;
            } else if (!is(']')) {
                if (at(Kind::end)) continue;
                return fault("',' or ']' should stand here, not " + shown(next()),
                             "write ',' between the values of a list"),
                       false;
            }
            field.children.push_back(std::move(item));
        }
        field.inner = std::exchange(comments_, {});
        take();
        return true;
    }

    const std::string& file_;
    std::vector<Token> tokens_;
    Findings& findings_;
    std::size_t at_ = 0;
    std::vector<std::string_view> comments_;
    bool comments_blank_ = false, failed_ = false;
};

constexpr std::size_t most_line = 100;

class Printer {
public:
    std::string print(const Tree& tree) {
        fields(tree.fields, 0);
        comments(tree.inner, 0, tree.inner_blank && !out_.empty());
        return std::move(out_);
    }

private:
    void pad(int depth) { out_.append(static_cast<std::size_t>(depth) * 2, ' '); }

    void comments(const std::vector<std::string_view>& lines, int depth, bool blank) {
        if (blank && !lines.empty()) out_ += '\n';
        for (const auto line : lines) {
            if (!line.empty()) pad(depth);
            (out_ += line) += '\n';
        }
    }

    void behind(const Field& field) {
        for (const auto comment : field.behind) (out_ += "  ") += comment;
    }

    static std::string scalar(const Field& field) {
        std::string text;
        for (const auto& part : field.value) {
            if (!text.empty() && part.kind == Kind::text) text += ' ';
            text += part.text;
        }
        return text;
    }

    void fields(const std::vector<Field>& all, int depth) {
        bool first = true;
        for (const auto& field : all) {
            if (field.blank_before && !first) out_ += '\n';
            first = false;
            comments(field.before, depth, false);
            pad(depth);
            out_ += field.name;
            value(field, depth);
            behind(field);
            out_ += '\n';
        }
    }

    void value(const Field& field, int depth) {
        switch (field.kind) {
            case Field::Kind::scalar: (out_ += ": ") += scalar(field); break;
            case Field::Kind::block:
                out_ += ' ';
                block(field, depth);
                break;
            case Field::Kind::list:
                out_ += ": ";
                list(field, depth);
                break;
        }
    }

    void block(const Field& field, int depth) {
        if (field.children.empty() && field.inner.empty()) {
            out_ += "{}";
            return;
        }
        out_ += "{\n";
        fields(field.children, depth + 1);
        comments(field.inner, depth + 1, field.inner_blank && !field.children.empty());
        pad(depth);
        out_ += '}';
    }

    void list(const Field& field, int depth) {
        std::string line;
        bool simple = field.inner.empty();
        for (const auto& item : field.children) {
            simple = simple && item.kind == Field::Kind::scalar && item.before.empty() && item.behind.empty();
            if (simple) line += (line.empty() ? "" : ", ") + scalar(item);
        }
        if (simple &&
            static_cast<std::size_t>(depth) * 2 + field.name.size() + line.size() + 4 <= most_line) {
            out_ += '[' + line + ']';
            return;
        }
        out_ += "[\n";
        for (const auto& item : field.children) {
            comments(item.before, depth + 1, false);
            pad(depth + 1);
            if (item.kind == Field::Kind::block)
                block(item, depth + 1);
            else
                out_ += scalar(item);
            if (&item != &field.children.back()) out_ += ',';
            behind(item);
            out_ += '\n';
        }
        comments(field.inner, depth + 1, false);
        pad(depth);
        out_ += ']';
    }

    std::string out_;
};

}  // namespace

bool read_fields(const std::string& file, std::string_view source, Findings& findings, Tree& tree,
                 const Sink& sink) {
    // The token at fault is told of by itself; what it cuts short is not its own fault.
    Findings own;
    auto tokens = read_tokens(file, source, own);
    if (!own.any_errors()) return Reader(file, std::move(tokens), findings).read(tree, sink);
    for (auto& finding : own.sorted()) findings.error(finding.at, finding.what, finding.fix);
    return false;
}

Tree read_tree(const std::string& file, std::string_view source, Findings& findings) {
    Tree tree;
    tree.file = file;
    tree.sound = read_fields(file, source, findings, tree,
                             [&](Field field) { tree.fields.push_back(std::move(field)); });
    return tree;
}

std::string format(const Tree& tree) { return Printer().print(tree); }

}  // namespace brasslift::lang
