#include "commands/rule_files.hpp"

#include <filesystem>

#include "commands/platform.hpp"

namespace brasslift::commands {
namespace {

namespace fs = std::filesystem;

// Reads from the disk and keeps what was read.
class Recorder : public lang::Files {
public:
    std::variant<std::string, Failure> find(const std::string& path) const override {
        return disk_.find(path);
    }
    std::variant<std::string, Failure> read(const std::string& path, std::size_t most) const override {
        auto found = disk_.read(path, most);
        if (const auto* const text = std::get_if<std::string>(&found); text != nullptr)
            read_.emplace_back(path, *text);
        return found;
    }
    const std::vector<std::pair<std::string, std::string>>& all() const { return read_; }

private:
    lang::Disk disk_;
    mutable std::vector<std::pair<std::string, std::string>> read_;
};

void check_sections(const lang::Document& document, lang::Findings& findings) {
    const auto& config = document.config;
    const auto own = [&](bool has, const google::protobuf::Message& section, const char* name) {
        if (has)
            findings.error(document.places.of(section),
                           std::string(name) + " is each dispatcher's own and no part of the rules",
                           "write it into the file that serve is started with");
    };
    own(config.has_bounds(), config.bounds(), "bounds");
    own(config.has_telemetry(), config.telemetry(), "telemetry");
    own(config.has_log(), config.log(), "log");
    own(config.has_store(), config.store(), "store");
    own(config.has_members(), config.members(), "members");
}

}  // namespace

Bundle::Bundle(const members::v1::RuleSet& rules) {
    for (const auto& file : rules.file()) files_.emplace("/" + file.path(), file.text());
}

std::variant<std::string, lang::Files::Failure> Bundle::find(const std::string& path) const {
    const auto canonical = (fs::path("/") / path).lexically_normal().string();
    if (files_.count(canonical) == 0) return Failure{"there is no such file among the published ones"};
    return canonical;
}

std::variant<std::string, lang::Files::Failure> Bundle::read(const std::string& path,
                                                             std::size_t most) const {
    const auto found = files_.find(path);
    if (found == files_.end()) return Failure{"there is no such file among the published ones"};
    if (found->second.size() > most) return Failure{"it is larger than " + std::to_string(most) + " bytes"};
    return found->second;
}

members::v1::RuleSet gather(const std::string& path, lang::Findings& findings) {
    Recorder files;
    lang::Document document;
    lang::read(path, files, document, findings);
    if (document.whole) check_sections(document, findings);
    members::v1::RuleSet rules;
    fs::path root;
    for (const auto& [canonical, text] : files.all()) {
        if (root.empty()) root = fs::path(canonical).parent_path();
        auto* const file = rules.add_file();
        file->set_path(fs::path(canonical).lexically_relative(root).string());
        file->set_text(text);
    }
    return rules;
}

void read_rules(const members::v1::RuleSet& rules, lang::Document& document, lang::Findings& findings) {
    if (rules.file().empty()) return findings.error({}, "there is no file", "publish one");
    lang::read(rules.file(0).path(), Bundle(rules), document, findings);
    if (document.whole) check_sections(document, findings);
}

Compiled compile_rules(const members::v1::RuleSet& rules, const config::Config& config) {
    lang::Findings findings;
    lang::Document document;
    read_rules(rules, document, findings);
    const auto platform = platform_of(config);
    auto compiled = lang::compile(document, &platform, findings);
    for (const auto& finding : findings.sorted())
        if (finding.severity == lang::Severity::error) return {nullptr, lang::to_text(finding)};
    try {
        return {std::make_shared<const plan::Plan>(std::move(compiled),
                                                   plan::Names{config.classes, config.tenants}),
                ""};
    } catch (const plan::TooManyCells& entry) {
        return {nullptr, std::string("\"") + entry.what() + "\" matches too many combinations"};
    }
}

}  // namespace brasslift::commands
