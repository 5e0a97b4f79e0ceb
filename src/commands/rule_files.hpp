// A rule set between its files, the members and a plan.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "brasslift/members/v1/members.pb.h"
#include "config/config.hpp"
#include "lang/load.hpp"
#include "plan/plan.hpp"

namespace brasslift::commands {

// The files of a published rule set, by their paths in it.
class Bundle : public lang::Files {
public:
    explicit Bundle(const members::v1::RuleSet& rules);
    std::variant<std::string, Failure> find(const std::string& path) const override;
    std::variant<std::string, Failure> read(const std::string& path, std::size_t most) const override;

private:
    std::map<std::string, std::string> files_;
};

// A file and what it includes, as a rule set. What cannot be read is in the findings.
members::v1::RuleSet gather(const std::string& path, lang::Findings& findings);

// Reads it; its faults have their file, line and column.
void read_rules(const members::v1::RuleSet& rules, lang::Document& document, lang::Findings& findings);

struct Compiled {
    std::shared_ptr<const plan::Plan> plan;  // none where `why` says why
    std::string why;
};
// For this platform. Sections that are each dispatcher's own do not belong to a rule set.
Compiled compile_rules(const members::v1::RuleSet& rules, const config::Config& config);

}  // namespace brasslift::commands
