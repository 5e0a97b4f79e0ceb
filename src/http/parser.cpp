#include "http/parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace brasslift::http {
namespace {

constexpr std::size_t most_headers = 100;
constexpr std::size_t most_size_digits = 8;  // of a chunk's size, as any sender writes it
constexpr int most_interim = 32;  // 1xx ahead of one answer; a peer that sends nothing else is not waited for

bool is_token(std::string_view text) {
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

// Digits only: no sign, no space, nothing behind, nothing that overflows.
bool read_size(std::string_view text, int base, std::uint64_t& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size() && text[0] != '-';
}

bool has_control(std::string_view text) {
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

// Of a text's own, beside the string.
std::size_t memory_of(const std::string& text) {
    static const std::size_t inside = std::string().capacity();
    return text.capacity() > inside ? text.capacity() + 1 : 0;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

std::size_t Headers::memory() const {
    std::size_t bytes = lines_.capacity() * sizeof(lines_.front());
    for (const auto& [name, value] : lines_) bytes += memory_of(name) + memory_of(value);
    return bytes;
}

const std::string* Headers::find(std::string_view name) const {
    for (const auto& [key, value] : lines_)
        if (same_name(key, name)) return &value;
    return nullptr;
}

std::size_t Headers::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        lines_.begin(), lines_.end(), [&](const auto& line) { return same_name(line.first, name); }));
}

std::string Headers::joined(std::string_view name) const {
    std::string all;
    for (const auto& [key, value] : lines_)
        if (same_name(key, name)) (all += all.empty() ? "" : ",") += value;
    return all;
}

bool Headers::has_token(std::string_view name, std::string_view token) const {
    for (const auto& [key, value] : lines_) {
        if (!same_name(key, name)) continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            if (same_name(trimmed(rest.substr(0, comma)), token)) return true;
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return false;
}

int status_of(Fault fault) {
    switch (fault) {
        case Fault::none: return 200;
        case Fault::malformed: return 400;
        case Fault::head_too_large: return 431;
        case Fault::body_too_large: return 413;
        case Fault::unsupported: return 501;
        case Fault::version: return 505;
    }
    return 400;
}

void Parser::fail(Fault fault) {
    fault_ = fault;
    phase_ = Phase::failed;
}

bool Parser::take_line(std::string_view& bytes, std::string& line) {
    const auto end = bytes.find('\n');
    const auto part = bytes.substr(0, end == std::string_view::npos ? bytes.size() : end + 1);
    head_size_ += part.size();
    if (head_size_ > limits_.head) {
        fail(Fault::head_too_large);
        return false;
    }
    line_ += part;
    bytes.remove_prefix(part.size());
    if (end == std::string_view::npos) return false;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    line = std::exchange(line_, {});
    return true;
}

std::size_t Parser::feed(std::string_view bytes) {
    const auto given = bytes.size();
    while (!bytes.empty() && phase_ != Phase::complete && phase_ != Phase::failed) {
        if (phase_ == Phase::sized || phase_ == Phase::chunk || phase_ == Phase::to_end) {
            const auto part =
                phase_ == Phase::to_end
                    ? bytes
                    : bytes.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size())));
            bytes.remove_prefix(part.size());
            left_ -= phase_ == Phase::to_end ? 0 : part.size();
            add_body(part);
            if (phase_ == Phase::sized && left_ == 0) phase_ = Phase::complete;
            if (phase_ == Phase::chunk && left_ == 0) phase_ = Phase::chunk_end;
            continue;
        }
        std::string line;
        if (take_line(bytes, line)) on_line(line);
    }
    return given - bytes.size();
}

void Parser::add_body(std::string_view part) {
    if (message_.body.size() + part.size() > limits_.body) return fail(Fault::body_too_large);
    message_.body += part;
}

void Parser::on_line(const std::string& line) {
    switch (phase_) {
        case Phase::start:
            if (!line.empty()) on_start(line);
            break;
        case Phase::headers:
            if (line.empty())
                on_head();
            else
                on_header(line);
            break;
        case Phase::chunk_size: on_chunk_size(line); break;
        case Phase::chunk_end:
            head_size_ = 0;
            if (!line.empty()) return fail(Fault::malformed);
            phase_ = Phase::chunk_size;
            break;
        case Phase::trailers:
            if (line.empty()) phase_ = Phase::complete;
            break;
        default: break;
    }
}

void Parser::on_start(const std::string& line) {
    const std::string_view text = line;
    std::string_view version;
    if (side_ == Side::request) {
        if (has_control(line)) return fail(Fault::malformed);
        const auto first = text.find(' ');
        const auto last = text.rfind(' ');
        if (first == std::string_view::npos || last == first) return fail(Fault::malformed);
        message_.method = text.substr(0, first);
        message_.target = text.substr(first + 1, last - first - 1);
        version = text.substr(last + 1);
        if (!is_token(message_.method) || message_.target.empty() ||
            message_.target.find(' ') != std::string::npos)
            return fail(Fault::malformed);
    } else {
        version = text.substr(0, text.find(' '));
        std::uint64_t status = 0;
        if (text.size() < version.size() + 4 || !read_size(text.substr(version.size() + 1, 3), 10, status) ||
            status < 100 || (text.size() > version.size() + 4 && text[version.size() + 4] != ' '))
            return fail(Fault::malformed);
        message_.status = static_cast<int>(status);
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        message_.status = 0;
        return fail(version.starts_with("HTTP/") ? Fault::version : Fault::malformed);
    }
    message_.minor = version.back() - '0';
    // After the status was read: a first line that says 200 stays true whatever noise it carries behind.
    if (has_control(line)) return fail(Fault::malformed);
    phase_ = Phase::headers;
}

void Parser::on_header(const std::string& line) {
    const auto colon = line.find(':');
    // A folded line or a space before the colon is how requests are smuggled: not taken.
    if (colon == std::string::npos || !is_token(std::string_view(line).substr(0, colon)) || has_control(line))
        return fail(Fault::malformed);
    if (message_.headers.size() >= most_headers) return fail(Fault::head_too_large);
    message_.headers.add(line.substr(0, colon),
                         std::string(trimmed(std::string_view(line).substr(colon + 1))));
}

void Parser::on_head() {
    head_size_ = 0;
    const auto& headers = message_.headers;
    if (side_ == Side::response && message_.status < 200) {  // 100 Continue: the real answer follows
        if (++interim_ > most_interim) return fail(Fault::malformed);
        message_ = {};
        phase_ = Phase::start;
        return;
    }
    const auto* const coding = headers.find("transfer-encoding");
    const auto* const length = headers.find("content-length");
    if (coding != nullptr && length != nullptr) return fail(Fault::malformed);
    if (coding != nullptr) {
        if (!same_name(*coding, "chunked") || headers.count("transfer-encoding") > 1)
            return fail(Fault::unsupported);
        phase_ = Phase::chunk_size;
    } else if (length != nullptr) {
        if (headers.count("content-length") > 1 || !read_size(*length, 10, left_))
            return fail(Fault::malformed);
        if (left_ > limits_.body) return fail(Fault::body_too_large);
        phase_ = left_ == 0 ? Phase::complete : Phase::sized;
    } else if (side_ == Side::request || message_.status == 204 || message_.status == 304) {
        phase_ = Phase::complete;
    } else {
        phase_ = Phase::to_end;
    }
}

void Parser::on_chunk_size(const std::string& line) {
    head_size_ = 0;
    // Extensions and leading zeros count together for all chunks: a body of a byte a chunk would bring them
    // without end.
    if (line.size() > most_size_digits) chunk_extra_ += line.size() - most_size_digits;
    if (chunk_extra_ > limits_.head) return fail(Fault::head_too_large);
    const auto digits = trimmed(std::string_view(line).substr(0, line.find(';')));
    if (!read_size(digits, 16, left_)) return fail(Fault::malformed);
    if (left_ > limits_.body) return fail(Fault::body_too_large);
    phase_ = left_ == 0 ? Phase::trailers : Phase::chunk;
}

void Parser::end() {
    if (phase_ == Phase::to_end)
        phase_ = Phase::complete;
    else if (phase_ != Phase::complete && started())
        fail(Fault::malformed);
}

std::size_t Parser::memory() const {
    return memory_of(message_.method) + memory_of(message_.target) + memory_of(message_.body) +
           memory_of(line_) + message_.headers.memory();
}

Message Parser::take() {
    auto message = std::exchange(message_, {});
    phase_ = Phase::start;
    head_size_ = chunk_extra_ = 0;
    interim_ = 0;
    line_.clear();
    return message;
}

}  // namespace brasslift::http
