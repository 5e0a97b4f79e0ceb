// The table of hosts: a dense record for each host that discovery lists, and who has which uid, which address
// and which destination. It holds what is known of hosts that are asleep; for those that are awake the pool,
// the core and the module have state of their own (docs/design/destinations.md).
//
// A whole list is staged beside the one that holds and takes its place at once by commit(), so that nobody
// sees half of it: records carry the list that named them (`named`) and, while it is staged, the one that
// brought them (`born`). What the new list did not name is worked off afterwards by sweep(), in slices. A
// staged list that does not come to its end is taken back by abort() and sweep().
//
// No I/O and no clock: times are told, milliseconds. One thread. Errors: none but std::bad_alloc; bytes()
// says what it holds, so that its owner can refuse in time.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "brasslift/sender.hpp"
#include "cluster/slot_index.hpp"
#include "runtime/socket.hpp"

namespace brasslift::cluster {

// A uid in twelve bytes: inline up to eleven, which platforms' ids have, else on the heap.
class Uid {
public:
    Uid() = default;
    explicit Uid(std::string_view text);
    ~Uid();
    Uid(Uid&& other) noexcept;
    Uid& operator=(Uid&& other) noexcept;
    std::string_view view() const;

private:
    static constexpr std::size_t most_inline = 11;
    static constexpr unsigned char on_heap = 0xff;
    unsigned char length() const { return static_cast<unsigned char>(bytes_[most_inline]); }
    char bytes_[most_inline + 1] = {};
};

// One host as it is known.
struct HostView {
    std::string_view uid;  // until the table changes
    runtime::Address address;
    Listing listing;  // its endpoint filled in, and what is remembered of it
};

class Table {
public:
    explicit Table(Time birth = 0) : birth_(birth) {}

    // ---- changes of the list that holds; not while a whole one is staged or swept up after.
    // The host's slot, no_slot where there is nothing to do: gone and never heard of, or without an address.
    // `left`: hosts that are gone since this one, which is ready, has their address.
    Slot put(std::string_view uid, runtime::Address address, const Listing& line, Time now,
             std::vector<Slot>& left);
    // As if the list had said that it is gone. False: it was.
    bool leave(Slot slot, Time now);
    // From now on it is another host under the same uid, of which nothing is remembered.
    void renumber(Slot slot);

    // ---- a whole list
    void begin_whole();
    void stage(std::string_view uid, runtime::Address address, const Listing& line);
    void commit();
    void abort();
    bool staging() const { return phase_ == Phase::staging; }
    bool swept() const { return phase_ == Phase::settled; }
    // Works off at most so many records after commit() or abort(). True: done, it may begin anew.
    // `visit` is called with each host of the new list and those that it does not name any more, which are
    // gone; with one whose address or destination is another now, both as it was, gone, and as it is.
    using Visit = std::function<void(const HostView&)>;
    bool sweep(
        std::size_t most, Time now, const Visit& visit = [](const HostView&) {});

    // ---- what holds
    std::optional<HostView> at(Slot slot) const;  // nothing: not of the list that holds
    Slot find(std::string_view uid) const;
    // Whether some list has ever named it; it may be without hosts for a while.
    bool knows(DestinationId destination) const;
    // Hosts of a destination, those that are gone included until they are forgotten.
    void hosts_of(DestinationId destination, std::vector<Slot>& into) const;
    // Between commit() and the end of the sweep: hosts of a destination that the new list does not name.
    void left_of(DestinationId destination, std::vector<HostView>& into) const;
    std::size_t size() const { return records_; }   // records in use, staged ones too
    std::size_t listed() const { return listed_; }  // not gone, those that drain included
    std::uint32_t last_number() const { return last_number_; }
    std::size_t bytes() const;

    // ---- what is remembered of a host while it sleeps
    void remember(Slot slot, const Listing& line);

    // ---- hosts that have gone
    struct Forgotten {
        std::uint32_t number = 0;
        DestinationId destination = 0;
    };
    Time next_gone() const { return gone_.empty() ? never : gone_.front().at; }
    // Forgets hosts that have been gone since `before` or longer, at most so many.
    void forget(Time before, std::size_t most, std::vector<Forgotten>& forgotten);

    // ---- for a successor
    template <class Visit>
    void each(const Visit& visit) const {
        for (Slot slot = 0; slot < end_; ++slot)
            if (const auto host = at(slot)) visit(*host, gone_since(slot));
    }
    void adopt(const HostView& host, Time gone_at);
    void adopt_numbers(std::uint32_t last) { last_number_ = last; }

private:
    static constexpr Time never = std::numeric_limits<Time>::infinity();
    struct Record {
        Uid uid;
        std::uint32_t number = 0;
        double weight = 0;
        std::uint32_t ip = 0, next = no_slot, previous = no_slot;
        DestinationId destination = 0;
        std::uint32_t wait = 0, failed = 0;  // times by packed(); 0: none
        std::uint16_t port = 0, zone = 0;
        std::uint8_t kind = 0;
        std::uint8_t state : 2 = 0, outage : 2 = 0, named : 2 = 0, born : 2 = 0;
        // free: in no index. marker: of a destination without hosts, in its index alone.
        // indexed: by its address.
        std::uint8_t free : 1 = 1, marker : 1 = 0, indexed : 1 = 0;
    };
    static_assert(sizeof(Record) <= 56);
    enum class Phase : std::uint8_t { settled, staging, committed, aborted };
    static constexpr std::size_t chunk = 1024;
    // An address is one host's. Where a list gives it to many that drain, no more than so many are found by
    // it: those beyond are not gone when a host that is ready takes it over.
    static constexpr int most_at_address = 8;

    Record& record(Slot slot) { return chunks_[slot / chunk][slot % chunk]; }
    const Record& record(Slot slot) const { return chunks_[slot / chunk][slot % chunk]; }
    bool holds(const Record& r) const {
        return r.free == 0 && r.marker == 0 &&
               (r.named == current_ ||
                (phase_ != Phase::committed && r.named == staged_ && r.born != staged_));
    }
    bool is_staged(const Record& r) const { return r.free == 0 && r.marker == 0 && r.named == staged_; }
    bool is_live(Slot slot) const { return is_staged(record(slot)) && !gone(record(slot)); }
    bool gone(const Record& r) const { return r.state == static_cast<std::uint8_t>(ListingState::gone); }
    static std::uint64_t hash_of(std::string_view uid);
    static std::uint64_t hash_of(std::uint32_t ip, std::uint16_t port);
    static std::uint64_t hash_of(DestinationId destination) {
        return mixed(destination + 0x9e3779b97f4a7c15U);
    }
    std::uint32_t packed(Time at) const;
    Time unpacked(std::uint32_t at) const;
    Time gone_since(Slot slot) const;

    HostView view_of(Slot slot) const;
    bool same_entry(const Record& a, const Record& b) const {
        return a.ip == b.ip && a.port == b.port && a.destination == b.destination;
    }
    template <class IsIt>
    Slot find_uid(std::string_view uid, const IsIt& is_it) const;
    Slot head_of(DestinationId destination) const;
    Slot take_slot();
    // A record of its own for these values, in all indexes.
    Slot create(std::string_view uid, std::uint32_t number);
    void set(Slot slot, runtime::Address address, const Listing& line);
    bool same(const Record& r, runtime::Address address, const Listing& line) const;
    void set_state(Slot slot, ListingState state);
    void link(Slot slot);
    void unlink(Slot slot);
    bool has_address(Slot slot, std::uint32_t ip, std::uint16_t port) const {
        return record(slot).ip == ip && record(slot).port == port;
    }
    void index_address(Slot slot);
    void drop_address(Slot slot);
    // Out of all indexes; the last of its destination leaves a marker where `marks`.
    void remove(Slot slot, bool marks);
    Slot version_of(Slot slot);
    template <class Claims>
    void claim_address(Slot slot, const Claims& claims);

    Time birth_;
    std::vector<std::unique_ptr<Record[]>> chunks_;
    Slot end_ = 0;  // slots ever used
    std::vector<Slot> free_;
    SlotIndex by_uid_, by_address_, by_destination_;
    struct Gone {
        Time at = 0;
        Slot slot = no_slot;
    };
    std::deque<Gone> gone_;                      // in the order of their going
    std::unordered_map<Slot, Time> gone_since_;  // what of it still is
    Phase phase_ = Phase::settled;
    std::uint8_t current_ = 0, staged_ = 0;  // lists, counted modulo four
    Slot sweep_at_ = 0;
    std::size_t records_ = 0, listed_ = 0;
    std::size_t staged_listed_ = 0;  // of the staged list
    std::uint32_t last_number_ = 0;  // never given twice: another uid is another host
};

}  // namespace brasslift::cluster
