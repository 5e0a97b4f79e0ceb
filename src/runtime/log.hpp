// The one way to the log: lines on standard error through spdlog, so many a second and no more.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace brasslift::runtime {

[[gnu::format(printf, 2, 3)]] void log(const char* part, const char* format, ...);
// About one message; `trace`: its context as a traceparent.
[[gnu::format(printf, 3, 4)]] void log_about(const std::string& trace, const char* part, const char* format,
                                             ...);

struct LogLine {
    double wall_ms = 0;  // of the Unix epoch
    std::string_view part, text, trace;
};
// How lines are written from now on, without their end; nothing: as text.
void write_log_as(std::function<std::string(const LogLine&)> format);
// Who else gets each line that is written; nothing: nobody. It may log nothing itself.
void pass_log_to(std::function<void(const LogLine&)> reader);

}  // namespace brasslift::runtime
