// A store on a disk that fails, beside a reference that knows what was acknowledged.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "disk.hpp"
#include "store/store.hpp"

namespace brasslift::test {

using State = std::map<std::pair<int, std::string>, std::string>;

void apply_to(State& state, const store::Batch& batch);
State state_of(const store::Store& store, std::string* damage = nullptr);

// A history as a dispatcher has it: bodies (keyspace 1), marks that they went out (2), ends; some live long.
class History {
public:
    explicit History(std::uint64_t seed) : chance_(seed) {}
    store::Batch one();

private:
    std::mt19937_64 chance_;
    std::vector<std::string> live_;
    int next_ = 0;
};

class StoreRig {
public:
    // `apart`: large files and manifests are a keeper's work, as in the program.
    explicit StoreRig(standins::Disk& disk, store::Options options, bool apart = false)
        : disk_(disk), options_(std::move(options)), apart_(apart) {}

    // Another process; false: the store could not be opened.
    bool open(store::Stamp now = 1000);
    // As a process ends.
    void close() {
        store_.reset();
        files_.reset();
    }
    store::Store& store() { return *store_; }
    bool is_open() const { return store_ != nullptr; }
    const store::Report& report() const { return report_; }
    store::Fault fault() const { return fault_; }
    std::string why() const { return why_; }

    // True: acknowledged, as the durability says; the sync is played on the spot.
    bool write(const store::Batch& batch, store::Purpose purpose = store::Purpose::owed);
    bool sync();
    bool step(store::Stamp now = 1000, std::uint64_t bytes = 1 << 20);

    // What every process since the first has acknowledged, and the batch that is in doubt, if one is.
    State acknowledged;
    std::optional<store::Batch> doubt;
    // After a restart: empty where what is there is what was acknowledged, with the batch in doubt whole or
    // not at all; the reference then goes on from what is there. Where the start reported damage, whatever
    // differs must be older than what it suspects.
    std::string judge();

private:
    standins::Disk& disk_;
    store::Options options_;
    bool apart_;
    std::unique_ptr<store::Files> files_;
    std::unique_ptr<store::Store> store_;
    store::Report report_;
    store::Fault fault_ = store::Fault::none;
    std::string why_;
};

// What differs between what is there and what should be, where the start reported `report`: empty if it is
// honest, which is to say that a sound start has exactly that state, and that whatever is there and should
// not be, or not so, is suspect.
std::string dishonesty(const store::Store& store, const store::Report& report, const State& should);

}  // namespace brasslift::test
