// The port to what outlasts a member's process, on a store of its own in the folder `members` of the state
// folder. One process has it at a time. Errors: calls answer false and `why()` says what; nothing that was
// answered with true is lost by a kill, and by a machine's end where the durability is `each`.
#pragma once

#include <memory>
#include <string>

#include "members/consensus.hpp"
#include "store/store.hpp"

namespace brasslift::members {

class StoreJournal : public Journal {
public:
    // `budget`: bytes on disk. The folder is made where it is not there.
    StoreJournal(std::unique_ptr<store::Files> files, std::uint64_t budget, store::Durability durability);

    // Opens the store; a folder that has had none gets a number of its own. False: `why()`.
    bool open(std::uint64_t random);
    const v1::Folder& folder() const { return folder_; }
    // Counts this process; to be called once by whoever serves.
    bool begin_life();
    bool pristine() const;
    const std::string& why() const { return why_; }

    bool load(Saved& into) override;
    bool put_vote(const v1::Vote& vote) override;
    bool append(std::uint64_t index, const std::vector<v1::Entry>& entries) override;
    bool truncate(std::uint64_t index) override;
    bool put_snapshot(const v1::Snapshot& snapshot, std::uint64_t trailing) override;
    std::optional<v1::Snapshot> snapshot() override;
    bool mark_formed() override;

private:
    bool write(const store::Batch& batch, const char* what);
    bool put_folder();
    std::vector<std::string> entry_keys() const;
    template <class Message>
    bool read(const char* key, Message& into) const;

    std::unique_ptr<store::Files> files_;
    store::Store store_;
    v1::Folder folder_;
    std::string why_;
};

// The folder `members` in a state folder, made where it is not there.
std::unique_ptr<store::Files> members_folder(const std::string& state_folder);

}  // namespace brasslift::members
