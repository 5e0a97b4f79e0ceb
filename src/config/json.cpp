#include "config/json.hpp"

#include <cctype>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace brasslift::config {
namespace {

constexpr int most_depth = 32;
constexpr std::size_t most_values = 200000;

class Reader {
public:
    Reader(std::string_view text, Flat& into) : text_(text), into_(into) {}

    bool whole() {
        skip();
        if (at_ >= text_.size() || text_[at_] != '{' || !object("", 0)) return false;
        skip();
        return at_ == text_.size();
    }

private:
    void skip() {
        while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos)
            ++at_;
    }
    bool take(char c) {
        skip();
        if (at_ >= text_.size() || text_[at_] != c) return false;
        ++at_;
        return true;
    }
    bool put(const std::string& path, std::string value) {
        for (char& c : value)
            if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
        return put_raw(path, std::move(value));
    }
    bool put_raw(const std::string& path, std::string value) {
        into_.insert_or_assign(path, std::move(value));
        return into_.size() <= most_values;
    }

    bool object(const std::string& path, int depth) {
        if (depth > most_depth || !take('{')) return false;
        if (take('}')) return true;
        do {
            std::string name;
            skip();
            if (!string(name) || !take(':')) return false;
            if (!value(path.empty() ? name : path + '.' + name, depth + 1)) return false;
        } while (take(','));
        return take('}');
    }

    bool list(const std::string& path, int depth) {
        if (depth > most_depth || !take('[')) return false;
        std::size_t count = 0;
        std::string joined;
        bool plain = true;
        if (!take(']')) {
            do {
                skip();
                const bool nested = at_ < text_.size() && (text_[at_] == '{' || text_[at_] == '[');
                const auto item = path + '.' + std::to_string(count);
                if (!value(item, depth + 1)) return false;
                plain = plain && !nested;
                if (!nested) {
                    const auto found = into_.find(item);
                    joined += (count > 0 ? "," : "") + (found == into_.end() ? "" : found->second);
                    if (found != into_.end()) into_.erase(found);
                }
                ++count;
            } while (take(','));
            if (!take(']')) return false;
        }
        if (plain && !put_raw(path, joined)) return false;
        return put_raw(path + ".count", std::to_string(count));
    }

    bool value(const std::string& path, int depth) {
        skip();
        if (at_ >= text_.size()) return false;
        const char c = text_[at_];
        if (c == '{') return object(path, depth);
        if (c == '[') return list(path, depth);
        if (c == '"') {
            std::string text;
            return string(text) && put(path, std::move(text));
        }
        const auto from = at_;
        while (at_ < text_.size() && (std::isalnum(static_cast<unsigned char>(text_[at_])) != 0 ||
                                      std::string_view("+-.").find(text_[at_]) != std::string_view::npos))
            ++at_;
        std::string word(text_.substr(from, at_ - from));
        if (word == "null") return true;
        if (word == "true" || word == "false") return put(path, std::move(word));
        if (word.empty() || (word[0] != '-' && std::isdigit(static_cast<unsigned char>(word[0])) == 0))
            return false;
        char* end = nullptr;
        const double number = std::strtod(word.c_str(), &end);
        return *end == '\0' && std::isfinite(number) && put(path, std::move(word));
    }

    bool hex4(unsigned& code) {
        if (text_.size() - at_ < 4) return false;
        code = 0;
        for (int i = 0; i < 4; ++i) {
            const char c = text_[at_++];
            if (std::isxdigit(static_cast<unsigned char>(c)) == 0) return false;
            code = code * 16 + static_cast<unsigned>(std::isdigit(static_cast<unsigned char>(c)) != 0
                                                         ? c - '0'
                                                         : std::tolower(c) - 'a' + 10);
        }
        return true;
    }

    static void add_utf8(std::string& out, unsigned code) {
        const auto add = [&](unsigned byte) { out += static_cast<char>(byte); };
        if (code < 0x80) {
            add(code);
        } else if (code < 0x800) {
            add(0xc0 | code >> 6), add(0x80 | (code & 0x3f));
        } else if (code < 0x10000) {
            add(0xe0 | code >> 12), add(0x80 | (code >> 6 & 0x3f)), add(0x80 | (code & 0x3f));
        } else {
            add(0xf0 | code >> 18), add(0x80 | (code >> 12 & 0x3f)), add(0x80 | (code >> 6 & 0x3f)),
                add(0x80 | (code & 0x3f));
        }
    }

    bool escape(std::string& out) {
        if (at_ >= text_.size()) return false;
        const char c = text_[at_++];
        static constexpr std::string_view from = "\"\\/bfnrt", to = "\"\\/\b\f\n\r\t";
        if (const auto place = from.find(c); place != std::string_view::npos) {
            out += to[place];
            return true;
        }
        unsigned code = 0, low = 0;
        if (c != 'u' || !hex4(code)) return false;
        if (code >= 0xd800 && code < 0xdc00) {
            if (text_.substr(at_, 2) != "\\u") return false;
            at_ += 2;
            if (!hex4(low) || low < 0xdc00 || low > 0xdfff) return false;
            code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        }
        add_utf8(out, code);
        return true;
    }

    bool string(std::string& out) {
        if (at_ >= text_.size() || text_[at_] != '"') return false;
        ++at_;
        while (at_ < text_.size()) {
            const char c = text_[at_++];
            if (c == '"') return true;
            if (static_cast<unsigned char>(c) < 0x20) return false;
            if (c != '\\')
                out += c;
            else if (!escape(out))
                return false;
        }
        return false;
    }

    std::string_view text_;
    Flat& into_;
    std::size_t at_ = 0;
};

}  // namespace

std::optional<Flat> flatten(std::string_view json) {
    Flat flat;
    if (!Reader(json, flat).whole()) return std::nullopt;
    return flat;
}

std::string text_or(const Flat& flat, std::string_view path, std::string_view otherwise) {
    const auto found = flat.find(path);
    return found == flat.end() ? std::string(otherwise) : found->second;
}

double number_or(const Flat& flat, std::string_view path, double otherwise) {
    const auto found = flat.find(path);
    if (found == flat.end()) return otherwise;
    char* end = nullptr;
    const double value = std::strtod(found->second.c_str(), &end);
    return found->second.empty() || *end != '\0' || !std::isfinite(value) ? otherwise : value;
}

std::string quoted(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) < 0x20) {
            char code[8];
            std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
            out += code;
        } else {
            out += c;
        }
    }
    return out + '"';
}

}  // namespace brasslift::config
