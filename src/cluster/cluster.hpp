// The cluster: discovery's list and the watch that keeps it. The last list is kept while discovery is silent.
// All hosts are in a dense table; the pool and the core know of those alone whose destinations are awake. In
// a small deployment all are (docs/design/destinations.md). Asked for a destination, it is looked up; a
// change costs its own size, and a whole list is staged and takes effect at once.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>

#include "cluster/departures.hpp"
#include "cluster/list_reader.hpp"
#include "cluster/news.hpp"
#include "cluster/pace.hpp"
#include "cluster/share.hpp"
#include "cluster/table.hpp"
#include "config/config.hpp"
#include "dispatch/directory.hpp"
#include "dispatch/types.hpp"
#include "runtime/mailbox.hpp"
#include "runtime/socket.hpp"
#include "upstream/pool.hpp"

namespace brasslift::cluster {

// What a cluster gives to its successor: hosts keep their numbers.
struct KnownState {
    std::string uid;
    runtime::Address address;
    Listing listing;
    Time gone_at = 0;
};
struct ClusterState {
    std::vector<KnownState> hosts;
    std::vector<DestinationId> awake;
    std::deque<std::pair<Time, EndpointId>> orphans;
    std::uint32_t last_id = 0, version = 0;
    bool heard = false;
};

class Cluster : public dispatch::Directory {
public:
    // Up to so many hosts all destinations are awake; above, those that rest sleep until a message comes.
    // Back below the second figure all wake again.
    static constexpr std::size_t most_all_awake = 1024, few_again = 768;

    // `forget_ms`: for how long a host that has gone is remembered; its last calls are over well before.
    Cluster(runtime::Scheduler& scheduler, const config::Config& config, runtime::Address discovery,
            upstream::Pool& pool, double forget_ms = 30000);

    using Tell = std::function<void(dispatch::Listed)>;
    void tell_to(Tell tell) { tell_ = std::move(tell); }
    // Numbers the hosts of a list and passes it to the pool; what the module is to be told.
    dispatch::Listed apply(const News& news);
    runtime::Task<void> run();    // the actor
    runtime::Task<void> watch();  // the connection that feeds it
    // From now on discovery is there: the watch leaves its connection and goes on where it was.
    void move_to(runtime::Address discovery);
    void share_by(Share* share) { share_ = share; }
    // What another one's agent has said; the host's own address stays where the line has none.
    void hear(News news) { mailbox_.put(std::move(news)); }
    // The list that the config has, as if it came from the agent.
    dispatch::Listed begin_with_known();
    // The same of a list that was read already.
    dispatch::Listed begin_with(const News& known);
    // Entries that hold no longer by what an earlier process received: nothing is sent to them until
    // discovery lists them as ready. `from_config`: this process begins with the list of its config, of which
    // nothing is believed before discovery's whole list where the entries are not complete.
    void begin_with_departed(const dispatch::DepartedEntries& departed, bool from_config);
    // Receives each change of them, to be kept for the next process.
    void departures_to(std::function<void(const dispatch::DepartureChange&)> keep) {
        keep_departures_ = std::move(keep);
    }
    // What keeps a host out that discovery lists as ready, by its uid: it is as one that drains.
    using KeepsOut = std::function<bool(const std::string& uid)>;
    void keep_out(KeepsOut keeps) { keeps_out_ = std::move(keeps); }
    // What that says has changed: for all hosts, or for these.
    void look_again();
    void look_again(const std::vector<std::string>& uids);
    std::size_t known() const { return table_.size(); }
    std::size_t listed() const { return table_.listed(); }  // those that drain included
    std::size_t awake() const { return awake_.size(); }     // destinations
    ClusterState save();

    bool knows(DestinationId destination) const override { return table_.knows(destination); }
    bool has_room() const override;
    void wake(DestinationId destination, std::vector<Listing>& hosts) override;
    bool may_sleep() const override { return !all_awake_; }
    bool sleep(DestinationId destination, const std::function<bool(Listing&)>& rest) override;
    void adopt(const ClusterState& state);
    bool heard() const { return heard_; }  // a list or changes, since the start

private:
    struct Ended {
        WatchEnd end = WatchEnd::unreachable;
        int status = 0;             // of a refusal
        double retry_after_ms = 0;  // its
    };
    struct Lists;  // that were read and have not been taken yet
    runtime::Task<Ended> follow();
    enum class Taken { nothing, news, unreadable };
    Taken take(ListReader& reader, Lists& lists, std::string_view bytes);

    runtime::Scheduler& scheduler_;
    const config::Config& config_;
    runtime::Address discovery_;
    upstream::Pool& pool_;
    double forget_ms_;
    runtime::Waker waker_, watch_waker_;
    runtime::Mailbox<News> mailbox_;
    Tell tell_;
    KeepsOut keeps_out_;
    Departures departures_;
    std::function<void(const dispatch::DepartureChange&)> keep_departures_ =
        [](const dispatch::DepartureChange&) {};
    bool reads_known_ = false;     // the config's list, which may be old
    bool trusts_known_ = true;     // that list, but for what has departed
    bool list_confirmed_ = false;  // a whole list of discovery's holds
    bool is_kept_out(const HostView& host) const;
    void note_entry(const HostView& host);
    void note_departed(const HostView& host);
    void flush_departures();
    bool sweep(std::size_t most);
    Share* share_ = nullptr;
    upstream::HostState state_of(const HostView& host) const;
    // To the pool, and as a line for the core.
    void tell_host(const HostView& host, std::vector<Listing>& lines);
    void tell_gone(const HostView& host, std::vector<Listing>& lines);
    bool take_line(const News::Line& line, std::vector<Listing>& lines);
    void note_change(const std::optional<HostView>& before, const HostView& now);
    bool stage(const News::Line& line);
    void begin_whole(std::vector<News> before);
    dispatch::Listed end_whole(std::uint32_t version);
    void cut_whole();
    void tell_full();
    void finish_sweep();
    dispatch::Listed commit();
    void confirm_list();
    void wake_all(dispatch::Listed& listed);
    void look_at(const HostView& host, dispatch::Listed& listed);
    void tell_again(dispatch::Listed listed);
    dispatch::Listed forget_gone();
    Time next_due() const;
    bool table_full() const;

    Table table_;
    std::set<DestinationId> awake_;  // destinations that the core is told of
    bool all_awake_ = true;
    // Numbers of hosts that the table has no record of any more while the pool and the core still have them.
    std::deque<std::pair<Time, EndpointId>> orphans_;
    bool full_told_ = false;
    std::uint32_t version_ = 0, asked_ = 0;  // asked for next: what follows the last object that was read
    bool heard_ = false, moved_ = false;
    WatchPace pace_;
    bool refused_told_ = false;
};

}  // namespace brasslift::cluster
