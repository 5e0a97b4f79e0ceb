#include "members/shares.hpp"

#include <algorithm>
#include <vector>

namespace brasslift::members {
namespace {

// Of an equal part, what everybody has whatever he asks for; above what he asks for, what he may have.
constexpr double floor_share = 0.2, headroom = 1.25;
constexpr std::uint32_t worth_moving = whole_part / 20;

}  // namespace

std::uint32_t equal_part(std::size_t members) {
    return static_cast<std::uint32_t>(whole_part / std::max<std::size_t>(1, members));
}

std::map<Id, std::uint32_t> divide(double rate, const std::map<Id, double>& wanted) {
    std::map<Id, std::uint32_t> parts;
    if (wanted.empty() || rate <= 0) return parts;
    const auto count = static_cast<double>(wanted.size());
    const double floor = floor_share / count;
    struct Claim {
        Id id = 0;
        double above = 0;  // the floor, as a part of one
    };
    std::vector<Claim> claims;
    for (const auto& [id, per_second] : wanted)
        claims.push_back({id, std::max(0.0, std::max(0.0, per_second) * headroom / rate - floor)});
    std::sort(claims.begin(), claims.end(), [](const auto& a, const auto& b) {
        return a.above != b.above ? a.above < b.above : a.id < b.id;
    });
    // The smallest claims are met first, each of the others has an equal part of what is left.
    double left = 1 - floor_share;
    auto open = count;
    std::map<Id, double> got;
    for (const auto& claim : claims) {
        got[claim.id] = floor + std::min(claim.above, left / open);
        left -= got[claim.id] - floor;
        --open;
    }
    for (const auto& [id, part] : got)
        parts[id] = static_cast<std::uint32_t>((part + left / count) * whole_part + 1e-9);
    return parts;
}

const v1::Parts* parts_of(const v1::Division& division, const std::string& limit) {
    const auto found = division.limit().find(limit);
    return found == division.limit().end() ? nullptr : &found->second;
}

std::uint32_t part_in(const v1::Parts& parts, Id member) {
    const auto found = parts.part().find(member);
    return found == parts.part().end() ? 0 : found->second;
}

bool differs(const v1::Division& now, const v1::Division& next) {
    if (now.limit().size() != next.limit().size()) return true;
    return std::any_of(next.limit().begin(), next.limit().end(), [&](const auto& limit) {
        const auto* const before = parts_of(now, limit.first);
        if (before == nullptr || before->part().size() != limit.second.part().size()) return true;
        std::uint32_t moved = 0;
        for (const auto& [id, part] : limit.second.part()) {
            if (before->part().count(id) == 0) return true;
            const auto was = part_in(*before, id);
            moved += part > was ? part - was : 0;
        }
        return moved >= worth_moving;
    });
}

}  // namespace brasslift::members
