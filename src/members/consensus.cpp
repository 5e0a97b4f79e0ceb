#include "members/consensus.hpp"

#include <algorithm>
#include <cstdlib>
#include <random>

#include "members/consensus_raw.hpp"

namespace brasslift::members {
namespace {

// Of the log before it becomes a snapshot.
constexpr unsigned few_entries = 48, many_entries = 4096;

}  // namespace

Consensus::Consensus(Id self, std::string name, Journal& journal, Agreed& agreed, std::uint64_t seed,
                     const RaftTimes& times)
    : agreed_(agreed), journal_(journal), raw_(std::make_unique<Raw>(*this, self, std::move(name), seed)) {
    raw_->set_up();
    auto& raft = raw_->raft_;
    if (raft_init(&raft, &raw_->io, &raw_->fsm, self, raw_->name.c_str()) != 0)
        throw std::runtime_error(std::string("raft cannot be had: ") + raft_errmsg(&raft));
    raft_set_election_timeout(&raft, times.election_ms);
    raft_set_heartbeat_timeout(&raft, times.heartbeat_ms);
    raft_set_pre_vote(&raft, true);
    raft_set_snapshot_threshold(&raft, few_entries);
    raft_set_snapshot_trailing(&raft, 16);
}

Consensus::~Consensus() {
    raft_close(&raw_->raft_, [](raft*) {});
    flush();
}

bool Consensus::form(const std::vector<Peer>& peers) {
    raft_configuration configuration;
    raft_configuration_init(&configuration);
    for (const auto& peer : peers)
        raft_configuration_add(&configuration, peer.id, peer.name.c_str(),
                               peer.voter ? RAFT_VOTER : RAFT_STANDBY);
    const int bad = raft_bootstrap(&raw_->raft_, &configuration);
    raft_configuration_close(&configuration);
    if (bad != 0) why_ = raft_errmsg(&raw_->raft_);
    return bad == 0;
}

bool Consensus::start(double now) {
    now_ = now;
    if (raft_start(&raw_->raft_) != 0) {
        why_ = raft_errmsg(&raw_->raft_);
        return false;
    }
    started_ = true;
    flush();
    return true;
}

// What libraft asked for is answered here; an answer may lead it to ask for more.
void Consensus::flush() {
    while (!due_.empty()) {
        const auto act = std::move(due_.front());
        due_.pop_front();
        act();
    }
}

void Consensus::tick(double now) {
    now_ = now;
    if (started_) raw_->tick(&raw_->io);
    begin_term();
    flush();
}

// A leader may take entries of earlier terms for agreed only together with one of its own term: a majority
// that has stored them may still lose them to a later leader that has not (Raft, 5.4.2). libraft 0.15 counts
// them by themselves. So each leader begins with an entry that says nothing, and until a follower has stored
// that one, what it answers counts as far as the agreed entries go and no further.
void Consensus::begin_term() {
    if (!leads() || own_term_ == term() || commits_older_) return;
    own_term_ = term();
    acknowledged_.clear();
    own_first_ = raft_last_index(&raw_->raft_) + 1;
    using Barrier = struct raft_barrier;
    auto* const request = new Barrier();
    if (::raft_barrier(&raw_->raft_, request, [](Barrier* done, int) { delete done; }) != 0) delete request;
}

void Consensus::receive(Id from, const std::string& from_name, const v1::Raft& message, double now) {
    now_ = now;
    if (!started_) return;
    const auto before = outgoing_.size();
    raft_message raw{};
    raw.server_id = from;
    raw.server_address = from_name.c_str();
    const bool votes = message.type() == RAFT_IO_REQUEST_VOTE || message.type() == RAFT_IO_TIMEOUT_NOW;
    if ((votes && !has_voice_) || !read_message(message, raw)) return;
    watch_follower(from, message);
    if (message.type() == RAFT_IO_APPEND_ENTRIES_RESULT && leads() && !commits_older_ &&
        raw.append_entries_result.rejected == 0 && raw.append_entries_result.last_log_index < own_first_)
        raw.append_entries_result.last_log_index =
            std::min(raw.append_entries_result.last_log_index, raw_->raft_.commit_index);
    raw_->receive(&raw_->io, &raw);
    catch_up_with_term(message, raw);
    begin_term();
    flush();
    if (message.type() != RAFT_IO_APPEND_ENTRIES || trusts_echo_) return;
    // libraft 0.15 answers with the last entry that it has stored. What lies behind the leader's entries is
    // not known to be the leader's: counted as that, a later entry of the same index would pass for stored
    // here, and the leader would commit what no majority has. Only what this very call matched is said.
    const auto matched = message.previous_index() + static_cast<std::uint64_t>(message.entry_size());
    for (auto at = before; at < outgoing_.size(); ++at) {
        auto& answer = outgoing_[at].second;
        if (answer.type() == RAFT_IO_APPEND_ENTRIES_RESULT && answer.rejected() == 0)
            answer.set_last_index(std::min<std::uint64_t>(answer.last_index(), matched));
    }
}

void Consensus::watch_follower(Id from, const v1::Raft& message) {
    if (message.type() != RAFT_IO_APPEND_ENTRIES_RESULT || !leads() || message.term() != term()) return;
    auto& acknowledged = acknowledged_[from];
    if (message.rejected() == 0)
        acknowledged = std::max<std::uint64_t>(acknowledged, message.last_index());
    else if (message.last_index() < acknowledged)
        lost_term_ = term();
}

// libraft 0.15 refuses to ask for a vote in a term that is over without saying which one it is in, so that
// voters with the longer logs may stay in an earlier term for ever, and those with the later term are not
// voted for. A later term of somebody's is heeded as if he asked for a vote in it, with a log that nobody
// votes for.
void Consensus::catch_up_with_term(const v1::Raft& message, raft_message& raw) {
    if (message.type() != RAFT_IO_REQUEST_VOTE_RESULT || message.granted() || !message.pre_vote_answer() ||
        message.sender_term() <= term() || keeps_term_)
        return;
    raw.type = RAFT_IO_REQUEST_VOTE;
    raw.request_vote = {message.sender_term(), raw.server_id, 0, 0, false, false};
    raw_->receive(&raw_->io, &raw);
}

std::vector<std::pair<Id, v1::Raft>> Consensus::take_outgoing() { return std::exchange(outgoing_, {}); }

void Consensus::propose(const v1::Command& command, Told told) {
    struct Request {
        struct raft_apply raw {};
        Told told;
    };
    auto* const request = new Request{{}, std::move(told)};
    request->raw.data = request;
    auto buffer = make_buffer(command.SerializeAsString());
    const int bad =
        started_ ? raft_apply(&raw_->raft_, &request->raw, &buffer, 1,
                              [](struct raft_apply* raw, int status, void* result) {
                                  const std::unique_ptr<Request> request(static_cast<Request*>(raw->data));
                                  if (status == 0)
                                      request->told(Came::done, *static_cast<Agreed::Verdict*>(result));
                                  else
                                      request->told(Came::lost, {});
                              })
                 : RAFT_NOTLEADER;
    if (bad != 0) {
        raft_free(buffer.base);
        const std::unique_ptr<Request> mine(request);
        mine->told(Came::not_leader, {});
    }
    flush();
}

std::optional<std::set<Id>> Consensus::roles() const {
    const auto& raft = raw_->raft_;
    if (!leads() || changing_ || raft.configuration_uncommitted_index != 0 ||
        raft.commit_index < own_first_ || own_term_ != term())
        return std::nullopt;
    std::set<Id> voters;
    for (unsigned i = 0; i < raft.configuration.n; ++i)
        if (raft.configuration.servers[i].role == RAFT_VOTER) voters.insert(raft.configuration.servers[i].id);
    return voters;
}

void Consensus::assign(Id id, bool votes) {
    struct Request {
        struct raft_change raw {};
        Consensus* owner = nullptr;
    };
    auto* const request = new Request{{}, this};
    request->raw.data = request;
    changing_ = true;
    const int bad = raft_assign(&raw_->raft_, &request->raw, id, votes ? RAFT_VOTER : RAFT_STANDBY,
                                [](struct raft_change* raw, int) {
                                    const std::unique_ptr<Request> mine(static_cast<Request*>(raw->data));
                                    mine->owner->changing_ = false;
                                });
    if (bad != 0) {
        delete request;
        changing_ = false;
    }
    flush();
}

bool Consensus::pass_on(Id to) {
    if (!leads() || raw_->transferring) return false;
    raw_->transfer.data = raw_.get();
    raw_->transferring = raft_transfer(&raw_->raft_, &raw_->transfer, to, [](struct raft_transfer* transfer) {
                             static_cast<Raw*>(transfer->data)->transferring = false;
                         }) == 0;
    flush();
    return raw_->transferring;
}

bool Consensus::leads() const { return started_ && raft_state(&raw_->raft_) == RAFT_LEADER; }

bool Consensus::given_up() const { return started_ && raft_state(&raw_->raft_) == RAFT_UNAVAILABLE; }

std::string Consensus::fault() const { return raft_errmsg(&raw_->raft_); }

Id Consensus::leader() const {
    if (!started_) return 0;
    raft_id id = 0;
    const char* address = nullptr;
    raft_leader(&raw_->raft_, &id, &address);
    return id;
}

std::uint64_t Consensus::term() const { return raw_->raft_.current_term; }
std::uint64_t Consensus::last_applied() const { return started_ ? raft_last_applied(&raw_->raft_) : 0; }

// Rule sets are large and few: a short log, whose state is soon sent whole. A state with large lists is cut
// by bytes, so that a change of one entry does not cost all of them every few publishes.
unsigned Consensus::entries_to_snapshot() const {
    if (state_bytes_ < least_log_bytes && log_bytes_ < least_log_bytes) return few_entries;
    return log_bytes_ >= std::max(state_bytes_, least_log_bytes) ? 1 : many_entries;
}

void Consensus::note_stored(std::uint64_t index, const v1::Entry& entry) {
    if (entry.type() != RAFT_COMMAND) return;
    v1::Command command;
    const bool publishes = command.ParseFromString(entry.data()) && command.has_publish();
    const auto& publish = command.publish();
    const auto number = publish.number() != 0 ? publish.number() : publish.base() + 1;
    stored_.push_back({index, publishes ? number : 0});
}

std::uint64_t Consensus::latest_stored() const {
    auto latest = agreed_.current();
    for (const auto& stored : stored_) latest = std::max(latest, stored.version);
    return latest;
}

}  // namespace brasslift::members
