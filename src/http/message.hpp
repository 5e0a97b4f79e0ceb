// HTTP/1.1 messages as values, with the bounds they are read within.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brasslift::http {

struct Limits {
    std::size_t head = 16 * 1024;
    std::size_t body = 64 * 1024;
};

class Headers {
public:
    void add(std::string name, std::string value) { lines_.emplace_back(std::move(name), std::move(value)); }
    // The first of that name, whatever its case; nullptr if there is none.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    // All of that name as one list, in their order.
    std::string joined(std::string_view name) const;
    // Whether a comma-separated header holds the token.
    bool has_token(std::string_view name, std::string_view token) const;
    std::size_t size() const { return lines_.size(); }
    // Bytes of memory that they take.
    std::size_t memory() const;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(lines_);
    }

private:
    std::vector<std::pair<std::string, std::string>> lines_;
};

struct Message {
    std::string method, target;  // of a request
    int status = 0;              // of an answer
    int minor = 1;               // HTTP/1.x
    Headers headers;
    std::string body;

    bool keeps_alive() const {
        if (headers.has_token("connection", "close")) return false;
        return minor >= 1 || headers.has_token("connection", "keep-alive");
    }
};

bool same_name(std::string_view a, std::string_view b);
std::string_view trimmed(std::string_view text);

}  // namespace brasslift::http
