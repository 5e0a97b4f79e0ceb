#include "members/agreed.hpp"

#include <xxhash.h>

#include <cstdio>

namespace brasslift::members {

std::string digest_of(const v1::RuleSet& rules) {
    std::string all;
    for (const auto& file : rules.file())
        for (const std::string* part : {&file.path(), &file.text()})
            all += std::to_string(part->size()) + ':' + *part;
    const auto hash = XXH3_128bits(all.data(), all.size());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

std::size_t bytes_of(const v1::RuleSet& rules) {
    std::size_t bytes = 0;
    for (const auto& file : rules.file()) bytes += file.path().size() + file.text().size();
    return bytes;
}

const v1::Version* Agreed::find(std::uint64_t number) const {
    const auto found = versions_.find(number);
    return found == versions_.end() ? nullptr : &found->second;
}

const v1::Version* Agreed::by_ticket(const std::string& ticket) const {
    for (const auto& [number, version] : versions_)
        if (version.ticket() == ticket) return &version;
    return nullptr;
}

Agreed::Verdict Agreed::apply(const v1::Command& command) {
    if (command.has_publish()) return publish(command.publish());
    if (!command.has_settle()) return {false, current_, "an entry of a later program"};
    const auto version = command.settle().version();
    if (version != current_) return {false, current_, "another version is current"};
    settled_ = version;
    return {true, version, ""};
}

Agreed::Verdict Agreed::publish(const v1::Publish& publish) {
    if (const auto* const known = by_ticket(publish.version().ticket()); known != nullptr)
        return {true, known->number(), ""};
    if (publish.base() != current_) {
        const auto* const now = find(current_);
        return {false, current_,
                "version " + std::to_string(current_) + " by " + (now == nullptr ? "nobody" : now->who()) +
                    " came first; look at it and publish again"};
    }
    if (settled_ != current_)
        return {false, current_, "version " + std::to_string(current_) + " is still being switched to"};
    auto& version = versions_[current_ + 1] = publish.version();
    version.set_number(++current_);
    forget_old();
    return {true, current_, ""};
}

void Agreed::forget_old() {
    std::size_t bytes = 0;
    for (const auto& [number, version] : versions_) bytes += bytes_of(version.rules());
    while (versions_.size() > 2 && (versions_.size() > most_versions || bytes > most_bytes)) {
        bytes -= bytes_of(versions_.begin()->second.rules());
        versions_.erase(versions_.begin());
    }
}

std::string Agreed::save() const {
    v1::State state;
    state.set_current(current_);
    state.set_settled(settled_);
    for (const auto& [number, version] : versions_) *state.add_version() = version;
    return state.SerializeAsString();
}

bool Agreed::load(const std::string& bytes) {
    v1::State state;
    if (!state.ParseFromString(bytes)) return false;
    current_ = state.current();
    settled_ = state.settled();
    versions_.clear();
    for (auto& version : *state.mutable_version()) versions_[version.number()] = std::move(version);
    return true;
}

}  // namespace brasslift::members
