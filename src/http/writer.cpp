#include "http/writer.hpp"

namespace brasslift::http {
namespace {

std::string_view reason(int status) {
    switch (status) {
        case 100: return "Continue";
        case 200: return "OK";
        case 202: return "Accepted";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 405: return "Method Not Allowed";
        case 409: return "Conflict";
        case 408: return "Request Timeout";
        case 413: return "Content Too Large";
        case 429: return "Too Many Requests";
        case 431: return "Request Header Fields Too Large";
        case 501: return "Not Implemented";
        case 503: return "Service Unavailable";
        case 505: return "HTTP Version Not Supported";
        default: return "Status";
    }
}

void finish(std::string& text, const HeaderList& headers, std::string_view body) {
    for (const auto& [name, value] : headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
}

}  // namespace

std::string write_request(std::string_view method, std::string_view target, const HeaderList& headers,
                          std::string_view body) {
    std::string text(method);
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    finish(text, headers, body);
    return text;
}

std::string write_response(int status, const HeaderList& headers, std::string_view body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += reason(status);
    text += "\r\n";
    finish(text, headers, body);
    return text;
}

void add_frame(std::string& body, std::string_view id, std::string_view key, std::string_view bytes) {
    body += id;
    body += ' ';
    body += key.empty() ? std::string_view("-") : key;
    body += ' ' + std::to_string(bytes.size()) + "\r\n";
    body += bytes;
    body += "\r\n";
}

std::optional<std::vector<std::pair<std::string, std::string>>> read_endings(std::string_view body) {
    std::vector<std::pair<std::string, std::string>> endings;
    while (!body.empty()) {
        const auto end = body.find('\n');
        auto line = body.substr(0, end);
        body = end == std::string_view::npos ? std::string_view{} : body.substr(end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        if (line.empty()) continue;
        const auto space = line.find(' ');
        if (space == std::string_view::npos || space == 0 || space + 1 == line.size()) return std::nullopt;
        endings.emplace_back(line.substr(0, space), line.substr(space + 1));
    }
    return endings;
}

}  // namespace brasslift::http
