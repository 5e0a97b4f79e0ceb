#include "runtime/log.hpp"

#include <spdlog/details/log_msg.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <ctime>
#include <memory>
#include <utility>

namespace brasslift::runtime {
namespace {

constexpr int lines_per_second = 50;  // a failing partner must not fill the log or take the core

using Format = std::function<std::string(const LogLine&)>;

// Lines by a function that the program's start chose. The trace is beside the message: spdlog's has no place.
class Formatter : public spdlog::formatter {
public:
    Formatter(Format format, const std::string_view& trace) : format_(std::move(format)), trace_(trace) {}
    void format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& out) override {
        const auto since = msg.time.time_since_epoch();
        auto line = format_({std::chrono::duration<double, std::milli>(since).count(),
                             {msg.logger_name.data(), msg.logger_name.size()},
                             {msg.payload.data(), msg.payload.size()},
                             trace_});
        line += '\n';
        out.append(line.data(), line.data() + line.size());
    }
    std::unique_ptr<spdlog::formatter> clone() const override {
        return std::make_unique<Formatter>(format_, trace_);
    }

private:
    Format format_;
    const std::string_view& trace_;
};

class Log {
public:
    Log() { write_as({}); }

    void write_as(Format format) {
        if (format)
            sink_.set_formatter(std::make_unique<Formatter>(std::move(format), trace_));
        else
            sink_.set_formatter(std::make_unique<spdlog::pattern_formatter>(
                "%E %n: %v", spdlog::pattern_time_type::utc, "\n"));
    }
    void pass_to(std::function<void(const LogLine&)> reader) { reader_ = std::move(reader); }

    void line(std::string_view trace, const char* part, const char* format, std::va_list arguments) {
        const auto now = std::chrono::system_clock::now();
        const auto second = std::chrono::system_clock::to_time_t(now);
        if (second != second_) {
            const int withheld = std::exchange(withheld_, 0);
            second_ = second;
            lines_ = 0;
            if (withheld > 0) write(now, "", "log", std::to_string(withheld) + " lines withheld");
        }
        if (++lines_ > lines_per_second) {
            ++withheld_;
            return;
        }
        char text[512];
        std::vsnprintf(text, sizeof text, format, arguments);
        write(now, trace, part, text);
    }

private:
    void write(std::chrono::system_clock::time_point now, std::string_view trace, std::string_view part,
               std::string_view text) {
        trace_ = trace;
        const spdlog::details::log_msg msg(now, {}, {part.data(), part.size()}, spdlog::level::info,
                                           {text.data(), text.size()});
        sink_.log(msg);
        sink_.flush();
        if (reader_)
            reader_({std::chrono::duration<double, std::milli>(now.time_since_epoch()).count(), part, text,
                     trace});
    }

    spdlog::sinks::stderr_sink_st sink_;
    std::function<void(const LogLine&)> reader_;
    std::string_view trace_;
    std::time_t second_ = 0;
    int lines_ = 0, withheld_ = 0;
};

Log& the_log() {
    static Log log;
    return log;
}

}  // namespace

void log(const char* part, const char* format, ...) {
    std::va_list arguments;
    va_start(arguments, format);
    the_log().line({}, part, format, arguments);
    va_end(arguments);
}

void log_about(const std::string& trace, const char* part, const char* format, ...) {
    std::va_list arguments;
    va_start(arguments, format);
    the_log().line(trace, part, format, arguments);
    va_end(arguments);
}

void write_log_as(std::function<std::string(const LogLine&)> format) {
    the_log().write_as(std::move(format));
}

void pass_log_to(std::function<void(const LogLine&)> reader) { the_log().pass_to(std::move(reader)); }

}  // namespace brasslift::runtime
