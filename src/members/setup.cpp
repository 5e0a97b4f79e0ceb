#include "members/setup.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace brasslift::members {

std::uint64_t chance() {
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

Table table_of(const plan::MembersRule& rule) {
    Table table;
    table.cluster = rule.cluster;
    table.contradiction_ms = rule.contradiction_ms;
    for (const auto& member : rule.members)
        table.peers.push_back({id_of(member.name), member.name, member.voter});
    return table;
}

std::uint64_t budget_of(double disk_bytes) {
    return static_cast<std::uint64_t>(std::min(disk_bytes * folder_share / 4, 16e6));
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
