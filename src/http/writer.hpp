// HTTP/1.1 messages and bulk frames to and from bytes.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brasslift::http {

using HeaderList = std::vector<std::pair<std::string_view, std::string>>;

std::string write_request(std::string_view method, std::string_view target, const HeaderList& headers,
                          std::string_view body);
std::string write_response(int status, const HeaderList& headers, std::string_view body);

// One message of a bulk body: id, key or '-', length; then its bytes.
void add_frame(std::string& body, std::string_view id, std::string_view key, std::string_view bytes);

// The answer to a bulk call: id and ending, a line each; nothing where a line cannot be read.
std::optional<std::vector<std::pair<std::string, std::string>>> read_endings(std::string_view body);

}  // namespace brasslift::http
