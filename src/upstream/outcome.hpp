// The outcome table of the platform's protocol: from how far an attempt came to what the module is told.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dispatch/types.hpp"
#include "http/message.hpp"

namespace brasslift::upstream {

using dispatch::Progress;
// not_allowed: the rules forbade its first byte; spoilt: an answer came that cannot be read.
enum class Cause { none, broken, timed_out, not_allowed, spoilt };

struct Ended {
    Progress progress = Progress::not_connected;
    Cause cause = Cause::none;
    int status = 0;  // of the answer's first line, 0 if none came
};

struct Fate {
    Result result = Result::ok;
    bool over = false;
    double wait_ms = 0;
};

// The load report that an answer carries, by the fields that the settings name; empty: none. A field that is
// missing or cannot be read is no number.
Report report_of(const http::Headers& headers, const std::vector<std::string>& fields);

// Of one message; headers only where an answer came. A spoilt answer comes from a host that has run the call:
// nothing it says is believed, but for the first line of a single call's answer where that says 200.
Fate fate_of(const Ended& ended, const http::Headers& headers);
// Of each message of a bulk call, in the order of `names`.
std::vector<Fate> fates_of(const Ended& ended, const http::Message& answer,
                           const std::vector<std::string>& names);

}  // namespace brasslift::upstream
