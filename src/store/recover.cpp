// The start: the lock, the manifest, the segments in order, and what follows from what cannot be read.
#include <algorithm>
#include <cerrno>
#include <cstring>

#include "store/store.hpp"

namespace brasslift::store {
namespace {

constexpr std::size_t most_manifest = 64 << 20;

// The system's trouble, not the file's: a start under it would conclude what is not so.
bool passing(int error) {
    return error == -EACCES || error == -EPERM || error == -EMFILE || error == -ENFILE || error == -ENOMEM ||
           error == -EROFS;
}

}  // namespace

// Nothing of a start that failed stays for the next try.
void Store::forget_start() {
    index_ = Index(options_.keyspaces);
    segments_.clear();
    shadows_.clear();
    dirty_.clear();
    leaving_.clear();
    removing_.clear();
    id_ = generation_ = 0;
    next_number_ = 1;
    next_ = durable_ = 1;
    size_ = others_ = puts_ = erases_ = 0;
    settled_ = true;
    unsound_tail_ = folder_dirty_ = manifest_due_ = job_out_ = false;
    suspect_below_.reset();
}

Fault Store::open(Stamp now, Report& report, bool patient) {
    patient_ = patient;
    forget_start();
    report = {};
    opened_ = now;
    if (!options_.read_only) {
        const int bad = files_.lock(lock_name);
        if (bad == -EWOULDBLOCK) return fail(Fault::locked, "another process has the folder");
        if (bad < 0)
            return fail(Fault::io, std::string("the folder cannot be locked: ") + std::strerror(-bad));
    }
    recovering_ = true;
    const auto fault = recover(report);
    recovering_ = false;
    if (fault == Fault::none && !options_.read_only) count_others();
    return fault;
}

// What there is to read: the segments that the manifest names and newer ones.
Fault Store::survey(std::optional<Manifest>& manifest, std::vector<Listed>& segments,
                    std::vector<Number>& stale, std::map<Number, std::uint64_t>& sizes) {
    std::vector<Files::Entry> entries;
    if (const int bad = files_.list(entries); bad < 0)
        return fail(Fault::io, std::string("the folder cannot be read: ") + std::strerror(-bad));
    std::string text;
    const int bad = read_all(files_, manifest_name, most_manifest, text);
    if (bad < 0 && bad != -ENOENT && (passing(bad) || patient_ || bad != -EIO))
        return fail(Fault::io, std::string("the manifest cannot be opened: ") + std::strerror(-bad));
    if (bad >= 0) manifest = read_manifest(text);
    if (manifest) segments = manifest->segments;
    for (const auto& entry : entries) {
        const auto number = number_of_segment(entry.name);
        if (entry.name == restoring_name)
            return fail(Fault::damaged, "a restore into this folder did not end: run it again");
        if (!number) continue;
        sizes[*number] = entry.size;
        const auto same = [&](const Listed& l) { return l.number == *number; };
        if (std::any_of(segments.begin(), segments.end(), same)) continue;
        if (manifest && *number < manifest->next)
            stale.push_back(*number);  // compacted away; its removal did not last
        else
            segments.push_back({*number, 0, 0, false});
    }
    std::sort(segments.begin(), segments.end(),
              [](const Listed& a, const Listed& b) { return a.number < b.number; });
    return Fault::none;
}

Fault Store::recover(Report& report) {
    std::optional<Manifest> manifest;
    std::vector<Listed> segments;
    std::vector<Number> stale;
    std::map<Number, std::uint64_t> sizes;
    if (const auto fault = survey(manifest, segments, stale, sizes); fault != Fault::none) return fault;
    id_ = manifest ? manifest->store : 0;
    generation_ = manifest ? manifest->generation : 0;
    next_number_ = manifest ? manifest->next : 1;
    next_ = options_.first;
    std::vector<Reading> readings;
    for (const auto& listed : segments) {
        Reading reading;
        reading.listed = manifest && listed.number < manifest->next;
        reading.size = sizes[listed.number];
        if (const auto fault = read_segment(listed, reading, report); fault != Fault::none) return fault;
        if (patient_ && reading.unreadable)
            return fail(Fault::io, segment_name(listed.number) + " cannot be read");
        next_number_ = std::max(next_number_, listed.number + 1);
        if (reading.present && older(next_, reading.next)) next_ = reading.next;
        readings.push_back(reading);
    }
    // A store that was being made when its process ended has had no frame.
    const bool nothing =
        report.frames == 0 && std::none_of(readings.begin(), readings.end(), [](const Reading& r) {
            return r.damaged > 0 || r.spoilt_tail || r.unreadable || r.size > segment_head;
        });
    if (!manifest && nothing) {
        report.made = true;
        if (options_.read_only) return fail(Fault::missing, "there is no store here");
        for (const auto& listed : segments) files_.remove(segment_name(listed.number));
        segments_.clear();
        size_ = 0;
        next_ = options_.first;
        return make();
    }
    if (id_ == 0) id_ = options_.id;
    const auto conclusion = conclude(readings, manifest.has_value(), next_);
    report.findings = conclusion.findings;
    report.suspect_below = conclusion.suspect_below;
    if (manifest && manifest->suspect_below) {
        report.findings.push_back(
            {0, Judgement::What::damaged, 0, "an earlier start found damage that nobody has settled"});
        if (!report.suspect_below || older(*report.suspect_below, *manifest->suspect_below))
            report.suspect_below = manifest->suspect_below;
    }
    suspect_below_ = report.suspect_below;
    next_ = conclusion.next;
    durable_ = next_ - 1;  // what was read may never have been synced
    settled_ = report.sound();
    if (options_.read_only) return Fault::none;
    // The manifest that does not name them may not have lasted yet; the one before does.
    if (!stale.empty() && options_.durability != Durability::none && files_.sync_folder() < 0)
        return fail(Fault::io, "the folder cannot be synced");
    for (const auto number : stale) files_.remove(segment_name(number));
    files_.remove(manifest_part);
    return mend(conclusion, readings, report.sound());
}

Fault Store::read_segment(const Listed& listed, Reading& reading, Report& report) {
    reading.number = listed.number;
    reading.promised = listed.size;
    reading.first = reading.next = listed.first;
    std::unique_ptr<File> file;
    const int bad =
        files_.open(segment_name(listed.number), options_.read_only ? Mode::read : Mode::append, file);
    if (bad < 0 && passing(bad))
        return fail(Fault::io, segment_name(listed.number) + ": " + std::strerror(-bad));
    if (bad < 0) {
        reading.present = false;
        return Fault::none;
    }
    char bytes[segment_head];
    const auto got = file->read_at(bytes, sizeof bytes, 0);
    const auto head = got < 0 ? std::nullopt : read_segment_head({bytes, static_cast<std::size_t>(got)});
    reading.unreadable = got < 0;
    reading.head_good = head && head->number == listed.number && (id_ == 0 || head->store == id_);
    if (reading.head_good) {
        id_ = head->store;
        reading.first = reading.next = head->first;
        reading.durable = head->durable;
    }
    auto& segment = segments_[listed.number];
    segment.file = std::move(file);
    segment.first = reading.first;
    segment.size = reading.size;
    size_ += blocks_of(reading.size);
    // Behind the size that it was sealed with there may be a part of a frame that could not be cut off.
    const auto to = reading.promised > 0 ? std::min(reading.promised, reading.size) : reading.size;
    reading.whole = std::min<std::uint64_t>(segment_head, to);
    read_frames(segment, reading, to, report);
    segment.damaged = listed.damaged || !reading.head_good || reading.damaged > 0 || reading.spoilt_tail ||
                      reading.unreadable || reading.promised > reading.whole;
    // Behind it another process may be writing.
    if (options_.read_only && !segment.damaged) segment.size = reading.whole;
    return Fault::none;
}

void Store::read_frames(Segment& segment, Reading& reading, std::uint64_t to, Report& report) {
    Scan scan(*segment.file, segment_head, to);
    bool behind = !reading.head_good;
    bool known = reading.head_good;  // which version comes next
    for (;;) {
        const auto frame = scan.next();
        switch (frame.what) {
            case Found::What::end: return;
            case Found::What::torn: reading.torn_tail = true; return;
            case Found::What::spoilt: reading.spoilt_tail = true; return;
            case Found::What::failed: reading.unreadable = true; return;
            case Found::What::damage:
                reading.damaged += frame.size;
                behind = true;
                known = false;
                continue;
            case Found::What::frame: break;
        }
        if (known && frame.head.version != reading.next) behind = true, reading.damaged += 1;
        if (behind) reading.behind_damage = frame.head.version;
        behind = false;
        known = true;
        Place place{reading.number, frame.offset, static_cast<std::uint32_t>(frame.size), 0};
        std::uint64_t operations = 0;
        each_operation(frame.content, [&](const Operation& o, std::uint32_t at) {
            place.at = at;
            apply(o, place);
            ++operations;
        });
        reading.next = frame.head.version + (frame.head.copied ? 1 : operations);
        reading.whole = frame.offset + frame.size;
        ++report.frames;
        report.operations += operations;
        report.bytes += frame.size;
    }
}

Fault Store::mend(const Conclusion& conclusion, const std::vector<Reading>& readings, bool report_sound) {
    for (const auto& finding : conclusion.findings)
        if (finding.what == Judgement::What::torn && finding.bytes < segment_head &&
            segments_.count(finding.number) != 0 && segments_.at(finding.number).size < segment_head) {
            files_.remove(segment_name(finding.number));
            size_ -= std::min(size_, blocks_of(segments_.at(finding.number).size));
            segments_.erase(finding.number);
        }
    bool fresh = conclusion.fresh_segment || segments_.empty() || segments_.rbegin()->second.damaged;
    // What follows the last good frame of a sound segment was never acknowledged.
    for (const auto& reading : readings) {
        const auto found = segments_.find(reading.number);
        if (found == segments_.end() || found->second.damaged || reading.whole >= reading.size) continue;
        auto& segment = found->second;
        if (segment.file->truncate(reading.whole) < 0) fresh = true;
        size_ -= std::min(size_, blocks_of(segment.size) - blocks_of(reading.whole));
        segment.size = reading.whole;
    }
    // One that was sealed with a size is not written to again.
    if (!readings.empty() && readings.back().promised > 0) fresh = true;
    // Behind damage versions leap: in a segment of its own, whose number has a gap before it, that is no gap.
    if (!report_sound) fresh = true, ++next_number_;
    if (!segments_.empty()) segments_.rbegin()->second.sealed = fresh;
    count_erases();
    if (options_.durability != Durability::none) {
        for (const auto& [number, s] : segments_) dirty_.push_back(s.file);
        folder_dirty_ = manifest_due_ = true;
    }
    return fresh ? roll() : Fault::none;
}

Fault Store::make() {
    id_ = options_.id;
    generation_ = 0;
    if (const auto fault = roll(); fault != Fault::none) return fault;
    // Frames without a manifest are read as damage: none is written before there is one.
    // Where that is the keeper's job later on, it is done here all the same: it is small and nobody waits
    // yet.
    if (options_.durability == Durability::none)
        return generation_ > 0 || install() ? Fault::none : Fault::io;
    auto job = next_job();
    Job::Install came;
    const int result = job->run(files_, &came);
    finish(*job, result, came.done);
    if (result < 0) return Fault::io;
    return came.done ? Fault::none : fail(came);
}

void Store::settle() {
    if (settled_) return;
    settled_ = true;
    suspect_below_.reset();
    publish();
}

}  // namespace brasslift::store
