#include "admin/figures.hpp"

#include "dispatch/names.hpp"

namespace brasslift::admin {
namespace {

void add(std::string& text, std::string_view name, std::string_view of, std::uint64_t value, char kind) {
    text += "app.";
    text += name;
    if (!of.empty()) text += '.';
    text += of;
    text += ':' + std::to_string(value) + '|' + kind + '\n';
}

void add_counts(std::string& text, const dispatch::Counts& counts) {
    for (std::size_t i = 0; i < counts.refused.size(); ++i)
        add(text, "refused", dispatch::name_of(static_cast<dispatch::Refusal>(i)), counts.refused[i], 'c');
    for (std::size_t i = 0; i < counts.attempts.size(); ++i)
        add(text, "attempts", dispatch::name_of(static_cast<Result>(i)), counts.attempts[i], 'c');
    add(text, "attempts_unsent", "", counts.unsent, 'c');
    add(text, "attempts_retried", "", counts.retried, 'c');
    add(text, "messages_restored", "", counts.restored, 'c');
    add(text, "notices_answered", "", counts.notices_answered, 'c');
    add(text, "ends_in_doubt", "", counts.ends_in_doubt, 'c');
    add(text, "records_unwritten", "", counts.records_unwritten, 'c');
    std::uint64_t violations = counts.stale_turns;
    for (std::size_t i = 0; i < counts.withheld.size(); ++i)
        if (policy::breaks_a_rule(static_cast<policy::Barrier>(i))) violations += counts.withheld[i];
    add(text, "rule_violations", "", violations, 'c');
}

void add_barriers(std::string& text, std::string_view name, const upstream::Pool::Withheld& withheld) {
    for (std::size_t i = 1; i < withheld.size(); ++i)
        if (withheld[i] > 0)
            add(text, name, policy::name_of(static_cast<policy::Barrier>(i)), withheld[i], 'c');
}

void add_clients(std::string& text, const downstream::Server& server) {
    const auto& closed = server.closed();
    for (std::size_t i = 0; i < closed.size(); ++i)
        add(text, "clients_closed", downstream::name_of(static_cast<downstream::ClosedBy>(i)), closed[i],
            'c');
    add(text, "clients_unanswered", "", server.unanswered(), 'c');
    add(text, "clients_ended_with_unanswered", "", server.ended_with_unanswered(), 'c');
    add(text, "accepts_failed", "", server.accepts_failed(), 'c');
}

void add_connections(std::string& text, const upstream::ConnectionFigures& connections) {
    add(text, "connections_opened", "", connections.opened, 'c');
    add(text, "connections_reused", "", connections.reused, 'c');
    for (std::size_t i = 0; i < connections.closed.size(); ++i)
        add(text, "connections_closed", upstream::name_of(static_cast<upstream::ClosedBy>(i)),
            connections.closed[i], 'c');
}

}  // namespace

std::string statsd(const Page& page) {
    std::string text;
    for (std::size_t i = 0; i < page.classes.size() && i < page.figures.size(); ++i) {
        const auto& name = page.classes[i];
        add(text, "fulfilled", name, page.figures[i].fulfilled, 'c');
        add(text, "throttled", name, page.figures[i].throttled, 'c');
        add(text, "faulted", name, page.figures[i].faulted, 'c');
    }
    add(text, "relayed", "", page.relayed, 'c');
    add(text, "open_requests", "", page.open, 'g');
    add(text, "registry_entries", "", page.listed, 'g');
    add(text, "out_of_rotation", "", page.avoided, 'g');
    add(text, "cfg_accepted", "", page.configs_taken, 'c');
    add(text, "cfg_invalid", "", page.configs_refused, 'c');
    add_counts(text, page.counts);
    add_barriers(text, "attempts_withheld", page.counts.withheld);
    add_barriers(text, "calls_withheld", page.withheld);
    add_connections(text, page.connections);
    add_clients(text, page.server);
    return text;
}

}  // namespace brasslift::admin
