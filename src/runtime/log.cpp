#include "runtime/log.hpp"

#include <cstdarg>
#include <cstdio>
#include <ctime>

namespace brasslift::runtime {
namespace {

constexpr int lines_per_second = 50;  // a failing partner must not fill the log or take the core

}  // namespace

void log(const char* part, const char* format, ...) {
    static std::time_t second = 0;
    static int lines = 0, withheld = 0;
    const std::time_t now = std::time(nullptr);
    if (now != second) {
        if (withheld > 0) std::fprintf(stderr, "log: %d lines withheld\n", withheld);
        second = now;
        lines = withheld = 0;
    }
    if (++lines > lines_per_second) {
        ++withheld;
        return;
    }
    char text[512];
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    std::fprintf(stderr, "%lld %s: %s\n", static_cast<long long>(now), part, text);
}

}  // namespace brasslift::runtime
