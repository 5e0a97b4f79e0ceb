#include "members/setup.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace brasslift::members {

std::uint64_t chance() {
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

std::uint64_t budget_of(double disk_bytes) {
    return static_cast<std::uint64_t>(std::min(disk_bytes * folder_share / 4, 16e6));
}

Table table_of(const plan::MembersRule& rule, double disk_bytes) {
    Table table;
    // The log, its snapshot and the copies that compaction makes of them all have to fit.
    if (disk_bytes > 0) {
        const auto budget = static_cast<std::size_t>(budget_of(disk_bytes));
        table.most_rules_bytes = std::min(table.most_rules_bytes, budget / 64);
        table.most_part_bytes = std::min(table.most_part_bytes, budget / 64);
        table.lists.bytes = budget / 6;
    }
    table.cluster = rule.cluster;
    table.shares_list = rule.shares_list;
    table.contradiction_ms = rule.contradiction_ms;
    for (const auto& member : rule.members)
        table.peers.push_back({id_of(member.name), member.name, member.voter});
    return table;
}

std::unique_ptr<StoreJournal> journal_in(const std::string& state_folder, double disk_bytes,
                                         const plan::MembersRule& rule) {
    auto journal =
        std::make_unique<StoreJournal>(members_folder(state_folder), budget_of(disk_bytes),
                                       rule.synced ? store::Durability::each : store::Durability::none);
    if (!journal->open(chance())) throw std::runtime_error(journal->why());
    return journal;
}

}  // namespace brasslift::members
