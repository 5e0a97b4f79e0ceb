#include "members/journal.hpp"

#include <cstring>
#include <filesystem>

#include "runtime/scheduler.hpp"

namespace brasslift::members {
namespace {

constexpr std::uint8_t meta = 1, entries = 2;
constexpr const char *vote_key = "vote", *snapshot_key = "snapshot", *folder_key = "folder";

// Indices in the order of their keys.
std::string key_of(std::uint64_t index) {
    std::string key(8, '\0');
    for (std::size_t i = 0; i < 8; ++i) key[7 - i] = static_cast<char>(index >> (8 * i));
    return key;
}

std::uint64_t index_of(std::string_view key) {
    std::uint64_t index = 0;
    for (const char c : key) index = index << 8 | static_cast<unsigned char>(c);
    return index;
}

store::Stamp stamp() { return static_cast<store::Stamp>(runtime::wall_now()); }

store::Options options_of(std::uint64_t budget, store::Durability durability) {
    store::Options options;
    options.budget = budget;
    options.durability = durability;
    options.id = 0x6d656d62657273;  // "members"
    options.keyspaces = {{meta, "meta", {}, false}, {entries, "entry", {}, false}};
    return options;
}

}  // namespace

std::unique_ptr<store::Files> members_folder(const std::string& state_folder) {
    const auto folder = state_folder + "/members";
    std::error_code error;
    std::filesystem::create_directories(folder, error);  // what is wrong with it, its first use tells
    return store::files_in(folder);
}

StoreJournal::StoreJournal(std::unique_ptr<store::Files> files, std::uint64_t budget,
                           store::Durability durability)
    : files_(std::move(files)), store_(*files_, options_of(budget, durability)) {}

bool StoreJournal::open(std::uint64_t random) {
    store::Report report;
    if (store_.open(stamp(), report) != store::Fault::none) {
        why_ = "the members' folder cannot be opened: " + store_.why();
        return false;
    }
    // A vote or an entry that cannot be read may have been given to others: nothing is concluded from the
    // rest.
    if (!report.sound()) {
        why_ = "the members' folder is damaged: " + report.findings.front().why;
        return false;
    }
    if (read(folder_key, folder_)) return true;
    folder_.set_number(random);
    return put_folder();
}

bool StoreJournal::begin_life() {
    folder_.set_life(folder_.life() + 1);
    return put_folder();
}

bool StoreJournal::mark_formed() {
    folder_.set_formed(true);
    return put_folder();
}

bool StoreJournal::put_folder() {
    return write(store::Batch().put(meta, folder_key, folder_.SerializeAsString(), stamp()),
                 "folder's record");
}

bool StoreJournal::pristine() const {
    v1::Vote vote;
    return !read(vote_key, vote) && store_.index().count(entries) == 0;
}

// One batch, and on disk where its owner asks for that. The loop waits: such writes are few.
bool StoreJournal::write(const store::Batch& batch, const char* what) {
    if (batch.empty()) return true;
    const auto written = store_.write(batch, store::Purpose::owed);
    if (!written) {
        why_ = std::string("the members' ") + what +
               " cannot be written: " + (store_.why().empty() ? store::text_of(written.fault) : store_.why());
        return false;
    }
    while (auto job = store_.next_job()) {
        store::Job::Install install;
        const int result = job->run(*files_, &install);
        store_.finish(*job, result, install.done);
        if (result < 0) {
            why_ = std::string("the members' ") + what + " cannot be synced: " + std::strerror(-result);
            return false;
        }
        if (job->manifest && !install.done) break;
    }
    // Compaction in the same turn: the log is short, so it is soon done.
    for (int slices = 0; slices < 4 && store_.step(stamp(), 256 * 1024); ++slices) {}
    return true;
}

template <class Message>
bool StoreJournal::read(const char* key, Message& into) const {
    std::string bytes;
    return store_.read(meta, key, bytes) == store::Fault::none && into.ParseFromString(bytes);
}

std::vector<std::string> StoreJournal::entry_keys() const {
    std::vector<std::string> keys;
    store_.index().scan(entries, "", "", [&](std::string_view key, const store::Entry&) {
        keys.emplace_back(key);
        return true;
    });
    return keys;
}

bool StoreJournal::load(Saved& into) {
    into = {};
    read(vote_key, into.vote);
    into.snapshot = snapshot();
    into.first = into.snapshot ? into.snapshot->index() + 1 : 1;
    std::string bytes;
    for (const auto& key : entry_keys()) {
        const auto index = index_of(key);
        if (into.entries.empty()) into.first = index;
        v1::Entry entry;
        if (store_.read(entries, key, bytes) != store::Fault::none || !entry.ParseFromString(bytes) ||
            index != into.first + into.entries.size()) {
            why_ = "entry " + std::to_string(index) + " of the members' log cannot be read";
            return false;
        }
        into.entries.push_back(std::move(entry));
    }
    return true;
}

bool StoreJournal::put_vote(const v1::Vote& vote) {
    return write(store::Batch().put(meta, vote_key, vote.SerializeAsString(), stamp()), "vote");
}

bool StoreJournal::append(std::uint64_t index, const std::vector<v1::Entry>& added) {
    store::Batch batch;
    for (const auto& entry : added) batch.put(entries, key_of(index++), entry.SerializeAsString(), stamp());
    return write(batch, "log");
}

bool StoreJournal::truncate(std::uint64_t index) {
    store::Batch batch;
    for (const auto& key : entry_keys())
        if (index_of(key) >= index) batch.erase(entries, key);
    return write(batch, "log");
}

bool StoreJournal::put_snapshot(const v1::Snapshot& snapshot, std::uint64_t trailing) {
    store::Batch batch;
    batch.put(meta, snapshot_key, snapshot.SerializeAsString(), stamp());
    for (const auto& key : entry_keys())
        if (trailing == 0 || index_of(key) + trailing <= snapshot.index()) batch.erase(entries, key);
    return write(batch, "snapshot");
}

std::optional<v1::Snapshot> StoreJournal::snapshot() {
    v1::Snapshot found;
    if (!read(snapshot_key, found)) return std::nullopt;
    return found;
}

}  // namespace brasslift::members
