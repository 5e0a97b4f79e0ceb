#include "commands/list_entries.hpp"

#include <algorithm>

#include "commands/platform.hpp"
#include "commands/rule_files.hpp"

namespace brasslift::commands {

const plan::ListRule* Declared::find(const std::string& name) const {
    const auto found =
        std::find_if(lists.begin(), lists.end(), [&](const auto& rule) { return rule.name == name; });
    return found == lists.end() ? nullptr : &*found;
}

Declared declared_in(const members::v1::RuleSet& rules, const config::Config& config) {
    lang::Findings findings;
    lang::Document document;
    read_rules(rules, document, findings);
    const auto platform = platform_of(config);
    return {lang::compile(document, &platform, findings).lists, lang::destination_names(document)};
}

std::string judge_change(const members::v1::ListChange& change, const Declared& declared,
                         const config::Config& config) {
    const auto* const rule = declared.find(change.name());
    const auto of_list = "list " + change.name() + ": ";
    // Entries whose declaration went with the rules lie there without effect, and may be taken away.
    if (rule == nullptr && change.put().empty()) return {};
    if (rule == nullptr) return of_list + "the rules declare no such list";
    const auto platform = platform_of(config);
    if (change.put().empty()) return {};
    if (static_cast<std::uint32_t>(rule->kind) != change.kind())
        return of_list + "the rules say that its entries are of another kind";
    for (const auto& entry : change.put())
        if (auto why = lang::judge_entry(entry.key(), rule->kind, &platform); !why.empty())
            return of_list + why;
    return {};
}

std::string judge_lists(const std::vector<plan::ListRule>& declared, const members::Lists& lists) {
    for (const auto& rule : declared) {
        const auto* const list = lists.find(rule.name);
        if (list != nullptr && !list->entries.empty() && list->kind != static_cast<std::uint32_t>(rule.kind))
            return "list " + rule.name + " has entries of another kind; empty it first";
    }
    return {};
}

bool split_change(const std::string& lines, std::string& put, std::string& drop) {
    std::string_view rest = lines;
    while (!rest.empty()) {
        const auto line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        if (!line.empty() && line.front() != '+' && line.front() != '-') return false;
        if (!line.empty()) {
            auto& into = line.front() == '+' ? put : drop;
            into += ' ';
            into += line.substr(1);
        }
        put += '\n';
        drop += '\n';
    }
    return true;
}

plan::ListChange to_plan(const members::v1::ListChange& change) {
    plan::ListChange out;
    out.name = change.name();
    out.kind = static_cast<plan::ListKind>(change.kind());
    out.whole = change.whole();
    out.put.reserve(static_cast<std::size_t>(change.put_size()));
    for (const auto& entry : change.put()) out.put.emplace_back(entry.key(), entry.value());
    out.drop.assign(change.drop().begin(), change.drop().end());
    return out;
}

}  // namespace brasslift::commands
