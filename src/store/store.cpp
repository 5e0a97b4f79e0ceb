#include "store/store.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace brasslift::store {
namespace {

// A write that finds no room compacts so much on the spot, and no more: the loop waits for it.
constexpr std::uint64_t most_on_the_spot = 4 << 20;
constexpr Stamp most_ahead_ms = 2 * 3600 * 1000;

}  // namespace

bool Report::sound() const {
    return std::all_of(findings.begin(), findings.end(),
                       [](const Judgement& j) { return j.what == Judgement::What::torn; });
}

int Job::run(Files& all, Install* install) {
    for (const auto& file : files)
        if (const int bad = file->sync(); bad < 0) return bad;
    if (folder)
        if (const int bad = all.sync_folder(); bad < 0) return bad;
    // One that stays is not in the manifest and goes at the next start.
    for (auto& removal : removals) {
        all.remove(segment_name(removal.number));
        removal.file.reset();
    }
    if (!manifest) return 0;
    // A manifest that could not be put in place leaves the old one, which is true as well.
    Install came{true, 0, ""};
    const auto step = [&](const char* tried, int result) {
        if (came.done && result < 0) came = {false, result, tried};
        return came.done;
    };
    std::unique_ptr<File> file;
    all.remove(manifest_part);
    if (step("opened", all.open(manifest_part, Mode::create, file)) &&
        step("written", append_all(*file, *manifest)) && (!sync || step("synced", file->sync())) &&
        step("renamed", all.rename(manifest_part, manifest_name)) && sync)
        step("synced with its folder", all.sync_folder());
    if (!came.done) all.remove(manifest_part);
    if (install != nullptr) *install = came;
    return 0;
}

Store::Store(Files& files, Options options)
    : files_(files), options_(std::move(options)), index_(options_.keyspaces) {
    if (options_.segment == 0) options_.segment = segment_size_for(options_.budget);
}

Fault Store::fail(Fault fault, std::string why) {
    why_ = std::move(why);
    return fault;
}

Fault Store::fail(const Job::Install& install) {
    return fail(Fault::io, std::string("the manifest cannot be ") + install.tried + ": " +
                               std::strerror(-install.error));
}

Room Store::room() const {
    Room room;
    room.budget = options_.budget;
    room.segment = options_.segment;
    const auto listed = 2 * (64 + 25 * (segments_.size() + 2));
    room.used = size_ + others_ + 2 * blocks_of(listed);  // its next form stands beside it for a moment
    room.live = puts_ + erases_;
    return room;
}

std::uint64_t Store::live_of(Number number, const Segment& s) const {
    const auto erases = ends_something(s.from, s.to, number) ? s.erases : 0;
    return std::min(s.size, s.puts + erases);
}

std::vector<SegmentState> Store::states() const {
    std::vector<SegmentState> states;
    for (const auto& [number, s] : segments_)
        states.push_back({number, s.size, live_of(number, s), s.sealed, s.damaged && !settled_});
    return states;
}

// Whether any segment of those is there that an erase may still end something in.
bool Store::ends_something(Number from, Number to, Number but) const {
    if (from == 0) return false;
    for (auto at = segments_.lower_bound(from); at != segments_.end() && at->first <= to; ++at)
        if (at->first != but) return true;
    for (auto at = shadows_.lower_bound(from); at != shadows_.end() && at->first <= to; ++at)
        if (at->first != but) return true;
    return false;
}

Manifest Store::manifest() const { return {id_, generation_ + 1, next_number_, segments(), suspect_below_}; }

std::vector<Listed> Store::segments() const {
    std::vector<Listed> listed;
    for (const auto& [number, s] : segments_)
        listed.push_back({number, s.first, s.sealed ? s.size : 0, s.damaged});
    return listed;
}

std::vector<Store::Extent> Store::extents() const {
    std::vector<Extent> extents;
    for (const auto& [number, s] : segments_)
        extents.push_back({number, s.first, s.size, s.file.get(), s.damaged, live_of(number, s)});
    return extents;
}

// On some file systems a rename over a file waits until the new one is written out. Where segments are large
// that is the keeper's job; in a small folder the room that comes with it is wanted at once.
bool Store::installs_at_once() const {
    return options_.durability == Durability::none && !(works_apart_ && options_.segment > options_.at_once);
}

void Store::publish() {
    if (installs_at_once())
        install();
    else
        manifest_due_ = true;
}

bool Store::install() {
    Job job;
    job.manifest = write_manifest(manifest());
    Job::Install came;
    job.run(files_, &came);
    if (!came.done) {
        manifest_due_ = true;
        fail(came);
        return false;
    }
    ++generation_;
    manifest_due_ = false;
    for (const auto& [number, damaged] : std::exchange(leaving_, {})) remove_file(number, damaged);
    return true;
}

void Store::remove_file(Number number, bool damaged) {
    const auto found = shadows_.find(number);
    if (found == shadows_.end()) return;
    const auto size = blocks_of(found->second.size);
    auto file = std::move(found->second.file);
    shadows_.erase(found);
    // What was damaged is kept for whoever wants to look, where there is room for it.
    const auto now = room();
    if (damaged && now.used + 2 * now.segment <= now.budget &&
        files_.rename(segment_name(number), damaged_name(number)) >= 0) {
        size_ -= std::min(size_, size);
        others_ += size;
        return;
    }
    if (size > options_.at_once) {
        removing_.push_back({number, std::move(file), size});
        return;
    }
    drop_file(number, size);
}

void Store::drop_file(Number number, std::uint64_t size) {
    // One that stays is not in the manifest and goes at the next start.
    files_.remove(segment_name(number));
    size_ -= std::min(size_, size);
    folder_dirty_ = options_.durability != Durability::none;
}

// To remove a large file at once holds the loop for many milliseconds: it goes from its end, in parts.
bool Store::shrink() {
    if (removing_.empty()) return false;
    auto& [number, file, size] = removing_.front();
    const auto left = size > options_.at_once ? size - options_.at_once : 0;
    if (left > 0 && file && file->truncate(left) >= 0) {
        size_ -= std::min(size_, size - left);
        size = left;
        return true;
    }
    drop_file(number, size);
    removing_.pop_front();
    return true;
}

void Store::count_others() {
    std::vector<Files::Entry> entries;
    others_ = 0;
    if (files_.list(entries) < 0) return;
    for (const auto& entry : entries)
        if (entry.name != manifest_name && entry.name != manifest_part && !number_of_segment(entry.name))
            others_ += blocks_of(entry.size);
}

// Seals the present segment and begins another.
Fault Store::roll() {
    const Number number = next_number_;
    SegmentHead head{id_, number, next_, opened_, durable()};
    std::unique_ptr<File> file;
    const auto name = segment_name(number);
    int bad = files_.open(name, Mode::create, file);
    if (bad == -EEXIST) {
        // Left by a roll that failed before; nothing was ever acknowledged from it.
        files_.remove(name);
        bad = files_.open(name, Mode::create, file);
    }
    if (bad >= 0) bad = append_all(*file, write_segment_head(head));
    if (bad < 0) {
        file.reset();
        files_.remove(name);
        return fail(Fault::io, "segment " + name + ": " + std::strerror(-bad));
    }
    if (!segments_.empty()) segments_.rbegin()->second.sealed = true;
    unsound_tail_ = false;
    ++next_number_;
    Segment segment;
    segment.file = std::move(file);
    segment.first = next_;
    segment.size = segment_head;
    segment.sealed = false;
    size_ += blocks_of(segment_head);
    if (options_.durability != Durability::none) {
        dirty_.push_back(segment.file);
        folder_dirty_ = true;
    }
    segments_.emplace(number, std::move(segment));
    count_erases();
    // A start also finds a segment that the manifest does not name yet, if it is newer than all it names.
    publish();
    return Fault::none;
}

bool Store::seal() {
    if (segments_.empty() || segments_.rbegin()->second.size <= segment_head) return true;
    return roll() == Fault::none;
}

// The segment in which a frame of that size will stand, with room made for it.
Fault Store::prepare(std::uint64_t frame, std::uint64_t live, Purpose purpose) {
    if (options_.read_only) return Fault::read_only;
    if (broken_) return Fault::broken;
    const auto& present = segments_.rbegin()->second;
    if (unsound_tail_ || (present.size > segment_head && present.size + frame > options_.segment)) {
        if (!make_room(blocks_of(segment_head), live, purpose)) return fail(Fault::no_room, "no room");
        if (const auto fault = roll(); fault != Fault::none) return fault;
    }
    const auto grows = [&] {
        const auto size = segments_.rbegin()->second.size;
        return blocks_of(size + frame) - blocks_of(size);
    };
    return make_room(grows(), live, purpose) ? Fault::none : fail(Fault::no_room, "no room");
}

// Adds a frame at the log's end, behind prepare(). Nothing of it stays where it could not be written whole.
Fault Store::append(const std::string& frame, Place& place) {
    auto& [number, segment] = *segments_.rbegin();
    if (const int bad = append_all(*segment.file, frame); bad < 0) {
        const auto why = std::string(std::strerror(-bad));
        // Behind a part of a frame nothing may stand in this file.
        if (segment.file->truncate(segment.size) < 0) unsound_tail_ = true;
        return fail(Fault::io, "a frame could not be written: " + why);
    }
    place = {number, segment.size, static_cast<std::uint32_t>(frame.size()), 0};
    size_ += blocks_of(segment.size + frame.size()) - blocks_of(segment.size);
    segment.size += frame.size();
    stats_.appended += frame.size();
    if (options_.durability != Durability::none && (dirty_.empty() || dirty_.back() != segment.file))
        dirty_.push_back(segment.file);
    return Fault::none;
}

bool Store::make_room(std::uint64_t grows, std::uint64_t bytes, Purpose purpose) {
    if (admits(room(), grows, bytes, purpose)) return true;
    if (purpose == Purpose::copy) return false;
    // In a small folder one segment is soon copied; in a large one the background is far ahead of this.
    std::uint64_t spent = 0;
    while (spent < most_on_the_spot) {
        if (!compaction_ && !begin_compaction(Need::pressing)) break;
        const auto victim = compaction_->victim;
        const auto size = segments_.at(victim).size;
        if (!go_on(std::min(size, most_on_the_spot - spent) + 1)) break;
        spent += size;
        if (admits(room(), grows, bytes, purpose)) return true;
    }
    return admits(room(), grows, bytes, purpose);
}

Written Store::write(const Batch& batch, Purpose purpose) {
    std::uint64_t live = 0, size = frame_head;
    for (const auto& item : batch.items()) {
        if (item.key.size() > most_key || item.value.size() > most_content / 2) return {Fault::too_large, 0};
        const bool put = item.kind == Kind::put;
        const auto bytes = operation_head + item.key.size() + (put ? item.value.size() : erase_size);
        if (put) live += bytes;
        size += bytes;
    }
    if (size > most_content) return {Fault::too_large, 0};
    if (batch.items().size() > 1) {
        std::vector<std::pair<int, std::string_view>> keys;
        for (const auto& item : batch.items()) keys.emplace_back(item.keyspace, item.key);
        std::sort(keys.begin(), keys.end());
        if (std::adjacent_find(keys.begin(), keys.end()) != keys.end()) return {Fault::too_large, 0};
    }
    if (const auto fault = prepare(size, live, purpose); fault != Fault::none) return {fault, 0};
    // From here on nothing moves: what an erase ends is in this segment or in earlier ones.
    Content content;
    std::vector<Operation> operations;
    Version version = next_;
    for (const auto& item : batch.items()) {
        Operation o{item.kind, item.keyspace, item.key, item.value, version, item.stamp, 0, 0};
        if (item.kind == Kind::erase) {
            const auto* const entry = index_.find(item.keyspace, item.key);
            if (entry == nullptr) continue;
            o.from = entry->first;
            o.to = segments_.rbegin()->first;
        }
        content.add(o);
        operations.push_back(o);
        ++version;
    }
    if (operations.empty()) return {Fault::none, next_ - 1};
    Place place;
    if (const auto fault = append(content.frame(next_, false, false), place); fault != Fault::none)
        return {fault, 0};
    next_ = version;
    for (const auto& o : operations) {
        apply(o, place);
        place.at += static_cast<std::uint32_t>(size_of(o));
    }
    return {Fault::none, next_ - 1};
}

void Store::release(const Entry& entry) {
    const auto found = segments_.find(entry.place.segment);
    if (found == segments_.end()) return;
    found->second.puts -= std::min<std::uint64_t>(found->second.puts, entry.size);
    puts_ -= std::min<std::uint64_t>(puts_, entry.size);
}

void Store::apply(const Operation& o, const Place& place) {
    const auto* const known = index_.find(o.keyspace, o.key);
    const bool late = known != nullptr && older(o.version, known->version);  // the key has gone on since
    auto& segment = segments_.at(place.segment);
    const auto size = static_cast<std::uint32_t>(size_of(o));
    if (o.kind == Kind::put) {
        if (late) return;
        // A stamp far ahead of the clock would never age; one that is a little ahead was written before the
        // clock was set back.
        const bool ahead = opened_ > 0 && recovering_ && o.stamp > opened_ + most_ahead_ms;
        const auto stamp = ahead ? opened_ : o.stamp;
        segment.puts += size;
        puts_ += size;
        if (const auto before = index_.put(o.keyspace, o.key, {place, o.version, stamp, size, place.segment}))
            release(*before);
        return;
    }
    if (known != nullptr && !late) release(*index_.erase(o.keyspace, o.key));
    segment.erases += size;
    erases_ += size;
    segment.from = segment.from == 0 ? o.from : std::min(segment.from, o.from);
    segment.to = std::max(segment.to, o.to);
}

// What erases still end changes as segments come and go.
void Store::count_erases() {
    erases_ = 0;
    for (const auto& [number, s] : segments_)
        if (ends_something(s.from, s.to, number)) erases_ += s.erases;
}

Fault Store::read(const Place& place, std::string& into) const {
    const auto found = segments_.find(place.segment);
    if (found == segments_.end()) return Fault::missing;
    scratch_.resize(place.size);
    const auto got = found->second.file->read_at(scratch_.data(), place.size, place.offset);
    if (got < 0) return Fault::io;
    if (static_cast<std::size_t>(got) < place.size) return Fault::damaged;
    const auto head = read_frame_head(scratch_);
    if (!head || head->size() != place.size) return Fault::damaged;
    const auto content = read_content(*head, std::string_view(scratch_).substr(frame_head), unpacked_);
    if (!content) return Fault::damaged;
    const auto operation = read_operation(*content, place.at);
    if (!operation || operation->kind != Kind::put) return Fault::damaged;
    into.assign(operation->value);
    return Fault::none;
}

Fault Store::read(std::uint8_t keyspace, std::string_view key, std::string& into, Stamp* stamp) const {
    const auto* const entry = index_.find(keyspace, key);
    if (entry == nullptr) return Fault::missing;
    if (stamp != nullptr) *stamp = entry->stamp;
    return read(entry->place, into);
}

std::optional<Job> Store::next_job() {
    if (job_out_ || broken_) return std::nullopt;
    Job job;
    if (works_apart_)
        for (auto& removing : removing_) job.removals.push_back({removing.number, std::move(removing.file)});
    const bool syncs = options_.durability != Durability::none;
    const bool manifest_waits = manifest_due_ && !installs_at_once();
    if (dirty_.empty() && !folder_dirty_ && !manifest_waits && job.removals.empty()) return std::nullopt;
    job.sync = syncs;
    job.files = std::exchange(dirty_, {});
    job.folder = std::exchange(folder_dirty_, false);
    job.upto = next_;
    if (manifest_waits) {
        manifest_due_ = false;
        const auto next = manifest();
        job.manifest = write_manifest(next);
        job.generation = next.generation;
        left_ = std::exchange(leaving_, {});
    }
    job_out_ = true;
    return job;
}

void Store::finish(const Job& job, int result, bool installed) {
    job_out_ = false;
    if (result < 0) {
        // What the failed sync left on disk is unknown, and another one would not say so again.
        broken_ = true;
        why_ = std::string("a sync failed: ") + std::strerror(-result);
        return;
    }
    for (const auto& removal : job.removals) {
        std::erase_if(removing_, [&](const Removing& r) {
            if (r.number != removal.number) return false;
            size_ -= std::min(size_, r.size);
            return true;
        });
    }
    if (options_.durability != Durability::none && older(durable_, job.upto)) durable_ = job.upto;
    if (!job.manifest) return;
    if (!installed) {
        manifest_due_ = true;
        leaving_.insert(leaving_.end(), left_.begin(), left_.end());
        left_.clear();
        return;
    }
    generation_ = job.generation;
    for (const auto& [number, damaged] : std::exchange(left_, {})) remove_file(number, damaged);
}

Stats Store::stats() const {
    auto stats = stats_;
    const auto now = room();
    stats.budget = now.budget;
    stats.used = now.used;
    stats.live = now.live;
    stats.segments = segments_.size();
    for (const auto id : index_.keyspaces()) stats.records += index_.count(id);
    for (const auto& [number, s] : segments_) stats.garbage += s.size - std::min(s.size, live_of(number, s));
    return stats;
}

}  // namespace brasslift::store
