// A durable store of keys and values in one folder: a log in segments, an index in memory, compaction.
//
// One process has a folder at a time, and one thread uses a Store. Nothing waits here but for the files
// themselves; syncs are handed out as jobs (`next_job`) that may run on another thread. A write that
// succeeded outlasts this process. It outlasts the machine once `durable()` has reached its version.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/decide.hpp"
#include "store/files.hpp"
#include "store/format.hpp"
#include "store/index.hpp"
#include "store/scan.hpp"

namespace brasslift::store {

// What a machine's end may take: everything since its start (none), or what has not been synced yet. The
// other two differ in when a sync begins: at times, or as soon as there is something to sync.
enum class Durability : std::uint8_t { none, interval, each };

struct Options {
    std::uint64_t budget = 0;   // bytes of the folder, every file in whole blocks
    std::uint64_t segment = 0;  // 0: by the budget
    Durability durability = Durability::none;
    bool compress = false;  // what compaction copies
    bool read_only = false;
    std::uint64_t id = 1;  // of a store that is made
    Version first = 1;     // of a store that is made
    std::vector<KeyspaceRule> keyspaces;
    // Bytes. Files up to this size are cut short and removed on the loop, and where segments are no larger,
    // so is the manifest put in place; a larger one is the keeper's. 4 MiB take some tenths of a millisecond.
    std::uint64_t at_once = 4 << 20;
};

// What a start found.
struct Report {
    bool made = false;
    std::vector<Judgement> findings;
    std::optional<Version> suspect_below;
    std::uint64_t frames = 0, operations = 0, bytes = 0;
    bool sound() const;  // nothing but torn tails
};

struct Written {
    Fault fault = Fault::none;
    Version version = 0;  // of the last operation
    explicit operator bool() const { return fault == Fault::none; }
};

struct Stats {
    std::uint64_t budget = 0, used = 0, live = 0, records = 0, segments = 0, garbage = 0;
    std::uint64_t appended = 0, copied = 0, compacted = 0, expired = 0;  // since the start
};

// Files to sync, then a manifest to put in place, off the loop's thread.
struct Job {
    std::vector<std::shared_ptr<File>> files;
    bool folder = false, sync = false;  // sync: the manifest too
    std::optional<std::string> manifest;
    std::uint64_t generation = 0;
    Version upto = 0;  // exclusive; durable when all of it has succeeded
    struct Removal {
        Number number = 0;
        std::shared_ptr<File> file;  // the last to hold it: its bytes are freed where it is closed
    };
    std::vector<Removal> removals;
    // How the manifest came along.
    struct Install {
        bool done = false;       // it is in place
        int error = 0;           // else less errno's number
        const char* tried = "";  // of what
    };
    // 0 or less errno's number; a manifest that is not in place is no failure of the job.
    int run(Files& files, Install* install = nullptr);
};

class Store {
public:
    Store(Files& files, Options options);

    // Reads what is there, or makes a store. A fault: nothing can be had, and `why()` says what; after `io` a
    // later try may succeed, with this same object. `patient`: a read that fails is such a fault; else what
    // cannot be read counts as damaged.
    Fault open(Stamp now, Report& report, bool patient = false);
    const std::string& why() const { return why_; }

    // All operations or none. An erase of what is not there is left out. A key may be in a batch once.
    Written write(const Batch& batch, Purpose purpose = Purpose::owed);

    // Values are read from the file and checked.
    Fault read(std::uint8_t keyspace, std::string_view key, std::string& into, Stamp* stamp = nullptr) const;
    Fault read(const Place& place, std::string& into) const;
    const Index& index() const { return index_; }

    // Damage that was found is not compacted away before its owner has written what it concludes.
    void settle();
    // A slice of what is to be done in the background: retention and compaction. False: nothing is left to do
    // now. `bytes`: about so many are read at most.
    bool step(Stamp now, std::uint64_t bytes);
    // Until nothing is left that is worth it.
    Fault compact_all(const std::function<void(std::uint64_t done, std::uint64_t all)>& progress);

    Version next() const { return next_; }
    Version durable() const { return options_.durability == Durability::none ? next_ : durable_; }
    // What is to be synced, where something is and nothing is out; to be given back with its result.
    std::optional<Job> next_job();
    void finish(const Job& job, int result, bool installed);
    bool broken() const { return broken_; }

    Stats stats() const;
    std::uint64_t id() const { return id_; }
    const Options& options() const { return options_; }
    Room room() const;
    // The segments in order, each up to its present end.
    std::vector<Listed> segments() const;
    // The same with the size of what counts in each, and its file.
    struct Extent {
        Number number = 0;
        Version first = 0;
        std::uint64_t size = 0;
        const File* file = nullptr;
        bool damaged = false;
        std::uint64_t live = 0;
    };
    std::vector<Extent> extents() const;
    // Seals the segment that is written to.
    bool seal();
    // Where segments are large, jobs also remove their files and put manifests in place where nothing is
    // synced: either may hold the loop for many milliseconds. Otherwise step() shrinks files in parts.
    void work_apart() { works_apart_ = true; }
    // Other files of the folder that share the budget; counted anew.
    void count_others();

private:
    struct Segment {
        std::shared_ptr<File> file;
        Version first = 0;
        std::uint64_t size = 0;
        std::uint64_t puts = 0, erases = 0;  // bytes of live puts; of erases
        Number from = 0, to = 0;             // what its erases may still end; 0: nothing
        bool sealed = true, damaged = false;
        bool stuck = false;  // damage that came to light only when it was to be compacted
    };
    struct Moved {
        Kind kind;
        std::uint8_t keyspace;
        std::uint32_t at, size;
        Number from, to;
        std::string key;
    };
    struct Compaction {
        Number victim = 0;
        std::unique_ptr<Scan> scan;
        Content content;  // read and not copied yet
        std::vector<Moved> moved;
    };

    Fault fail(Fault fault, std::string why);
    Fault fail(const Job::Install& install);
    void forget_start();
    Fault recover(Report& report);
    Fault survey(std::optional<Manifest>& manifest, std::vector<Listed>& segments, std::vector<Number>& stale,
                 std::map<Number, std::uint64_t>& sizes);
    Fault read_segment(const Listed& listed, Reading& reading, Report& report);
    void read_frames(Segment& segment, Reading& reading, std::uint64_t to, Report& report);
    Fault mend(const Conclusion& conclusion, const std::vector<Reading>& readings, bool report_sound);
    void apply(const Operation& operation, const Place& place);
    Fault make();
    Fault roll();
    bool install();  // the manifest, at once
    void publish();  // the manifest, now or by the next job
    bool installs_at_once() const;
    Manifest manifest() const;
    void remove_file(Number number, bool damaged);
    void drop_file(Number number, std::uint64_t size);
    bool shrink();

    Fault prepare(std::uint64_t frame, std::uint64_t live, Purpose purpose);
    Fault append(const std::string& frame, Place& place);
    void release(const Entry& entry);
    void count_erases();
    bool make_room(std::uint64_t grows, std::uint64_t bytes, Purpose purpose);
    bool expire(Stamp now);

    bool begin_compaction(Need need);
    // False: it cannot go on now.
    bool go_on(std::uint64_t bytes);
    bool end_compaction();
    bool needed(const Operation& operation, const Place& place) const;
    bool copy_group();
    bool ends_something(Number from, Number to, Number but) const;
    std::uint64_t live_of(Number number, const Segment& segment) const;
    std::vector<SegmentState> states() const;

    Files& files_;
    Options options_;
    Index index_;
    std::string why_;
    std::uint64_t id_ = 0, generation_ = 0;
    std::map<Number, Segment> segments_;  // the last one is written to
    Number next_number_ = 1;
    Version next_ = 1, durable_ = 1;
    std::uint64_t size_ = 0;               // of all segments in blocks
    std::uint64_t others_ = 0;             // of other files in the folder
    std::uint64_t puts_ = 0, erases_ = 0;  // of all segments: live puts; erases that end something
    bool patient_ = false;                 // at the start
    bool works_apart_ = false, recovering_ = false, settled_ = true, broken_ = false, job_out_ = false,
         folder_dirty_ = false, manifest_due_ = false;
    bool unsound_tail_ = false;  // what follows the last good frame of the last segment could not be cut off
    std::vector<std::shared_ptr<File>> dirty_;
    std::optional<Compaction> compaction_;
    std::vector<std::pair<Number, bool>> leaving_;  // out of the next manifest, then removed
    std::vector<std::pair<Number, bool>> left_;     // out of the manifest that a job installs
    struct Removing {
        Number number = 0;
        std::shared_ptr<File> file;
        std::uint64_t size = 0;
    };
    std::deque<Removing> removing_;
    std::map<Number, Segment> shadows_;  // their segments, until then
    mutable std::string scratch_, unpacked_;
    Stats stats_;
    std::optional<Version> suspect_below_;  // until it is settled
    Stamp opened_ = 0;
};

}  // namespace brasslift::store
