#include "config/known_split.hpp"

#include <algorithm>

namespace brasslift::config {

void KnownSplit::feed(std::string_view bytes, std::string& rest, const Take& known) {
    std::size_t from = 0;  // of what has not been passed on
    const auto pass = [&](std::size_t to) {
        const auto part = bytes.substr(from, to - from);
        from = to;
        if (!inside_)
            rest += part;
        else if (known && !part.empty())
            known(part);
    };
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char c = bytes[i];
        if (quoted_) {
            if (escaped_) {
                escaped_ = false;
            } else if (c == '\\') {
                escaped_ = true;
            } else if (c == '"') {
                quoted_ = false;
                if (naming_) named_ = name_ == "known";
                naming_ = false;
                continue;
            }
            if (naming_ && name_.size() < 8) name_ += c;
            continue;
        }
        switch (c) {
            case '"':
                quoted_ = true;
                naming_ = name_comes_;
                name_comes_ = false;
                name_.clear();
                break;
            case '{':
            case '[':
                if (depth_ == 1 && named_) {
                    pass(i);
                    rest += "null";
                    inside_ = true;
                    named_ = false;
                }
                name_comes_ = ++depth_ == 1 && c == '{';
                break;
            case '}':
            case ']':
                name_comes_ = false;
                if (--depth_ == 1 && inside_) {
                    pass(i + 1);
                    inside_ = false;
                }
                break;
            case ',':
                if (depth_ == 1) {
                    name_comes_ = true;
                    named_ = false;
                }
                break;
            default: break;
        }
    }
    pass(bytes.size());
}

}  // namespace brasslift::config
