#include "handover/decide.hpp"

namespace brasslift::handover {

using lifecycle::Phase;

Answer answer_to(const Hello& asked, const Hello& own, Phase phase, bool at_rest) {
    if (asked.format != own.format) return Answer::other_format;
    if (asked.settings != own.settings) return Answer::other_settings;
    if (phase != Phase::ready && phase != Phase::draining) return Answer::not_now;
    return at_rest ? Answer::give : Answer::not_now;
}

std::string_view name_of(Answer answer) {
    switch (answer) {
        case Answer::give: return "gives";
        case Answer::other_format: return "has a state of another format";
        case Answer::other_settings: return "has other settings";
        case Answer::not_now: return "cannot give at the moment";
    }
    return "";
}

Next next_after(Asked asked, bool locked) {
    if (asked == Asked::taken) return Next::resume;
    // Whoever has the store owns the messages, whether he talks or not.
    if (!locked) return Next::start;
    return asked == Asked::not_now || asked == Asked::nobody ? Next::ask_again : Next::wait;
}

}  // namespace brasslift::handover
