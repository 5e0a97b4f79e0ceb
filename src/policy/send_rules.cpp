#include "policy/send_rules.hpp"

#include <algorithm>

namespace brasslift::policy {
namespace {

// A first byte this close to the end of the grace after a drain notice is not written any more. The notice
// may have come late: where lists are pushed it counts from when the agent had it (cluster/pace.hpp, three
// eighths of the grace and a call's way at most).
constexpr double grace_share = 0.5;

// Of the grace, what a first byte may use: whoever is held up behind this look is still within it.
double usable_grace_ms(double grace_ms) {
    const double certain = grace_ms - held_up_ms - socket_slack_ms;
    return std::max(0.0, std::min(grace_share * grace_ms, certain));
}

}  // namespace

std::string_view name_of(Barrier barrier) {
    switch (barrier) {
        case Barrier::none: return "none";
        case Barrier::over: return "over";
        case Barrier::host_unknown: return "host_unknown";
        case Barrier::out_already: return "out_already";
        case Barrier::attempts_spent: return "attempts_spent";
        case Barrier::wrong_destination: return "wrong_destination";
        case Barrier::may_have_run: return "may_have_run";
        case Barrier::window_over: return "window_over";
        case Barrier::other_group: return "other_group";
        case Barrier::out_of_turn: return "out_of_turn";
        case Barrier::host_leaving: return "host_leaving";
        case Barrier::told_wait: return "told_wait";
        case Barrier::too_late: return "too_late";
    }
    return "";
}

bool breaks_a_rule(Barrier barrier) {
    switch (barrier) {
        case Barrier::out_already:
        case Barrier::attempts_spent:
        case Barrier::wrong_destination:
        case Barrier::may_have_run:
        case Barrier::window_over:
        case Barrier::other_group:
        case Barrier::out_of_turn: return true;
        default: return false;
    }
}

Barrier before_attempt(const ClassSettings& c, const AttemptFacts& facts) {
    if (facts.over) return Barrier::over;
    if (!facts.host_known) return Barrier::host_unknown;
    if (facts.out) return Barrier::out_already;
    if (facts.number >= facts.most_attempts) return Barrier::attempts_spent;
    if (!facts.right_destination) return Barrier::wrong_destination;
    if (facts.may_have_run) {
        if (c.repeat == Repeat::side_effect) return Barrier::may_have_run;
        const bool token = c.repeat == Repeat::token;
        if (token && facts.now >= facts.first_risky + c.window_ms) return Barrier::window_over;
        if (token && c.group_is_zone && !facts.same_zone) return Barrier::other_group;
    }
    return facts.has_turn ? Barrier::none : Barrier::out_of_turn;
}

Barrier before_first_byte(const CallFacts& facts) {
    if (facts.host_gone || facts.host_moved) return Barrier::host_leaving;
    if (facts.now > facts.left_at + usable_grace_ms(facts.drain_grace_ms)) return Barrier::host_leaving;
    if (facts.now < facts.wait_until) return Barrier::told_wait;
    if (facts.now > facts.start_by || facts.now >= facts.expires) return Barrier::too_late;
    return Barrier::none;
}

}  // namespace brasslift::policy
