#include "cluster/departures.hpp"

#include <string>
#include <utility>

#include "store/keyspace.hpp"

namespace brasslift::cluster {

std::uint64_t entry_name(std::string_view uid, runtime::Address address, DestinationId destination) {
    const auto entry =
        store::ValueWriter().text(uid).number(address.host).number(address.port).number(destination).take();
    const auto name = store::hash_of(entry);
    return name == dispatch::no_entry ? name + 1 : name;
}

void Departures::restore(const dispatch::DepartedEntries& kept) {
    names_ = {kept.names.begin(), kept.names.end()};
    complete_ = kept.complete;
}

void Departures::add(std::uint64_t entry) {
    if (contains(entry)) return;
    if (names_.size() >= most) {
        changes_.incomplete = changes_.incomplete || complete_;
        complete_ = false;
        return;
    }
    names_.insert(entry);
    changes_.departed[entry] = true;
}

void Departures::remove(std::uint64_t entry) {
    if (names_.erase(entry) > 0) changes_.departed[entry] = false;
}

void Departures::clear() {
    names_.clear();
    complete_ = true;
    changes_ = {};
    changes_.cleared = true;
}

dispatch::DepartureChange Departures::take_changes() { return std::exchange(changes_, {}); }

}  // namespace brasslift::cluster
