#include "dispatch/event_log.hpp"

#include <cerrno>
#include <cstring>

#include "runtime/log.hpp"

namespace brasslift::dispatch {

std::string_view name_of(Step step) {
    switch (step) {
        case Step::refused: return "refused";
        case Step::taken: return "taken";
        case Step::restored: return "restored";
        case Step::withdrawn: return "withdrawn";
        case Step::sent: return "sent";
        case Step::unsent: return "unsent";
        case Step::landed: return "landed";
        case Step::sleeps: return "sleeps";
        case Step::ended: return "ended";
        case Step::notice_answered: return "notice_answered";
    }
    return "";
}

void EventLog::append_to(const std::string& path) {
    file_.reset();
    if (path.empty()) return;
    file_.reset(std::fopen(path.c_str(), "ae"));
    if (!file_) return runtime::log("events", "%s: %s", path.c_str(), std::strerror(errno));
    // A line is whole or missing where the process is killed.
    std::setvbuf(file_.get(), nullptr, _IOLBF, 4096);
}

std::string EventLog::line_of(const MessageEvent& e) {
    char text[256];
    const auto step = name_of(e.step);
    std::snprintf(text, sizeof text, "%.3f %.*s id=%llu name=%.*s", e.at, static_cast<int>(step.size()),
                  step.data(), static_cast<unsigned long long>(e.id), static_cast<int>(e.name.size()),
                  e.name.data());
    std::string line = text;
    if (e.attempt >= 0) {
        line += " host=" + std::to_string(e.host.address);
        line += " attempt=" + std::to_string(e.attempt);
    }
    if (!e.reason.empty()) line += " reason=" + std::string(e.reason);
    if (e.together > 1) line += " together=" + std::to_string(e.together);
    if (e.status > 0) line += " status=" + std::to_string(e.status);
    if (e.connection.number > 0)
        line += " connection=" + std::to_string(e.connection.number) +
                " calls_before=" + std::to_string(e.connection.calls_before);
    if (e.connection.calls_before > 0)
        line += " idle_before_ms=" + std::to_string(static_cast<long long>(e.connection.idle_before_ms));
    if (e.wait_ms > 0) line += " wait_ms=" + std::to_string(static_cast<long long>(e.wait_ms));
    return line;
}

void EventLog::note(const MessageEvent& event) {
    auto& kept = ring_[noted_++ % ring_.size()];
    kept.event = event;
    kept.name = event.name;
    append(line_of(event));
}

void EventLog::note(const ConnectionEvent& e) {
    char text[256];
    std::snprintf(text, sizeof text,
                  "%.3f connection_closed id=%llu reason=%.*s answered=%llu unanswered_bytes=%zu", e.at,
                  static_cast<unsigned long long>(e.connection), static_cast<int>(e.reason.size()),
                  e.reason.data(), static_cast<unsigned long long>(e.answered), e.unanswered_bytes);
    append(text);
}

void EventLog::note(const EndpointConnectionEvent& e) {
    char text[256];
    std::snprintf(text, sizeof text,
                  "%.3f endpoint_connection_closed id=%llu host=%u reason=%.*s calls=%u idle_ms=%.1f", e.at,
                  static_cast<unsigned long long>(e.connection), e.host.address,
                  static_cast<int>(e.reason.size()), e.reason.data(), e.calls, e.idle_ms);
    append(text);
}

void EventLog::append(const std::string& line) {
    if (!file_) return;
    if (std::fputs((line + '\n').c_str(), file_.get()) >= 0) return;
    runtime::log("events", "a line cannot be written: %s; no more are", std::strerror(errno));
    file_.reset();
}

std::vector<std::string> EventLog::about(MessageId id) const {
    std::vector<std::string> lines;
    const auto count = std::min<std::uint64_t>(noted_, ring_.size());
    for (auto at = noted_ - count; at < noted_; ++at) {
        const auto& kept = ring_[at % ring_.size()];
        if (kept.event.id != id) continue;
        auto event = kept.event;
        event.name = kept.name;
        lines.push_back(line_of(event));
    }
    return lines;
}

}  // namespace brasslift::dispatch
