#include "lang/tokens.hpp"

#include <cstdint>
#include <cstdio>

namespace brasslift::lang {
namespace {

bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }
bool in_number(char c) { return digit(c) || letter(c) || c == '.'; }
int hex(char c) {
    if (digit(c)) return c - '0';
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

class Scanner {
public:
    Scanner(const std::string& file, std::string_view source, Findings& findings)
        : file_(file), source_(source), findings_(findings) {}

    std::vector<Token> run() {
        std::vector<Token> tokens;
        // Where a file is no text at all, one message says so and nothing else is tried.
        if (!sound()) return {Token{}};
        if (source_.starts_with("\xef\xbb\xbf")) at_ = 3;  // a byte order mark is no part of the text
        for (;;) {
            skip_space();
            Token token;
            token.line = line_;
            token.column = column_;
            token.blank_before = lines_skipped_ > (tokens.empty() ? 0 : 1);
            token.first_of_line = tokens.empty() || lines_skipped_ > 0;
            const auto from = at_;
            if (at_ < source_.size() && tokens.size() < most_tokens && !take(token.kind, token)) {
                token.kind = Token::Kind::end;
                tokens.push_back(token);
                return tokens;
            }
            if (tokens.size() >= most_tokens)
                findings_.error({file_, line_, column_}, "the file has too many tokens",
                                "split it by includes");
            token.text = source_.substr(from, at_ - from);
            tokens.push_back(token);
            if (token.kind == Token::Kind::end) return tokens;
        }
    }

private:
    bool sound() {
        const auto fault = [&](std::size_t where, const std::string& what, const std::string& fix) {
            for (; at_ < where; step()) {}
            findings_.error({file_, line_, column_}, what, fix);
            return false;
        };
        if (const auto nul = source_.find('\0'); nul != std::string_view::npos)
            return fault(nul, "a NUL byte", "the file must be text in UTF-8");
        if (const auto bad = first_bad_utf8(source_); bad != std::string_view::npos) {
            char byte[8];
            std::snprintf(byte, sizeof byte, "0x%02x", static_cast<unsigned char>(source_[bad]));
            return fault(bad, std::string("the byte ") + byte + " is not UTF-8", "save the file as UTF-8");
        }
        return true;
    }

    void step() {
        if (source_[at_] == '\n') {
            ++line_;
            column_ = 0;
        }
        ++at_;
        ++column_;
    }

    void skip_space() {
        lines_skipped_ = 0;
        while (at_ < source_.size()) {
            const char c = source_[at_];
            if (c != ' ' && c != '\t' && c != '\r' && c != '\n' && c != '\f' && c != '\v') return;
            lines_skipped_ += c == '\n' ? 1 : 0;
            step();
        }
    }

    bool take(Token::Kind& kind, const Token& token) {
        const char c = source_[at_];
        if (c == '#') {
            kind = Token::Kind::comment;
            while (at_ < source_.size() && source_[at_] != '\n') step();
            while (source_[at_ - 1] == '\r' || source_[at_ - 1] == ' ' || source_[at_ - 1] == '\t')
                --at_, --column_;
            return true;
        }
        if (c == '"' || c == '\'') return take_text(kind, token);
        if (letter(c)) {
            kind = Token::Kind::name;
            while (at_ < source_.size() && (letter(source_[at_]) || digit(source_[at_]))) step();
            return true;
        }
        if (digit(c) || (c == '.' && at_ + 1 < source_.size() && digit(source_[at_ + 1]))) {
            kind = Token::Kind::number;
            while (at_ < source_.size() && in_number(source_[at_])) step();
            return true;
        }
        constexpr std::string_view marks = "{}[]<>:,;-";
        if (marks.find(c) != std::string_view::npos) {
            kind = Token::Kind::mark;
            step();
            return true;
        }
        const auto shown = c < 0x20 || static_cast<unsigned char>(c) >= 0x7f ? "this character"
                                                                             : std::string("'") + c + '\'';
        findings_.error({file_, token.line, token.column}, shown + " has no meaning here",
                        c == '/'   ? "begin a comment with '#'"
                        : c == '=' ? "write ':' between a field and its value"
                                   : "remove it, or put the text in quotes");
        return false;
    }

    bool take_text(Token::Kind& kind, const Token& token) {
        kind = Token::Kind::text;
        const char quote = source_[at_];
        step();
        while (at_ < source_.size() && source_[at_] != quote && source_[at_] != '\n') {
            if (source_[at_] == '\\' && at_ + 1 < source_.size() && source_[at_ + 1] != '\n') step();
            step();
        }
        if (at_ >= source_.size() || source_[at_] == '\n') {
            findings_.error({file_, token.line, token.column},
                            "the text that begins here does not end on its line",
                            std::string("close it with ") + quote);
            return false;
        }
        step();
        return true;
    }

    const std::string& file_;
    std::string_view source_;
    Findings& findings_;
    std::size_t at_ = 0;
    int line_ = 1, column_ = 1, lines_skipped_ = 0;
};

}  // namespace

std::vector<Token> read_tokens(const std::string& file, std::string_view source, Findings& findings) {
    return Scanner(file, source, findings).run();
}

Unquoted unquote(std::string_view token) {
    Unquoted out;
    for (std::size_t i = 1; i + 1 < token.size(); ++i) {
        if (token[i] != '\\') {
            out.text += token[i];
            continue;
        }
        const auto from = i++;
        const char c = token[i];
        constexpr std::string_view names = "abfnrtv\\'\"?", means = "\a\b\f\n\r\t\v\\'\"?";
        if (const auto place = names.find(c); place != std::string_view::npos) {
            out.text += means[place];
        } else if (c >= '0' && c <= '7') {
            int value = 0;
            for (int n = 0; n < 3 && token[i] >= '0' && token[i] <= '7'; ++n)
                value = value * 8 + (token[i++] - '0');
            --i;
            out.text += static_cast<char>(value);
        } else if ((c == 'x' || c == 'X') && hex(token[i + 1]) >= 0) {
            int value = 0;
            for (int n = 0; n < 2 && hex(token[i + 1]) >= 0; ++n) value = value * 16 + hex(token[++i]);
            out.text += static_cast<char>(value);
        } else {
            out.fault = std::string("'\\") + c + "' is no escape";
            out.fault_at = from;
            return out;
        }
    }
    return out;
}

std::string quote(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\%03o", static_cast<unsigned char>(c));
            out += escaped;
        } else {
            out += c;
        }
    }
    return out + '"';
}

}  // namespace brasslift::lang
