#include "cluster/table.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <string>
#include <utility>

namespace brasslift::cluster {
namespace {

// Times are kept in steps of so many milliseconds, rounded up: a told wait never ends early. Two years fit.
constexpr double time_step_ms = 16;

}  // namespace

Uid::Uid(std::string_view text) {
    if (text.size() <= most_inline) {
        std::memcpy(bytes_, text.data(), text.size());
        bytes_[most_inline] = static_cast<char>(text.size());
        return;
    }
    auto* const heap = new std::string(text);
    std::memcpy(bytes_, &heap, sizeof heap);
    bytes_[most_inline] = static_cast<char>(on_heap);
}

Uid::~Uid() {
    if (length() != on_heap) return;
    std::string* heap = nullptr;
    std::memcpy(&heap, bytes_, sizeof heap);
    delete heap;
}

Uid::Uid(Uid&& other) noexcept {
    std::memcpy(bytes_, other.bytes_, sizeof bytes_);
    other.bytes_[most_inline] = 0;
}

Uid& Uid::operator=(Uid&& other) noexcept {
    char own[sizeof bytes_];
    std::memcpy(own, bytes_, sizeof own);
    std::memcpy(bytes_, other.bytes_, sizeof own);
    std::memcpy(other.bytes_, own, sizeof own);
    return *this;
}

std::string_view Uid::view() const {
    if (length() != on_heap) return {bytes_, length()};
    const std::string* heap = nullptr;
    std::memcpy(&heap, bytes_, sizeof heap);
    return *heap;
}

std::uint64_t Table::hash_of(std::string_view uid) { return mixed(std::hash<std::string_view>()(uid)); }
std::uint64_t Table::hash_of(std::uint32_t ip, std::uint16_t port) {
    return mixed((std::uint64_t{ip} << 16 | port) + 1);
}

std::uint32_t Table::packed(Time at) const {
    if (!(at > birth_)) return 0;  // long over, or never
    const double steps = std::ceil((at - birth_) / time_step_ms);
    return static_cast<std::uint32_t>(std::min(steps, 4294967295.0));
}

Time Table::unpacked(std::uint32_t at) const { return at == 0 ? -never : birth_ + at * time_step_ms; }

Time Table::gone_since(Slot slot) const {
    const auto found = gone_since_.find(slot);
    return found == gone_since_.end() ? never : found->second;
}

template <class IsIt>
Slot Table::find_uid(std::string_view uid, const IsIt& is_it) const {
    return by_uid_.find(hash_of(uid), [&](Slot slot) {
        const auto& r = record(slot);
        return r.uid.view() == uid && is_it(r);
    });
}

Slot Table::find(std::string_view uid) const {
    return find_uid(uid, [this](const Record& r) { return holds(r); });
}

Slot Table::head_of(DestinationId destination) const {
    return by_destination_.find(hash_of(destination),
                                [&](Slot slot) { return record(slot).destination == destination; });
}

bool Table::knows(DestinationId destination) const {
    for (auto slot = head_of(destination); slot != no_slot; slot = record(slot).next)
        if (record(slot).marker != 0 || holds(record(slot))) return true;
    return false;
}

void Table::hosts_of(DestinationId destination, std::vector<Slot>& into) const {
    for (auto slot = head_of(destination); slot != no_slot; slot = record(slot).next)
        if (holds(record(slot))) into.push_back(slot);
}

std::optional<HostView> Table::at(Slot slot) const {
    if (!holds(record(slot))) return std::nullopt;
    return view_of(slot);
}

HostView Table::view_of(Slot slot) const {
    const auto& r = record(slot);
    HostView host;
    host.uid = r.uid.view();
    host.address = {r.ip, r.port};
    auto& line = host.listing;
    line.endpoint = {r.number, 0};
    line.zone = r.zone;
    line.destination = r.destination;
    line.kind = r.kind;
    line.state = static_cast<ListingState>(r.state);
    line.weight = r.weight;
    line.outage = static_cast<Outage>(r.outage);
    line.failed_at = unpacked(r.failed);
    line.wait_until = unpacked(r.wait);
    return host;
}

std::size_t Table::bytes() const {
    return chunks_.size() * chunk * sizeof(Record) + by_uid_.bytes() + by_address_.bytes() +
           by_destination_.bytes() + free_.capacity() * sizeof(Slot) + gone_.size() * sizeof(Gone) +
           gone_since_.size() * 40;
}

void Table::remember(Slot slot, const Listing& line) {
    auto& r = record(slot);
    r.outage = static_cast<std::uint8_t>(line.outage) & 3;
    r.failed = packed(line.failed_at);
    r.wait = packed(line.wait_until);
}

// ---- the indexes

Slot Table::take_slot() {
    if (!free_.empty()) {
        const auto slot = free_.back();
        free_.pop_back();
        return slot;
    }
    if (end_ == chunks_.size() * chunk) chunks_.push_back(std::make_unique<Record[]>(chunk));
    return end_++;
}

Slot Table::create(std::string_view uid, std::uint32_t number) {
    const auto slot = take_slot();
    auto& r = record(slot);
    r = Record{};
    r.uid = Uid(uid);
    r.number = number;
    r.free = 0;
    r.state = static_cast<std::uint8_t>(ListingState::gone);
    r.named = r.born = phase_ == Phase::staging ? staged_ : current_;
    by_uid_.insert(hash_of(uid), slot, [this](Slot s) { return hash_of(record(s).uid.view()); });
    ++records_;
    return slot;
}

void Table::link(Slot slot) {
    auto& r = record(slot);
    const auto head = head_of(r.destination);
    if (head != no_slot) {
        // Behind the head, so that the index stays as it is.
        r.previous = head;
        r.next = record(head).next;
        record(head).next = slot;
        if (r.next != no_slot) record(r.next).previous = slot;
        return;
    }
    r.previous = r.next = no_slot;
    by_destination_.insert(hash_of(r.destination), slot,
                           [this](Slot s) { return hash_of(record(s).destination); });
}

void Table::unlink(Slot slot) {
    auto& r = record(slot);
    const auto hash = hash_of(r.destination);
    const auto hash_of_head = [this](Slot s) { return hash_of(record(s).destination); };
    if (r.next != no_slot) record(r.next).previous = r.previous;
    if (r.previous != no_slot) {
        record(r.previous).next = r.next;
    } else {
        by_destination_.erase(hash, slot, hash_of_head);
        if (r.next != no_slot) by_destination_.insert(hash, r.next, hash_of_head);
    }
    r.next = r.previous = no_slot;
}

void Table::index_address(Slot slot) {
    auto& r = record(slot);
    if (r.port == 0 || gone(r)) return;
    const auto hash = hash_of(r.ip, r.port);
    int others = 0;
    by_address_.find(
        hash, [&](Slot other) { return has_address(other, r.ip, r.port) && ++others >= most_at_address; });
    if (others >= most_at_address && r.state != static_cast<std::uint8_t>(ListingState::ready)) return;
    r.indexed = 1;
    by_address_.insert(hash, slot, [this](Slot s) { return hash_of(record(s).ip, record(s).port); });
}

void Table::drop_address(Slot slot) {
    auto& r = record(slot);
    if (r.indexed == 0) return;
    r.indexed = 0;
    by_address_.erase(hash_of(r.ip, r.port), slot,
                      [this](Slot s) { return hash_of(record(s).ip, record(s).port); });
}

void Table::remove(Slot slot, bool marks) {
    auto& r = record(slot);
    drop_address(slot);
    by_uid_.erase(hash_of(r.uid.view()), slot, [this](Slot s) { return hash_of(record(s).uid.view()); });
    gone_since_.erase(slot);
    --records_;
    const bool last = r.next == no_slot && r.previous == no_slot;
    if (last && marks) {
        const auto destination = r.destination;
        r.uid = Uid();
        r.marker = 1;
        r.number = 0;
        r.destination = destination;
        return;
    }
    unlink(slot);
    r = Record{};
    free_.push_back(slot);
}

void Table::set_state(Slot slot, ListingState state) {
    drop_address(slot);
    record(slot).state = static_cast<std::uint8_t>(state);
    index_address(slot);
}

void Table::set(Slot slot, runtime::Address address, const Listing& line) {
    auto& r = record(slot);
    drop_address(slot);
    const bool linked = r.previous != no_slot || r.next != no_slot || head_of(r.destination) == slot;
    if (!linked || r.destination != line.destination) {
        if (linked) unlink(slot);
        r.destination = line.destination;
        link(slot);
    }
    if (address.port != 0) {
        r.ip = address.host;
        r.port = address.port;
    }
    r.zone = line.zone;
    r.kind = line.kind;
    r.weight = line.weight;
    r.state = static_cast<std::uint8_t>(line.state);
    index_address(slot);
}

bool Table::same(const Record& r, runtime::Address address, const Listing& line) const {
    return (address.port == 0 || (r.ip == address.host && r.port == address.port)) && r.zone == line.zone &&
           r.kind == line.kind && r.weight == line.weight && r.destination == line.destination &&
           r.state == static_cast<std::uint8_t>(line.state);
}

// Others that `claims` takes, at the address of this host, are gone.
template <class Claims>
void Table::claim_address(Slot slot, const Claims& claims) {
    const auto ip = record(slot).ip;
    const auto port = record(slot).port;
    std::vector<Slot> others;
    by_address_.find(hash_of(ip, port), [&](Slot other) {
        if (other != slot && has_address(other, ip, port)) others.push_back(other);
        return false;
    });
    for (const auto other : others) claims(other);
}

// ---- changes

Slot Table::put(std::string_view uid, runtime::Address address, const Listing& line, Time now,
                std::vector<Slot>& left) {
    auto slot = find(uid);
    const bool is_gone = line.state == ListingState::gone;
    if (slot == no_slot) {
        if (is_gone || address.port == 0) return no_slot;
        slot = create(uid, ++last_number_);
        ++listed_;
    } else if (gone(record(slot)) && !is_gone) {
        gone_since_.erase(slot);
        ++listed_;
    }
    if (is_gone) {
        leave(slot, now);
        set(slot, address, line);
        return slot;
    }
    set(slot, address, line);
    // Word of who had the address before may come later than word of who has it now.
    if (line.state == ListingState::ready)
        claim_address(slot, [&](Slot other) {
            if (leave(other, now)) left.push_back(other);
        });
    return slot;
}

bool Table::leave(Slot slot, Time now) {
    auto& r = record(slot);
    if (gone(r)) return false;
    set_state(slot, ListingState::gone);
    gone_since_[slot] = now;
    gone_.push_back({now, slot});
    --listed_;
    return true;
}

void Table::renumber(Slot slot) {
    auto& r = record(slot);
    r.number = ++last_number_;
    r.outage = 0;
    r.failed = r.wait = 0;
}

void Table::forget(Time before, std::size_t most, std::vector<Forgotten>& forgotten) {
    for (; most > 0 && !gone_.empty() && gone_.front().at <= before; --most) {
        const auto [at, slot] = gone_.front();
        gone_.pop_front();
        const auto found = gone_since_.find(slot);
        if (found == gone_since_.end() || found->second != at) continue;  // it came back
        forgotten.push_back({record(slot).number, record(slot).destination});
        remove(slot, true);
    }
}

// ---- whole lists

void Table::begin_whole() {
    phase_ = Phase::staging;
    staged_ = (current_ + 1) & 3;
    staged_listed_ = 0;
}

// A record of the staged list for a host of the list that holds, which stays as it is until the commit.
Slot Table::version_of(Slot old) {
    const auto number = record(old).number;
    const std::string uid(record(old).uid.view());
    const auto slot = create(uid, number);
    const auto& before = record(old);
    auto& r = record(slot);
    r.ip = before.ip;
    r.port = before.port;
    r.outage = before.outage;
    r.failed = before.failed;
    r.wait = before.wait;
    if (before.named == staged_) record(old).named = current_;
    return slot;
}

void Table::stage(std::string_view uid, runtime::Address address, const Listing& line) {
    auto slot = find_uid(uid, [this](const Record& r) { return is_staged(r) && r.born == staged_; });
    const auto old = slot == no_slot ? find(uid) : no_slot;
    if (slot != no_slot) {
        staged_listed_ -= is_live(slot) ? 1 : 0;  // the list has named it before
        set(slot, address, line);
    } else if (old == no_slot) {
        if (line.state == ListingState::gone || address.port == 0) return;
        slot = create(uid, ++last_number_);
        set(slot, address, line);
    } else {
        staged_listed_ -= is_live(old) ? 1 : 0;
        if (same(record(old), address, line)) {
            record(slot = old).named = staged_;
        } else {
            slot = version_of(old);
            // Under another destination it is another host.
            if (record(old).destination != line.destination) renumber(slot);
            set(slot, address, line);
        }
    }
    staged_listed_ += is_live(slot) ? 1 : 0;
    if (line.state != ListingState::ready) return;
    claim_address(slot, [&](Slot other) {
        if (!is_staged(record(other))) return;
        staged_listed_ -= is_live(other) ? 1 : 0;
        if (record(other).born == staged_) return set_state(other, ListingState::gone);
        const auto& was = record(other);
        Listing gone_line;
        gone_line.zone = was.zone;
        gone_line.kind = was.kind;
        gone_line.weight = was.weight;
        gone_line.destination = was.destination;
        gone_line.state = ListingState::gone;
        set(version_of(other), {}, gone_line);
    });
}

void Table::commit() {
    current_ = staged_;
    phase_ = Phase::committed;
    sweep_at_ = 0;
    listed_ = staged_listed_;
}

void Table::abort() {
    phase_ = Phase::aborted;
    sweep_at_ = 0;
}

void Table::left_of(DestinationId destination, std::vector<HostView>& into) const {
    if (phase_ != Phase::committed) return;
    for (auto slot = head_of(destination); slot != no_slot; slot = record(slot).next) {
        const auto& r = record(slot);
        if (r.marker != 0 || r.named == current_ || gone(r)) continue;
        // Another word of it in the new list is of the same host unless its number differs.
        const auto next = find(r.uid.view());
        if (next != no_slot && record(next).number == r.number) continue;
        HostView host;
        host.uid = r.uid.view();
        host.address = {r.ip, r.port};
        host.listing.endpoint = {r.number, 0};
        host.listing.destination = r.destination;
        host.listing.state = ListingState::gone;
        into.push_back(host);
    }
}

bool Table::sweep(std::size_t most, Time now, const Visit& visit) {
    if (phase_ == Phase::settled) return true;
    const auto until = most < end_ - sweep_at_ ? sweep_at_ + static_cast<Slot>(most) : end_;
    for (; sweep_at_ < until; ++sweep_at_) {
        auto& r = record(sweep_at_);
        if (r.free != 0) continue;
        if (r.marker != 0) {
            const bool alone = r.next == no_slot && r.previous == no_slot;
            if (!alone && phase_ == Phase::committed) {
                unlink(sweep_at_);
                r = Record{};
                free_.push_back(sweep_at_);
            }
            continue;
        }
        if (phase_ == Phase::aborted) {
            if (r.born == staged_ && r.named == staged_) {
                remove(sweep_at_, false);
                continue;
            }
        } else if (r.named != current_) {
            if (const auto next = find(r.uid.view()); next != no_slot) {
                if (!same_entry(record(next), r)) {
                    auto former = view_of(sweep_at_);
                    former.listing.state = ListingState::gone;
                    visit(former);
                }
                remove(sweep_at_, true);
                continue;
            }
            r.named = current_;
            if (!gone(r)) {
                ++listed_;  // counted no more since the commit
                leave(sweep_at_, now);
            }
        } else if (gone(r) && gone_since_.count(sweep_at_) == 0) {
            gone_since_[sweep_at_] = now;  // the new list says so itself
            gone_.push_back({now, sweep_at_});
        }
        r.named = r.born = current_;
        if (phase_ == Phase::committed) visit(view_of(sweep_at_));
    }
    if (sweep_at_ < end_) return false;
    phase_ = Phase::settled;
    staged_ = current_;
    return true;
}

// ---- for a successor

void Table::adopt(const HostView& host, Time gone_at) {
    const auto slot = create(host.uid, host.listing.endpoint.address);
    set(slot, host.address, host.listing);
    remember(slot, host.listing);
    if (host.listing.state != ListingState::gone) {
        ++listed_;
        return;
    }
    gone_since_[slot] = gone_at;
    gone_.push_back({gone_at, slot});
}

}  // namespace brasslift::cluster
