// A dispatcher in one process without its clients' side and its watch: the core, its module, the pool and the
// cluster among endpoints of the lab. Lists are applied, messages are put into the core's mailbox.
#pragma once

#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cluster/cluster.hpp"
#include "dispatch/dispatcher.hpp"
#include "lab/peers.hpp"
#include "lab/site.hpp"

namespace brasslift::test::one_process {

using cluster::Cluster;
using cluster::News;

constexpr int many = 2000;  // hosts: more than are all kept awake

struct Client : dispatch::Client {
    bool present() const override { return true; }
    void answer(const dispatch::Answer& given) override { answers.push_back(given); }
    std::vector<dispatch::Answer> answers;
};

struct Outbox : dispatch::Outbox {
    void tell(dispatch::Notice notice) override { ended[notice.name] = notice.ending; }
    std::map<std::string, dispatch::Ending> ended;
};

// An endpoint that answers as its reply says and counts what came.
struct Endpoint {
    explicit Endpoint(runtime::Scheduler& scheduler)
        : party(scheduler, [this](const http::Message& request) { return take(request); }) {}
    Endpoint(runtime::Scheduler& scheduler, runtime::Address at)
        : party(scheduler, at, [this](const http::Message& request) { return take(request); }) {}
    lab::Party::Reply take(const http::Message& request) {
        const auto ids = lab::ids_of(request);
        came.insert(came.end(), ids.begin(), ids.end());
        auto answer = reply;
        if (request.target == "/inbox/bulk")
            for (const auto& id : ids) answer.body += id + " done\r\n";
        return answer;
    }
    runtime::Address address() const { return *runtime::parse_address(lab::local_text(party.port())); }
    lab::Party::Reply reply;
    std::vector<std::string> came;
    lab::Party party;
};

class Folder {
public:
    Folder() {
        std::string path = std::filesystem::temp_directory_path() / "brasslift-destinations-XXXXXX";
        if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no folder can be made");
        path_ = path;
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

inline config::Config config_of(double memory_mb) {
    lab::Site site;
    site.workers = 64;
    site.send_cap = 32;
    site.most_held = 20000;
    site.instances = 1;
    auto config = config::read_config(lab::site_config(site));
    config.memory_mb = memory_mb;
    return config;
}

// A life of a dispatcher without its clients' side and its watch.
struct Life {
    explicit Life(const std::string& folder, double rest_ms = 60000, double memory_mb = 192)
        : config(config_of(memory_mb)),
          files(store::files_in(folder)),
          store(*files, options()),
          ledger(store, runtime::wall_now),
          pool(scheduler, {}),
          dispatcher(scheduler, config.settings, 1, ledger, pool, outbox),
          cluster(scheduler, config, *runtime::parse_address("127.0.0.1:9"), pool) {
        pool.report_to([this](dispatch::Verdict verdict) { dispatcher.mailbox().put(std::move(verdict)); });
        cluster.tell_to([this](dispatch::Listed listed) { dispatcher.mailbox().put(std::move(listed)); });
        cluster.departures_to(
            [this](const dispatch::DepartureChange& change) { dispatcher.note_departures(change); });
        dispatcher.look_up_in(&cluster, rest_ms);
        store::Report report;
        if (store.open(0, report) != store::Fault::none || !ledger.recover(report))
            throw std::runtime_error("the store cannot be opened: " + store.why());
    }
    ~Life() { scheduler.drop_tasks(); }  // before the endpoints go
    Endpoint& endpoint() { return endpoints.emplace_back(scheduler); }
    Endpoint& endpoint_at(runtime::Address at) { return endpoints.emplace_back(scheduler, at); }
    static store::Options options() {
        store::Options options;
        options.budget = 100'000'000;
        options.durability = store::Durability::none;
        options.keyspaces = dispatch::ledger_keyspaces();
        return options;
    }

    // With the list that its config has, as a process that starts.
    void begin(const News& known) {
        cluster.begin_with_departed(ledger.departed(), true);
        dispatcher.recover(cluster.begin_with(known));
        scheduler.spawn(cluster.run());
        scheduler.spawn(dispatcher.run());
    }
    void change(const News& news) { cluster.hear(news); }
    void run_for(double ms) {
        for (const Time until = runtime::steady_now() + ms; runtime::steady_now() < until;)
            scheduler.run_until(runtime::steady_now() + 2);
    }
    template <class Yes>
    bool await(Yes yes, double most_ms = 5000) {
        for (const Time until = runtime::steady_now() + most_ms; !yes() && runtime::steady_now() < until;)
            scheduler.run_until(runtime::steady_now() + 2);
        return yes();
    }
    std::shared_ptr<Client> submit(int destination, const std::string& name, double deadline_ms = 8000) {
        auto client = clients.emplace_back(std::make_shared<Client>());
        dispatch::Submission s;
        s.name = name;
        s.destination = static_cast<decltype(s.destination)>(destination);
        s.body = std::make_shared<const std::string>("hello");
        s.due = runtime::steady_now() + deadline_ms;
        s.came = runtime::steady_now();
        s.client = client;
        dispatcher.mailbox().put(std::move(s));
        return client;
    }

    runtime::Scheduler scheduler;
    std::deque<Endpoint> endpoints;
    std::vector<std::shared_ptr<Client>> clients;  // who leaves is not served
    config::Config config;
    std::unique_ptr<store::Files> files;
    store::Store store;
    dispatch::Ledger ledger;
    upstream::Pool pool;
    Outbox outbox;
    dispatch::Dispatcher dispatcher;
    Cluster cluster;
};

inline News::Line line_of(const std::string& uid, int destination, runtime::Address address,
                          ListingState state = ListingState::ready) {
    News::Line line;
    line.uid = uid;
    line.address = address;
    line.listing.destination = static_cast<decltype(line.listing.destination)>(destination);
    line.listing.state = state;
    line.listing.weight = 1000;
    return line;
}

// Where nobody listens.
inline runtime::Address nowhere(int number) {
    return *runtime::parse_address("127.77." + std::to_string(number / 250) + '.' +
                                   std::to_string(1 + number % 250) + ":9");
}

// A host for each destination from 1 to `many`, nowhere but for those given.
inline News whole_list(const std::map<int, runtime::Address>& served = {}, int first = 1,
                       std::uint32_t version = 1) {
    News news;
    news.whole = true;
    news.version = version;
    for (int d = first; d < first + many; ++d) {
        const auto found = served.find(d);
        news.lines.push_back(
            line_of("s-" + std::to_string(d), d, found == served.end() ? nowhere(d) : found->second));
    }
    return news;
}

inline News change_of(std::initializer_list<News::Line> lines, std::uint32_t version = 2) {
    News news;
    news.version = version;
    news.lines = lines;
    return news;
}

}  // namespace brasslift::test::one_process
