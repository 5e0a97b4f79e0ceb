#include "upstream/outcome.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>

#include "http/writer.hpp"

namespace brasslift::upstream {
namespace {

constexpr double most_wait_ms = 600000;

double told_wait(const http::Headers& headers) {
    const auto* const text = headers.find("X-RateLimit-Wait-Ms");
    if (text == nullptr) return 0;
    char* end = nullptr;
    const double wait = std::strtod(text->c_str(), &end);
    return text->empty() || *end != '\0' || !std::isfinite(wait) ? 0 : std::clamp(wait, 0.0, most_wait_ms);
}

Fate of_ending(const std::string& ending, double wait_ms) {
    if (ending == "done") return {Result::ok, true, wait_ms};
    if (ending == "failed") return {Result::error, false, wait_ms};
    if (ending == "busy") return {Result::full, false, wait_ms};
    if (ending == "void") return {Result::moot, true, wait_ms};
    if (ending == "used_up") return {Result::moot, false, wait_ms};
    return {Result::error, false, wait_ms};
}

}  // namespace

Report report_of(const http::Headers& headers, const std::vector<std::string>& fields) {
    const auto* const text = headers.find("Srv-Load");
    if (text == nullptr || fields.empty()) return {};
    Report report(fields.size(), std::numeric_limits<double>::quiet_NaN());
    for (std::string_view rest = *text; !rest.empty();) {
        const auto comma = rest.find(',');
        const auto part = http::trimmed(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        const auto equals = part.find('=');
        if (equals == std::string_view::npos) continue;
        const auto place = std::find(fields.begin(), fields.end(), http::trimmed(part.substr(0, equals)));
        if (place == fields.end()) continue;
        const std::string value(http::trimmed(part.substr(equals + 1)));
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        if (!value.empty() && *end == '\0' && std::isfinite(number))
            report[static_cast<std::size_t>(place - fields.begin())] = number;
    }
    return report;
}

Fate fate_of(const Ended& ended, const http::Headers& headers) {
    switch (ended.progress) {
        case Progress::not_connected:
        case Progress::connected:
        case Progress::partly_written:
            // Its last byte was never written: it cannot have run.
            return {ended.cause == Cause::not_allowed ? Result::moot : Result::connect_failed, false, 0};
        case Progress::fully_written:
            return {ended.cause == Cause::timed_out ? Result::timeout : Result::reset, false, 0};
        case Progress::answered: break;
    }
    if (ended.cause == Cause::spoilt) return {Result::spoilt, false, 0};
    const double wait = told_wait(headers);
    switch (ended.status) {
        case 200: return {Result::ok, true, wait};
        case 410: return {Result::moot, true, wait};
        case 504: return {Result::moot, false, wait};
        case 429: return {Result::full, false, wait};
        case 503: {
            const auto* const over = headers.find("X-Over-Slots");
            return {over != nullptr && *over == "1" ? Result::moot : Result::full, false, wait};
        }
        default: return {Result::error, false, wait};
    }
}

std::vector<Fate> fates_of(const Ended& ended, const http::Message& answer,
                           const std::vector<std::string>& names) {
    auto shared = fate_of(ended, answer.headers);
    // 400 and 413 to a bulk call say that nothing of it has run.
    const bool sound = ended.progress == Progress::answered && ended.cause != Cause::spoilt;
    if (sound && (ended.status == 400 || ended.status == 413)) shared = {Result::moot, false, 0};
    std::vector<Fate> fates(names.size(), shared);
    if (!sound || ended.status != 200) return fates;
    const auto endings = http::read_endings(answer.body);
    std::map<std::string, std::string> by_name;
    if (endings) by_name.insert(endings->begin(), endings->end());
    if (!endings) return std::vector<Fate>(names.size(), {Result::spoilt, false, 0});
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto found = by_name.find(names[i]);
        // An answer that leaves a message out says nothing of it: it may have run.
        fates[i] = found == by_name.end() ? Fate{Result::reset, false, shared.wait_ms}
                                          : of_ending(found->second, shared.wait_ms);
    }
    return fates;
}

}  // namespace brasslift::upstream
