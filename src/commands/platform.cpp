#include "commands/platform.hpp"

#include <malloc.h>

#include "runtime/log.hpp"

namespace brasslift::commands {

lang::Platform platform_of(const config::Config& config) {
    lang::Platform platform;
    for (std::size_t i = 0; i < config.classes.size() && i < config.settings.classes.size(); ++i)
        platform.classes.push_back({config.classes[i], config.settings.classes[i].deadline_ms});
    platform.tenants = config.tenants;
    platform.attempts = config.settings.max_attempts;
    platform.dial_timeout_ms = config.dial_timeout_ms;
    platform.most_pause_ms = config.settings.max_pause_ms;
    platform.idle_ms = config.settings.conn_idle_ms;
    return platform;
}

namespace {

plan::Rules checked_rules(const std::string& path, const config::Config& config) {
    const auto platform = platform_of(config);
    lang::Findings findings;
    lang::Document document;
    lang::read(path, lang::Disk(), document, findings);
    auto rules = lang::compile(document, &platform, findings);
    std::string first;
    for (const auto& finding : findings.sorted()) {
        runtime::log("config", "%s", lang::to_text(finding).c_str());
        if (first.empty() && finding.severity == lang::Severity::error) first = lang::to_text(finding);
    }
    if (findings.any_errors()) throw config::BadConfig(first);
    return rules;
}

}  // namespace

std::shared_ptr<const plan::Plan> load_plan(const std::string& path, const config::Config& config) {
    if (path.empty()) return nullptr;
    auto rules = checked_rules(path, config);
    auto plan =
        std::make_shared<const plan::Plan>(std::move(rules), plan::Names{config.classes, config.tenants});
    // The document and its places were many times the plan's size; the memory they leave goes back.
    ::malloc_trim(0);
    return plan;
}

}  // namespace brasslift::commands
