// The table of hosts against a plain model of discovery's lists, and its bounds.
#include "cluster/table.hpp"

#include <gtest/gtest.h>

#include <ctime>
#include <map>
#include <random>
#include <set>
#include <string>

namespace brasslift::cluster {
namespace {

runtime::Address address_of(std::uint32_t number) { return {0x0100007fU + (number << 8), 9}; }

Listing line_of(std::uint32_t destination, ListingState state, double weight = 1) {
    Listing line;
    line.destination = static_cast<decltype(line.destination)>(destination);
    line.state = state;
    line.weight = weight;
    return line;
}

// What holds, the slow and plain way.
struct Model {
    struct Host {
        runtime::Address address;
        Listing line;
        Time gone_at = 0;
    };
    std::map<std::string, Host> hosts;

    void put(const std::string& uid, runtime::Address address, const Listing& line, Time now) {
        const bool gone = line.state == ListingState::gone;
        auto found = hosts.find(uid);
        if (found == hosts.end()) {
            if (gone || address.port == 0) return;
            found = hosts.emplace(uid, Host{}).first;
            found->second.line.state = ListingState::gone;
            found->second.gone_at = now;
        }
        auto& host = found->second;
        if (address.port != 0) host.address = address;
        const bool was_gone = host.line.state == ListingState::gone;
        host.line = line;
        if (gone && !was_gone) host.gone_at = now;
        if (line.state != ListingState::ready) return;
        for (auto& [other_uid, other] : hosts)
            if (&other != &host && other.address == host.address) leave(other, now);
    }
    static void leave(Host& host, Time now) {
        if (host.line.state == ListingState::gone) return;
        host.line.state = ListingState::gone;
        host.gone_at = now;
    }
    void forget(Time before) {
        std::erase_if(hosts, [&](const auto& host) {
            return host.second.line.state == ListingState::gone && host.second.gone_at <= before;
        });
    }
    std::size_t listed() const {
        std::size_t count = 0;
        for (const auto& [uid, host] : hosts) count += host.line.state != ListingState::gone ? 1 : 0;
        return count;
    }
};

// What both say of every host and of every destination. Hosts that have gone may be forgotten sooner or
// later.
void expect_alike(const Table& table, const Model& model, const std::string& when) {
    std::map<std::uint32_t, std::set<std::string>> by_destination, seen;
    for (const auto& [uid, host] : model.hosts) {
        const auto slot = table.find(uid);
        if (host.line.state == ListingState::gone) {
            if (slot != no_slot) {
                EXPECT_EQ(table.at(slot)->listing.state, ListingState::gone) << when << uid;
            }
            continue;
        }
        ASSERT_NE(slot, no_slot) << when << uid;
        const auto known = table.at(slot);
        ASSERT_TRUE(known) << when << uid;
        EXPECT_EQ(known->uid, uid) << when;
        EXPECT_EQ(known->address, host.address) << when << uid;
        EXPECT_EQ(known->listing.state, host.line.state) << when << uid;
        EXPECT_EQ(known->listing.destination, host.line.destination) << when << uid;
        EXPECT_EQ(known->listing.weight, host.line.weight) << when << uid;
        by_destination[host.line.destination].insert(uid);
    }
    for (std::uint32_t destination = 0; destination < 8; ++destination) {
        std::vector<Slot> slots;
        table.hosts_of(destination, slots);
        for (const auto slot : slots)
            if (const auto host = table.at(slot); host->listing.state != ListingState::gone)
                seen[destination].insert(std::string(host->uid));
        EXPECT_EQ(seen[destination], by_destination[destination]) << when << destination;
        if (!by_destination[destination].empty()) {
            EXPECT_TRUE(table.knows(destination)) << when;
        }
    }
}

TEST(Table, SaysWhatDiscoverySaidThroughAnyOrderOfChangesAndLists) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](unsigned most) { return static_cast<std::uint32_t>(random() % most); };
        Table table;
        Model model;
        Time now = 0;
        std::set<std::uint32_t> numbers;
        for (int step = 0; step < 120; ++step) {
            const auto when = "seed " + std::to_string(seed) + " step " + std::to_string(step) + ": ";
            now += draw(4);
            const auto uid_of = [](std::uint32_t i) {
                // Some are longer than what a record holds itself.
                return i % 3 == 0 ? "a-uid-that-is-long-" + std::to_string(i) : "s-" + std::to_string(i);
            };
            const auto state_of = [&] {
                const auto d = draw(10);
                return d < 6 ? ListingState::ready : d < 8 ? ListingState::draining : ListingState::gone;
            };
            if (draw(4) != 0) {
                const auto uid = uid_of(draw(20));
                const auto address = draw(8) == 0 ? runtime::Address{} : address_of(draw(12));
                const auto line = line_of(draw(8), state_of(), draw(3));
                std::vector<Slot> left;
                table.put(uid, address, line, now, left);
                model.put(uid, address, line, now);
            } else if (draw(4) == 0) {
                std::vector<Table::Forgotten> forgotten;
                table.forget(now - 5, 1000, forgotten);
                model.forget(now - 5);
            } else {
                const bool cut = draw(3) == 0;
                Model next = model;
                std::set<std::string> named;
                table.begin_whole();
                std::map<std::string, std::uint32_t> at_address;
                for (auto lines = draw(25); lines > 0; --lines) {
                    const auto i = draw(20);
                    const auto uid = uid_of(i);
                    const auto address = address_of(draw(30));
                    // A whole list names what is there.
                    const auto line = line_of(
                        draw(8), draw(4) == 0 ? ListingState::draining : ListingState::ready, draw(3));
                    table.stage(uid, address, line);
                    next.put(uid, address, line, now);
                    named.insert(uid);
                    // Until its end nobody sees any of it.
                    if (draw(5) == 0) expect_alike(table, model, when + "staged, ");
                }
                if (cut) {
                    table.abort();
                    expect_alike(table, model, when + "cut, ");
                } else {
                    table.commit();
                    for (auto& [uid, host] : next.hosts)
                        if (named.count(uid) == 0) Model::leave(host, now);
                    model = next;
                    EXPECT_EQ(table.listed(), model.listed()) << when;
                    expect_alike(table, model, when + "committed, ");
                }
                while (!table.sweep(1 + draw(7), now)) expect_alike(table, model, when + "swept, ");
            }
            expect_alike(table, model, when);
            EXPECT_EQ(table.listed(), model.listed()) << when;
            if (::testing::Test::HasFailure()) return;
        }
    }
}

TEST(Table, KeepsNumbersThroughListsAndNeverGivesOneTwice) {
    Table table;
    std::vector<Slot> left;
    const auto first = table.at(table.put("s-1", address_of(1), line_of(1, ListingState::ready), 0, left));
    const auto number = first->listing.endpoint.address;
    for (int round = 0; round < 9; ++round) {
        table.begin_whole();
        table.stage("s-1", address_of(static_cast<std::uint32_t>(round)), line_of(1, ListingState::ready));
        table.commit();
        while (!table.sweep(1, 0)) continue;
        EXPECT_EQ(table.at(table.find("s-1"))->listing.endpoint.address, number);
        EXPECT_EQ(table.size(), 1u);
    }
    std::vector<Table::Forgotten> forgotten;
    table.leave(table.find("s-1"), 1);
    table.forget(1, 10, forgotten);
    ASSERT_EQ(forgotten.size(), 1u);
    EXPECT_EQ(forgotten[0].number, number);
    EXPECT_TRUE(table.knows(1));  // a list may shrink to nothing and come back
    EXPECT_FALSE(table.knows(2));
    const auto again = table.at(table.put("s-1", address_of(1), line_of(1, ListingState::ready), 2, left));
    EXPECT_NE(again->listing.endpoint.address, number);
}

TEST(Table, RemembersWhatItIsToldOfASleeperAndCarriesItThroughAList) {
    Table table(1000);
    std::vector<Slot> left;
    const auto slot = table.put("s-1", address_of(1), line_of(1, ListingState::ready), 1000, left);
    auto line = table.at(slot)->listing;
    EXPECT_EQ(line.outage, Outage::none);
    EXPECT_LT(line.wait_until, 0);
    line.outage = Outage::destination;
    line.failed_at = 5000;
    line.wait_until = 70001;
    table.remember(slot, line);
    table.begin_whole();
    table.stage("s-1", address_of(2), line_of(1, ListingState::ready, 7));
    table.commit();
    while (!table.sweep(1, 6000)) continue;
    const auto known = table.at(table.find("s-1"))->listing;
    EXPECT_EQ(known.weight, 7);
    EXPECT_EQ(known.outage, Outage::destination);
    EXPECT_NEAR(known.failed_at, 5000, 16);
    EXPECT_GE(known.wait_until, 70001);  // never early
    EXPECT_LE(known.wait_until, 70017);
}

// An address that a list gives to all of its hosts is no reason to walk them for each.
TEST(Table, CostsNoSquareWhereManyHaveOneAddress) {
    const auto cost = [](std::uint32_t hosts) {
        Table table;
        std::vector<Slot> left;
        const auto from = std::clock();
        for (std::uint32_t i = 0; i < hosts; ++i)
            table.put("s-" + std::to_string(i), address_of(1), line_of(i % 100, ListingState::draining), 0,
                      left);
        return static_cast<double>(std::clock() - from);
    };
    cost(1000);
    EXPECT_LT(cost(64000), 16 * 4 * cost(4000) + CLOCKS_PER_SEC / 20.0);
}

TEST(Table, HoldsAHostInSeventySixBytes) {
    constexpr std::uint32_t hosts = 100000;
    Table table;
    const auto empty = table.bytes();
    table.begin_whole();
    for (std::uint32_t i = 0; i < hosts; ++i)
        table.stage("s-" + std::to_string(10000000 + i), address_of(i), line_of(i, ListingState::ready));
    table.commit();
    while (!table.sweep(1000, 0)) continue;
    EXPECT_EQ(table.listed(), hosts);
    EXPECT_LE(static_cast<double>(table.bytes() - empty) / hosts, 76);
}

}  // namespace
}  // namespace brasslift::cluster
