// The cluster: discovery's list and the watch that keeps it. The last list is kept while discovery is silent.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "cluster/list_reader.hpp"
#include "cluster/news.hpp"
#include "cluster/pace.hpp"
#include "cluster/share.hpp"
#include "config/config.hpp"
#include "dispatch/types.hpp"
#include "runtime/mailbox.hpp"
#include "runtime/socket.hpp"
#include "upstream/pool.hpp"

namespace brasslift::cluster {

// What a cluster gives to its successor: hosts keep their numbers.
struct KnownState {
    std::string uid;
    upstream::HostState state;
    Time gone_at = 0;
};
struct ClusterState {
    std::vector<KnownState> hosts;
    std::uint32_t last_id = 0, version = 0;
    bool heard = false;
};

class Cluster {
public:
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
    dispatch::Listed begin_with(const News& known);
    // What keeps a host out that discovery lists as ready, by its uid: it is as one that drains.
    using KeepsOut = std::function<bool(const std::string& uid)>;
    void keep_out(KeepsOut keeps) { keeps_out_ = std::move(keeps); }
    // What that says has changed: for all hosts, or for these.
    void look_again();
    void look_again(const std::vector<std::string>& uids);
    std::size_t known() const { return hosts_.size(); }
    std::size_t listed() const;  // hosts of discovery's list, those that drain included
    ClusterState save() const;
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
    Share* share_ = nullptr;
    struct Known {
        upstream::HostState state;
        Time gone_at = runtime::never;
        Listing listing;  // as discovery has it, but for its endpoint
    };
    void look_at(const std::string& uid, Known& known, dispatch::Listed& listed);
    void tell_again(dispatch::Listed listed);
    void leave(Known& known, dispatch::Listed& listed);
    dispatch::Listed forget_gone();
    Time next_forgotten() const;

    std::map<std::string, Known> hosts_;     // by uid
    std::uint32_t last_id_ = 0;              // never given twice: another uid is another host
    std::uint32_t version_ = 0, asked_ = 0;  // asked for next: what follows the last object that was read
    bool heard_ = false, moved_ = false;
    WatchPace pace_;
    bool refused_told_ = false;
};

}  // namespace brasslift::cluster
