#include "cluster/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>
#include <utility>

#include "http/parser.hpp"
#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::cluster {
namespace {

constexpr ListBounds list_bounds;
constexpr http::Limits watch_limits{16 * 1024, list_bounds.most_bytes};
// What the watch reads in one turn of the loop takes no longer, but for one read.
constexpr double read_ms = 2;

std::string watch_request(std::uint32_t after) {
    return http::write_request("GET", "/discovery/hosts?stream=1&index=" + std::to_string(after),
                               {{"Host", "discovery"}}, "");
}

}  // namespace

struct Cluster::Lists : ListGatherer {
    const LeftOut* left_out = nullptr;
    void end() override {
        if (left_out->any()) runtime::log("cluster", "%s", as_text(*left_out).c_str());
        ListGatherer::end();
    }
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

dispatch::Listed Cluster::begin_with(const News& known) {
    if (share_ != nullptr) share_->own(known, 0);
    return apply(known);
}

dispatch::Listed Cluster::apply(const News& news) {
    version_ = news.version;
    dispatch::Listed listed;
    listed.whole = news.whole;
    if (news.whole) {
        std::set<std::string_view> named;
        for (const auto& line : news.lines) named.insert(line.uid);
        for (auto& [uid, host] : hosts_)
            if (named.count(uid) == 0) leave(host, listed);
    }
    for (const auto& line : news.lines) {
        const bool gone = line.listing.state == ListingState::gone;
        auto found = hosts_.find(line.uid);
        if (gone && found == hosts_.end()) continue;  // never heard of, or forgotten: nothing to undo
        if (found == hosts_.end()) {
            if (line.address.port == 0) continue;  // where it is, nobody has said
            found = hosts_.emplace(line.uid, Known{}).first;
            found->second.state.id = {++last_id_, 0};
        }
        auto& known = found->second;
        auto& host = known.state;
        if (line.address.port != 0) host.address = line.address;
        host.destination = line.listing.destination;
        host.apart = line.listing.kind < config_.settings.kinds.size() &&
                     config_.settings.kinds[line.listing.kind].routes_apart;
        known.listing = line.listing;
        const bool kept_out = keeps_out_ && keeps_out_(line.uid);
        host.ready = line.listing.state == ListingState::ready && !kept_out;
        host.gone = gone;
        known.gone_at = !gone ? runtime::never : std::min(known.gone_at, scheduler_.now());
        // Word of who had the address before may come later than word of who has it now.
        if (line.listing.state == ListingState::ready)
            for (auto& [uid, other] : hosts_)
                if (&other != &known && other.state.address == host.address) leave(other, listed);
        pool_.relist(host);
        listed.lines.push_back(line.listing);
        listed.lines.back().endpoint = host.id;
        if (line.listing.state == ListingState::ready && kept_out)
            listed.lines.back().state = ListingState::draining;
    }
    return listed;
}

void Cluster::look_at(const std::string& uid, Known& known, dispatch::Listed& listed) {
    if (known.state.gone || known.listing.state != ListingState::ready) return;
    const bool ready = !keeps_out_(uid);
    if (ready == known.state.ready) return;
    known.state.ready = ready;
    pool_.relist(known.state);
    listed.lines.push_back(known.listing);
    listed.lines.back().endpoint = known.state.id;
    if (!ready) listed.lines.back().state = ListingState::draining;
}

void Cluster::tell_again(dispatch::Listed listed) {
    if (listed.lines.empty()) return;
    listed.from_config = true;  // nothing was heard from discovery
    tell_(std::move(listed));
}

void Cluster::look_again() {
    dispatch::Listed listed;
    for (auto& [uid, known] : hosts_) look_at(uid, known, listed);
    tell_again(std::move(listed));
}

void Cluster::look_again(const std::vector<std::string>& uids) {
    dispatch::Listed listed;
    for (const auto& uid : uids)
        if (const auto found = hosts_.find(uid); found != hosts_.end()) look_at(uid, found->second, listed);
    tell_again(std::move(listed));
}

ClusterState Cluster::save() const {
    ClusterState state{{}, last_id_, version_, heard_};
    for (const auto& [uid, host] : hosts_) state.hosts.push_back({uid, host.state, host.gone_at});
    return state;
}

void Cluster::adopt(const ClusterState& state) {
    for (const auto& host : state.hosts) hosts_[host.uid] = {host.state, host.gone_at, {}};
    last_id_ = state.last_id;
    version_ = state.version;
    heard_ = state.heard;
}

std::size_t Cluster::listed() const {
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(),
                                                  [](const auto& host) { return !host.second.state.gone; }));
}

// As if the list had said that it is gone.
void Cluster::leave(Known& known, dispatch::Listed& listed) {
    if (known.state.gone) return;
    known.state.ready = false;
    known.state.gone = true;
    known.gone_at = scheduler_.now();
    pool_.relist(known.state);
    Listing line;
    line.endpoint = known.state.id;
    line.destination = known.state.destination;
    line.state = ListingState::gone;
    listed.lines.push_back(line);
}

Time Cluster::next_forgotten() const {
    Time first = runtime::never;
    for (const auto& [uid, host] : hosts_) first = std::min(first, host.gone_at + forget_ms_);
    return first;
}

// New hosts come without end; those that have gone leave nothing behind, here or in the core.
dispatch::Listed Cluster::forget_gone() {
    dispatch::Listed listed;
    for (auto host = hosts_.begin(); host != hosts_.end();) {
        if (scheduler_.now() < host->second.gone_at + forget_ms_) {
            ++host;
            continue;
        }
        pool_.forget(host->second.state.id);
        listed.forgotten.push_back(host->second.state.id);
        host = hosts_.erase(host);
    }
    return listed;
}

runtime::Task<void> Cluster::run() {
    for (;;) {
        while (auto news = mailbox_.take()) tell_(apply(*news));
        if (auto forgotten = forget_gone(); !forgotten.forgotten.empty()) tell_(std::move(forgotten));
        co_await waker_.wait(next_forgotten());
    }
}

runtime::Task<void> Cluster::watch() {
    asked_ = version_;
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
    Lists lists;
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
    const bool sound = reader.feed(bytes);
    const bool any = !lists.whole.empty();
    for (auto& list : std::exchange(lists.whole, {})) {
        const auto after = std::exchange(asked_, list.version);
        std::optional<News> news(std::move(list));
        if (share_ != nullptr) news = share_->own(*news, after);
        if (news) mailbox_.put(std::move(*news));
        heard_ = true;
    }
    if (sound) return any ? Taken::news : Taken::nothing;
    runtime::log("cluster", "what the watch says cannot be read (%s): the whole list is asked for",
                 reader.fault().c_str());
    asked_ = 0;
    return Taken::unreadable;
}

}  // namespace brasslift::cluster
