#include "members/node.hpp"

#include <time.h>

#include <algorithm>

#include "http/writer.hpp"
#include "runtime/log.hpp"

namespace brasslift::members {
namespace {

constexpr double tick_ms = 30, call_ms = 1000, idle_ms = 30000, write_ms = 1000;
constexpr std::size_t most_waiting = 512, most_waiting_bytes = 16 << 20, most_call_bytes = 4 << 20;
constexpr http::Limits limits{8 * 1024, 12 << 20};
constexpr const char* path = "/members/frames";
constexpr int unanswered = 0;  // a call that never arrived

}  // namespace

double boot_now() {
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
}

PeerLink::PeerLink(runtime::Scheduler& scheduler, runtime::Address address)
    : scheduler_(scheduler), address_(address), waker_(scheduler), caller_(scheduler) {}

void PeerLink::put(const v1::Frame& frame) {
    const auto size = frame.ByteSizeLong();
    if (frames_.size() >= most_waiting || bytes_ + size > most_waiting_bytes) return;
    frames_.push_back(frame);
    bytes_ += size;
    waker_.notify();
}

runtime::Task<void> PeerLink::run(v1::Envelope head, std::function<void(int)> answered) {
    for (;;) {
        if (frames_.empty()) {
            co_await waker_.wait();
            continue;
        }
        auto envelope = head;
        std::size_t size = 0;
        while (!frames_.empty() && size < most_call_bytes) {
            const auto bytes = frames_.front().ByteSizeLong();
            size += bytes;
            bytes_ -= bytes;
            *envelope.add_frame() = std::move(frames_.front());
            frames_.pop_front();
        }
        auto request = http::write_request("POST", path, {{"Host", "members"}}, envelope.SerializeAsString());
        const runtime::Time until = scheduler_.now() + call_ms;
        const auto answer = co_await caller_.call(address_, std::move(request), [until] { return until; });
        answered(answer ? answer->status : 0);
        // What waited for a peer that is away is old by now, but for the latest.
        if (!answer)
            while (frames_.size() > most_waiting / 8) {
                bytes_ -= frames_.front().ByteSizeLong();
                frames_.pop_front();
            }
        if (!answer) co_await runtime::sleep_until(scheduler_, scheduler_.now() + tick_ms);
    }
}

struct Node::Connection {
    Connection(runtime::Scheduler& scheduler, runtime::Descriptor fd)
        : waker(scheduler),
          socket(scheduler, std::move(fd), waker),
          parser(http::Parser::Side::request, limits) {}
    runtime::Waker waker;
    runtime::Socket socket;
    http::Parser parser;
};

Node::Node(runtime::Scheduler& scheduler, Setup setup, StoreJournal& journal, Judge& judge)
    : scheduler_(scheduler),
      setup_(std::move(setup)),
      journal_(journal),
      member_(setup_.table, setup_.self, journal_, judge, setup_.seed ^ journal_.folder().life(),
              journal_.folder().number(), journal_.folder().formed()),
      waker_(scheduler),
      listen_waker_(scheduler) {}

bool Node::begin() {
    auto listener = runtime::listen_on(scheduler_, setup_.addresses.at(setup_.self), listen_waker_);
    if (!listener) {
        why_ = "cannot listen for members";
        return false;
    }
    listener_ = std::move(*listener);
    if (!member_.start(boot_now())) {
        why_ = journal_.why().empty() ? member_.why() : journal_.why();
        return false;
    }
    if (member_.lacks_voice())
        runtime::log("members",
                     "this voter's folder is not the one that was agreed on: it neither votes nor grants "
                     "leases");
    v1::Envelope head;
    head.set_cluster(setup_.table.cluster);
    head.set_format(format_version);
    head.set_from(setup_.self);
    head.set_folder(journal_.folder().number());
    head.set_life(journal_.folder().life());
    for (const auto& [id, address] : setup_.addresses) {
        if (id == setup_.self) continue;
        head.set_to(id);
        auto& link = links_[id] = std::make_unique<PeerLink>(scheduler_, address);
        scheduler_.spawn(link->run(head, [this](int status) {
            if (status != 409 || told_double_) return;
            told_double_ = true;
            runtime::log("members", "another process has this member's name; this one is refused");
        }));
    }
    scheduler_.spawn(run());
    scheduler_.spawn(listen());
    return true;
}

runtime::Task<void> Node::run() {
    for (;;) {
        member_.tick(boot_now());
        after();
        co_await waker_.wait(scheduler_.now() + tick_ms);
    }
}

// What a step of the member came to.
void Node::after() {
    for (auto& [to, frame] : member_.take_outgoing())
        if (const auto link = links_.find(to); link != links_.end() && parted_.count(to) == 0)
            link->second->put(frame);
    if (const auto news = member_.take_list_news(); !news.empty() && hear_list_)
        hear_list_(news, member_.word().rev());
    if (member_.acting() != told_) {
        const auto before = std::exchange(told_, member_.acting());
        if (act_) act_(before, told_);
    }
    if (std::exchange(told_parts_, member_.part_changes()) != member_.part_changes() && share_) share_();
    const bool has_lease = may(member_.acting());
    if (has_lease == told_lease_) return;
    told_lease_ = has_lease;
    runtime::log("members",
                 has_lease ? "acting on version %llu under a lease" : "the lease on version %llu has ended",
                 static_cast<unsigned long long>(member_.acting()));
}

std::vector<v1::Host> Node::heard_list(const v1::ListWord& word) {
    auto news = member_.heard_list(word, boot_now());
    after();
    return news;
}

// What a call of an operator's came to, once the member says so.
struct Node::End {
    explicit End(runtime::Scheduler& scheduler) : waker(scheduler) {}
    runtime::Waker waker;
    std::optional<PublishEnd> end;
    static std::function<void(PublishEnd)> teller(std::shared_ptr<End> into) {
        return [into = std::move(into)](PublishEnd came) {
            into->end = std::move(came);
            into->waker.notify();
        };
    }
};

runtime::Task<PublishEnd> Node::end_of(std::shared_ptr<End> end) {
    after();
    while (!end->end) co_await end->waker.wait();
    co_return *end->end;
}

runtime::Task<PublishEnd> Node::publish(v1::Version version, std::uint64_t base) {
    auto end = std::make_shared<End>(scheduler_);
    member_.publish(std::move(version), base, End::teller(end), boot_now());
    return end_of(std::move(end));
}

runtime::Task<PublishEnd> Node::set_voters(std::vector<std::string> names) {
    auto end = std::make_shared<End>(scheduler_);
    member_.set_voters(names, End::teller(end), boot_now());
    return end_of(std::move(end));
}

runtime::Task<void> Node::listen() {
    for (;;) {
        runtime::Descriptor fd;
        const auto accepted = runtime::accept_from(listener_, fd);
        if (accepted == runtime::Accepted::one) {
            // Each member keeps one connection; what comes beside is bounded.
            if (connections_.size() >= 2 * setup_.table.peers.size() + 4) continue;
            auto connection = std::make_shared<Connection>(scheduler_, std::move(fd));
            if (!connection->socket) continue;
            connections_.push_back(connection);
            scheduler_.spawn(serve(std::move(connection)));
            continue;
        }
        if (accepted == runtime::Accepted::none)
            co_await listen_waker_.wait();
        else
            co_await runtime::sleep_until(scheduler_, scheduler_.now() + tick_ms);
    }
}

runtime::Task<void> Node::serve(std::shared_ptr<Connection> connection) {
    auto& c = *connection;
    std::string part(65536, '\0');
    runtime::Time until = scheduler_.now() + idle_ms;
    for (bool open = true; open;) {
        const auto got = c.socket.read(part.data(), part.size());
        if (got.io == runtime::Io::blocked) {
            if (scheduler_.now() >= until) break;
            co_await c.waker.wait(until);
            continue;
        }
        if (got.io != runtime::Io::done) break;
        for (std::string_view rest(part.data(), got.count); !rest.empty() && open;) {
            rest.remove_prefix(c.parser.feed(rest));
            const auto fault = c.parser.fault();
            if (fault == http::Fault::none && !c.parser.complete()) break;
            int status = http::status_of(fault);
            if (fault == http::Fault::none) status = take(c.parser.take());
            open = fault == http::Fault::none;
            if (status == unanswered) continue;
            const auto text = http::write_response(status, {}, "");
            // An answer is one short line and the peer waits for it: it finds room, or the peer hangs.
            open = c.socket.write(text).count == text.size() && open;
            until = scheduler_.now() + idle_ms;
        }
    }
    connections_.remove(connection);
    c.socket.close();
}

// One call; the answer's status.
int Node::take(const http::Message& request) {
    const auto refuse = [this](int status, std::uint64_t* count) {
        ++figures_.refused_calls;
        if (count != nullptr) ++*count;
        return status;
    };
    if (request.target != path) return refuse(404, nullptr);
    if (request.method != "POST") return refuse(405, nullptr);
    v1::Envelope envelope;
    if (!envelope.ParseFromString(request.body)) return refuse(400, nullptr);
    if (envelope.cluster() != setup_.table.cluster) return refuse(403, &figures_.other_cluster);
    if (envelope.format() != format_version) return refuse(426, &figures_.other_format);
    if (envelope.to() != setup_.self || links_.count(envelope.from()) == 0)
        return refuse(403, &figures_.strangers);
    if (parted_.count(envelope.from()) != 0) return unanswered;
    if (!known_life(envelope)) return refuse(409, &figures_.doubles);
    for (const auto& frame : envelope.frame()) member_.receive(envelope.from(), frame, boot_now());
    after();
    return 204;
}

// Two processes of one name: whoever is heard goes on; the same folder's next process takes its place.
bool Node::known_life(const v1::Envelope& envelope) {
    auto& life = lives_[envelope.from()];
    const double now = boot_now();
    const bool same_folder = life.folder == envelope.folder();
    const bool silent = now >= life.heard_at + terms_for(setup_.table.contradiction_ms).gone_ms;
    if (life.life != 0 && (same_folder ? envelope.life() < life.life : !silent)) return false;
    life = {envelope.folder(), envelope.life(), now};
    return true;
}

}  // namespace brasslift::members
