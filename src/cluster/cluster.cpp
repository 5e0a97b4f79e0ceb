#include "cluster/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "cluster/known.hpp"
#include "http/parser.hpp"
#include "http/writer.hpp"
#include "runtime/log.hpp"
#include "store/format.hpp"

namespace brasslift::cluster {
namespace {

constexpr ListBounds list_bounds;
constexpr http::Limits watch_limits{16 * 1024, list_bounds.most_bytes};
// What the watch reads in one turn of the loop takes no longer, but for one read.
constexpr double read_ms = 2;
// Records that are worked off after a whole list before the loop has its turn: about a millisecond.
constexpr std::size_t sweep_slice = 8192;
// Parts of the memory limit that the table and what is awake may take, and what a host that is awake takes in
// all (measured: docs/CAPACITY.md).
constexpr double table_share = 0.25, awake_share = 0.25, awake_bytes = 8000;

// The name under which versions before kept an endpoint that leaves.
std::uint64_t former_name_of(std::string_view uid) { return store::hash_of(uid); }

std::uint64_t entry_of(const HostView& host) {
    return entry_name(host.uid, host.address, host.listing.destination);
}

std::string watch_request(std::uint32_t after) {
    return http::write_request("GET", "/discovery/hosts?stream=1&index=" + std::to_string(after),
                               {{"Host", "discovery"}}, "");
}

}  // namespace

// Whole lists go straight into the table, so that they are never held; changes, and whatever others share,
// are gathered. One that does not come to its end leaves nothing.
struct Cluster::Lists : ListSink {
    Lists(Cluster& owner, Tell t) : cluster(owner), tell(std::move(t)) {}
    ~Lists() override {
        if (staging) cluster.cut_whole();
    }
    Lists(const Lists&) = delete;
    Lists& operator=(const Lists&) = delete;

    void begin(const ListHead& head) override {
        coming = {head.whole, head.version, {}};
        // Changes up to a version before the one that was asked for: of an agent that does not know the lists
        // that this process has heard.
        foreign = foreign || (!latest && !head.whole && head.version < cluster.asked_);
        if (foreign) return;
        // Versions grow within one watch: an older one is a second copy of what was heard before.
        stale = latest && head.version < *latest;
        if (stale) return;
        staging = head.whole && cluster.share_ == nullptr;
        if (staging) cluster.begin_whole(std::exchange(whole, {}));
    }
    void line(News::Line&& line) override {
        if (stale || foreign) return;
        if (!staging)
            coming.lines.push_back(std::move(line));
        else
            fits = fits && cluster.stage(line);
    }
    void end() override {
        if (left_out != nullptr && left_out->any()) runtime::log("cluster", "%s", as_text(*left_out).c_str());
        if (stale || foreign) return;
        if (!fits) return cut({});
        latest = coming.version;
        if (std::exchange(staging, false))
            tell(cluster.end_whole(coming.version));
        else
            whole.push_back(std::exchange(coming, {}));
        any = true;
    }
    void cut(std::string_view) override {
        if (std::exchange(staging, false)) cluster.cut_whole();
    }

    Cluster& cluster;
    Tell tell;
    const LeftOut* left_out = nullptr;
    bool staging = false, fits = true, stale = false, foreign = false;
    std::optional<std::uint32_t> latest;  // version that came on this watch
    bool any = false;                     // came to its end
    News coming;
    std::vector<News> whole;  // that are still to be applied
};

Cluster::Cluster(runtime::Scheduler& scheduler, const config::Config& config, runtime::Address discovery,
                 upstream::Pool& pool, double forget_ms)
    : scheduler_(scheduler),
      config_(config),
      discovery_(discovery),
      pool_(pool),
      forget_ms_(forget_ms),
      waker_(scheduler),
      watch_waker_(scheduler),
      mailbox_(waker_),
      pace_(config.seed, {config.settings.senders, !config.settings.list_by_ask, config.drain_grace_ms}) {}

dispatch::Listed Cluster::begin_with_known() {
    dispatch::Listed first;
    reads_known_ = true;
    Lists lists(*this, [&first](dispatch::Listed listed) { first = std::move(listed); });
    const bool sound = read_known(config_, lists) && lists.fits;
    finish_sweep();
    if (sound && !lists.whole.empty()) {
        if (share_ != nullptr) share_->own(lists.whole.back(), 0);
        first = apply(lists.whole.back());
    }
    reads_known_ = false;
    return first;
}

dispatch::Listed Cluster::begin_with(const News& known) {
    reads_known_ = true;
    auto first = apply(known);
    reads_known_ = false;
    return first;
}

void Cluster::begin_with_departed(const dispatch::DepartedEntries& departed, bool from_config) {
    departures_.restore(departed);
    trusts_known_ = !from_config || departures_.complete();
    if (!trusts_known_)
        runtime::log("cluster",
                     "too much has departed since the config's list: nothing is sent before "
                     "discovery's whole list has come");
}

bool Cluster::is_kept_out(const HostView& host) const {
    if (!list_confirmed_) {
        if (!trusts_known_ || departures_.contains(entry_of(host))) return true;
        if (departures_.contains(former_name_of(host.uid))) return true;
    }
    return keeps_out_ && keeps_out_(std::string(host.uid));
}

// Discovery's own word on an entry, for the next process.
void Cluster::note_entry(const HostView& host) {
    if (reads_known_) return;
    if (host.listing.state != ListingState::ready) return note_departed(host);
    if (departures_.empty()) return;
    departures_.remove(entry_of(host));
    departures_.remove(former_name_of(host.uid));
}

void Cluster::note_departed(const HostView& host) {
    if (!reads_known_) departures_.add(entry_of(host));
}

// Of a host that discovery names; `before`: as it was known.
void Cluster::note_change(const std::optional<HostView>& before, const HostView& now) {
    if (before && entry_of(*before) != entry_of(now)) note_departed(*before);
    note_entry(now);
}

// Where what was kept before is to be replaced, that happens at once and in full.
void Cluster::flush_departures() {
    if (departures_.changes().empty() || (departures_.changes().cleared && !table_.swept())) return;
    keep_departures_(departures_.take_changes());
}

upstream::HostState Cluster::state_of(const HostView& host) const {
    const auto& line = host.listing;
    upstream::HostState state;
    state.id = line.endpoint;
    state.address = host.address;
    state.destination = line.destination;
    state.apart = line.kind < config_.settings.kinds.size() && config_.settings.kinds[line.kind].routes_apart;
    state.ready = line.state == ListingState::ready && !is_kept_out(host);
    state.gone = line.state == ListingState::gone;
    state.wait_until = line.wait_until;
    return state;
}

void Cluster::tell_host(const HostView& host, std::vector<Listing>& lines) {
    const auto state = state_of(host);
    pool_.relist(state);
    lines.push_back(host.listing);
    if (host.listing.state == ListingState::ready && !state.ready)
        lines.back().state = ListingState::draining;
}

// As if the list had said that it is gone.
void Cluster::tell_gone(const HostView& host, std::vector<Listing>& lines) {
    auto left = host;
    left.listing.state = ListingState::gone;
    pool_.relist(state_of(left));
    Listing line;
    line.endpoint = host.listing.endpoint;
    line.destination = host.listing.destination;
    line.state = ListingState::gone;
    lines.push_back(line);
}

bool Cluster::table_full() const {
    return static_cast<double>(table_.bytes()) > config_.memory_mb * 1e6 * table_share;
}

// False: there is no room for it.
bool Cluster::take_line(const News::Line& line, std::vector<Listing>& lines) {
    const auto before = table_.find(line.uid);
    if (before == no_slot && table_full()) return false;
    // The view's uid is the line's own: the table's is gone with its record.
    auto known = before == no_slot ? std::nullopt : table_.at(before);
    if (known) known->uid = line.uid;
    // Under another destination it is another host.
    if (known && known->listing.destination != line.listing.destination) {
        if (awake_.count(known->listing.destination) != 0) {
            tell_gone(*known, lines);
            orphans_.emplace_back(scheduler_.now(), known->listing.endpoint);
        }
        table_.renumber(before);
    }
    std::vector<Slot> left;
    const auto slot = table_.put(line.uid, line.address, line.listing, scheduler_.now(), left);
    if (slot == no_slot) return true;
    for (const auto other : left) {
        const auto host = *table_.at(other);
        note_departed(host);
        if (awake_.count(host.listing.destination) != 0) tell_gone(host, lines);
    }
    all_awake_ = all_awake_ && table_.size() <= most_all_awake;
    const auto host = *table_.at(slot);
    note_change(known, host);
    if (all_awake_) awake_.insert(host.listing.destination);
    if (awake_.count(host.listing.destination) != 0) tell_host(host, lines);
    return true;
}

bool Cluster::stage(const News::Line& line) {
    if (table_full()) return false;
    table_.stage(line.uid, line.address, line.listing);
    return true;
}

// True: nothing is left of the last whole list to be worked off.
bool Cluster::sweep(std::size_t most) {
    const bool done =
        table_.sweep(most, scheduler_.now(), [this](const HostView& host) { note_entry(host); });
    flush_departures();
    return done;
}

void Cluster::finish_sweep() {
    while (!sweep(sweep_slice)) continue;
}

// From now on the table is discovery's word. Where the departures from the config's list were not complete
// they are gathered anew: the sweep finds all of them.
void Cluster::confirm_list() {
    list_confirmed_ = true;
    if (std::exchange(trusts_known_, true)) return;
    departures_.clear();
}

// The staged list holds from now on: what it changes for those that are awake. It costs what is awake; the
// table's sweep does the rest, in slices.
dispatch::Listed Cluster::commit() {
    table_.commit();
    if (!reads_known_) confirm_list();
    dispatch::Listed listed;
    listed.whole = true;
    all_awake_ = table_.size() <= (all_awake_ ? most_all_awake : few_again);
    if (all_awake_)
        table_.each([this](const HostView& host, Time) { awake_.insert(host.listing.destination); });
    std::vector<HostView> hosts, left;
    std::vector<Slot> slots;
    for (const auto destination : awake_) {
        table_.left_of(destination, left);
        table_.hosts_of(destination, slots);
    }
    for (const auto& host : left) {
        tell_gone(host, listed.lines);
        // Where its uid is another host's by now, the table does not remember this one's end.
        if (table_.find(host.uid) != no_slot) orphans_.emplace_back(scheduler_.now(), host.listing.endpoint);
    }
    for (const auto slot : slots) hosts.push_back(*table_.at(slot));
    // New ones in the order in which the list named them.
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& a, const auto& b) { return a.listing.endpoint < b.listing.endpoint; });
    for (const auto& host : hosts) tell_host(host, listed.lines);
    return listed;
}

dispatch::Listed Cluster::apply(const News& news) {
    finish_sweep();
    dispatch::Listed listed;
    bool fits = true;
    if (news.whole) {
        table_.begin_whole();
        for (const auto& line : news.lines) fits = fits && stage(line);
        if (fits)
            listed = commit();
        else
            table_.abort();
        finish_sweep();
    } else {
        for (const auto& line : news.lines) fits = take_line(line, listed.lines) && fits;
        flush_departures();
    }
    if (!fits) tell_full();
    if (fits || !news.whole) version_ = news.version;
    return listed;
}

bool Cluster::has_room() const {
    return static_cast<double>(pool_.known()) * awake_bytes < config_.memory_mb * 1e6 * awake_share;
}

void Cluster::wake(DestinationId destination, std::vector<Listing>& hosts) {
    awake_.insert(destination);
    std::vector<Slot> slots;
    table_.hosts_of(destination, slots);
    for (const auto slot : slots)
        if (const auto host = *table_.at(slot); host.listing.state != ListingState::gone)
            tell_host(host, hosts);
}

bool Cluster::sleep(DestinationId destination, const std::function<bool(Listing&)>& rest) {
    if (!table_.swept()) return false;  // what the last list left is still to be told
    std::vector<Slot> slots;
    std::vector<Listing> lines;
    table_.hosts_of(destination, slots);
    for (const auto slot : slots) {
        lines.push_back(table_.at(slot)->listing);
        // One that has gone is forgotten first.
        if (lines.back().state == ListingState::gone || !rest(lines.back())) return false;
    }
    for (std::size_t i = 0; i < slots.size(); ++i) {
        lines[i].wait_until = std::max(lines[i].wait_until, pool_.wait_until(lines[i].endpoint));
        table_.remember(slots[i], lines[i]);
        pool_.forget(lines[i].endpoint);
    }
    if (!slots.empty()) awake_.erase(destination);
    return !slots.empty();
}

// Hosts that sleep are looked at as they wake.
void Cluster::look_at(const HostView& host, dispatch::Listed& listed) {
    if (host.listing.state != ListingState::ready || awake_.count(host.listing.destination) == 0) return;
    tell_host(host, listed.lines);
}

void Cluster::tell_again(dispatch::Listed listed) {
    if (listed.lines.empty()) return;
    listed.from_config = true;  // nothing was heard from discovery
    tell_(std::move(listed));
}

void Cluster::look_again() {
    dispatch::Listed listed;
    std::vector<Slot> slots;
    for (const auto destination : awake_) table_.hosts_of(destination, slots);
    for (const auto slot : slots) look_at(*table_.at(slot), listed);
    tell_again(std::move(listed));
}

void Cluster::look_again(const std::vector<std::string>& uids) {
    dispatch::Listed listed;
    for (const auto& uid : uids)
        if (const auto slot = table_.find(uid); slot != no_slot) look_at(*table_.at(slot), listed);
    tell_again(std::move(listed));
}

ClusterState Cluster::save() {
    if (!table_.staging()) finish_sweep();
    ClusterState state{{}, {awake_.begin(), awake_.end()}, orphans_, table_.last_number(), version_, heard_};
    table_.each([&](const HostView& host, Time gone_at) {
        state.hosts.push_back({std::string(host.uid), host.address, host.listing, gone_at});
    });
    return state;
}

void Cluster::adopt(const ClusterState& state) {
    for (const auto& known : state.hosts)
        table_.adopt({known.uid, known.address, known.listing}, known.gone_at);
    table_.adopt_numbers(state.last_id);
    awake_ = {state.awake.begin(), state.awake.end()};
    orphans_ = state.orphans;
    all_awake_ = table_.size() <= most_all_awake;
    version_ = state.version;
    heard_ = state.heard;
}

Time Cluster::next_due() const {
    if (!table_.swept()) return table_.staging() ? runtime::never : scheduler_.now();
    const Time orphaned = orphans_.empty() ? runtime::never : orphans_.front().first;
    return std::min(table_.next_gone(), orphaned) + forget_ms_;
}

// New hosts come without end; those that have gone leave nothing behind, here or in the core.
dispatch::Listed Cluster::forget_gone() {
    dispatch::Listed listed;
    const Time before = scheduler_.now() - forget_ms_;
    const auto forget = [&](EndpointId host) {
        pool_.forget(host);
        listed.forgotten.push_back(host);
    };
    std::vector<Table::Forgotten> forgotten;
    table_.forget(before, sweep_slice, forgotten);
    for (const auto& host : forgotten)
        if (awake_.count(host.destination) != 0) forget({host.number, 0});
    for (; !orphans_.empty() && orphans_.front().first <= before; orphans_.pop_front())
        forget(orphans_.front().second);
    if (!all_awake_ && table_.size() < few_again) wake_all(listed);
    return listed;
}

// So few are left that none needs to sleep.
void Cluster::wake_all(dispatch::Listed& listed) {
    all_awake_ = true;
    std::set<DestinationId> asleep;
    table_.each([&](const HostView& host, Time) {
        if (awake_.count(host.listing.destination) == 0) asleep.insert(host.listing.destination);
    });
    for (const auto destination : asleep) wake(destination, listed.lines);
}

runtime::Task<void> Cluster::run() {
    for (;;) {
        if (!table_.staging()) {
            if (sweep(sweep_slice)) {
                while (auto news = mailbox_.take()) tell_(apply(*news));
                auto listed = forget_gone();
                if (!listed.forgotten.empty() || !listed.lines.empty()) {
                    listed.from_config = true;  // nothing was heard from discovery
                    tell_(std::move(listed));
                }
            }
        }
        co_await waker_.wait(next_due());
    }
}

runtime::Task<void> Cluster::watch() {
    asked_ = trusts_known_ ? version_ : 0;
    // What ran before the loop may have taken long, as a large list in the config does: a call's limits count
    // from now, not from the loop's last turn.
    co_await runtime::next_turn(scheduler_);
    for (;;) {
        const auto ended = co_await follow();
        const double pause = pace_.after(ended.end, ended.retry_after_ms);
        if (ended.end == WatchEnd::refused && pace_.slowest() && !refused_told_) {
            refused_told_ = true;  // once: a fleet that overbooks discovery must not fill the log too
            runtime::log("cluster", "discovery refuses the watch (%d): asking every %.0f ms or so",
                         ended.status, pace_.pause_ms());
        }
        if (ended.end == WatchEnd::heard) refused_told_ = false;
        const Time until = scheduler_.now() + pause;
        while (!moved_ && scheduler_.now() < until) co_await watch_waker_.wait(until);
        if (std::exchange(moved_, false)) pace_.reset();
    }
}

void Cluster::move_to(runtime::Address discovery) {
    if (discovery == discovery_) return;
    discovery_ = discovery;
    moved_ = true;
    watch_waker_.notify();
}

// One watch, until its connection ends or falls silent, and how it ended. The last list is kept meanwhile.
runtime::Task<Cluster::Ended> Cluster::follow() {
    auto& waker = watch_waker_;
    const Ended unreachable{WatchEnd::unreachable};
    auto socket = runtime::connect_to(scheduler_, discovery_, waker);
    if (!socket) co_return unreachable;
    Time until = scheduler_.now() + pace_.limit_ms();
    auto state = socket->connected();
    while (state == runtime::Io::blocked && !moved_ && scheduler_.now() < until) {
        co_await waker.wait(until);
        state = socket->connected();
    }
    if (state != runtime::Io::done || moved_) co_return unreachable;
    const auto request = watch_request(asked_);
    if (socket->write(request).count != request.size()) co_return unreachable;
    http::Parser parser(http::Parser::Side::response, watch_limits);
    Lists lists(*this, tell_);
    ListReader reader(config_, list_bounds, lists);
    lists.left_out = &reader.left_out();
    const auto end_of = [&reader](WatchEnd how) {
        if (reader.inside()) runtime::log("cluster", "the watch ended within a list: nothing of it holds");
        reader.stop();
        return Ended{how};
    };
    bool heard = false;
    char part[16384];
    for (;;) {
        // A large list comes faster than it is read: whoever else waits for the loop has its turn too.
        if (scheduler_.turn_ms() > read_ms) {
            co_await runtime::next_turn(scheduler_);
            if (moved_) co_return Ended{WatchEnd::heard};
        }
        const auto got = socket->read(part, sizeof part);
        if (got.io == runtime::Io::blocked) {
            // A call that was taken and then nothing: for the pace as if it had not been.
            if (scheduler_.now() >= until) co_return end_of(heard ? WatchEnd::silent : WatchEnd::unreachable);
            co_await waker.wait(until);
            if (moved_) co_return Ended{WatchEnd::heard};
            continue;
        }
        // One that was taken and ended before it said anything is one too many.
        if (got.io != runtime::Io::done)
            co_return end_of(heard                 ? WatchEnd::heard
                             : parser.has_status() ? WatchEnd::refused
                                                   : WatchEnd::unreachable);
        until = scheduler_.now() + WatchPace::silence_ms;
        parser.feed({part, got.count});
        if (parser.has_status() && parser.message().status != 200) {
            const auto* wait = parser.message().headers.find("Retry-After");
            const double seconds = wait != nullptr ? std::strtod(wait->c_str(), nullptr) : 0;
            co_return Ended{WatchEnd::refused, parser.message().status,
                            std::isfinite(seconds) ? seconds * 1000 : 0};
        }
        const auto body = std::exchange(parser.message().body, {});
        heard = heard || !body.empty();
        const auto taken = take(reader, lists, body);
        if (taken == Taken::unreadable) co_return unreachable;
        if (parser.fault() == http::Fault::body_too_large)
            runtime::log("cluster", "what the watch says is larger than %zu bytes and is not read",
                         watch_limits.body);
        if (parser.complete() || parser.fault() != http::Fault::none)
            co_return end_of(heard ? WatchEnd::heard : WatchEnd::unreachable);
        // In a large fleet the watch is let go with what it brought, so that others get one too.
        if (taken == Taken::news && pace_.lets_go()) co_return Ended{WatchEnd::heard};
    }
}

// What cannot be read may have told something: the whole list is asked for, and nothing behind it is
// believed.
Cluster::Taken Cluster::take(ListReader& reader, Lists& lists, std::string_view bytes) {
    lists.any = false;
    const bool sound = reader.feed(bytes);
    for (auto& list : std::exchange(lists.whole, {})) {
        const auto after = std::exchange(asked_, list.version);
        std::optional<News> news(std::move(list));
        if (share_ != nullptr) news = share_->own(*news, after);
        if (news) mailbox_.put(std::move(*news));
    }
    heard_ = heard_ || lists.any;
    if (sound && lists.fits && !lists.foreign) return lists.any ? Taken::news : Taken::nothing;
    if (lists.foreign)
        runtime::log("cluster",
                     "discovery sends changes up to a version before %u, which was received: the whole "
                     "list is asked for",
                     asked_);
    else if (lists.fits)
        runtime::log("cluster", "what the watch says cannot be read (%s): the whole list is asked for",
                     reader.fault().c_str());
    else
        tell_full();
    asked_ = 0;
    return Taken::unreadable;
}

// What came before it holds first.
void Cluster::begin_whole(std::vector<News> before) {
    while (auto news = mailbox_.take()) tell_(apply(*news));
    for (const auto& news : before) tell_(apply(news));
    finish_sweep();
    table_.begin_whole();
}

dispatch::Listed Cluster::end_whole(std::uint32_t version) {
    asked_ = version_ = version;
    auto listed = commit();
    waker_.notify();  // the sweep
    return listed;
}

void Cluster::cut_whole() {
    table_.abort();
    waker_.notify();
}

void Cluster::tell_full() {
    if (std::exchange(full_told_, true)) return;
    runtime::log("cluster", "the list needs more than %.0f MB, a part of the memory limit: it is not taken",
                 config_.memory_mb * table_share);
}

}  // namespace brasslift::cluster
