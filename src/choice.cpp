// brasslift: every decision, guard and tuned value. The interface is include/brasslift/sender.hpp.
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "brasslift/sender.hpp"
#include "policy/key_turns.hpp"
#include "policy/parts.hpp"
#include "state/archive.hpp"
#include "state/places.hpp"

namespace brasslift {
namespace {

using policy::Call, policy::Destination, policy::Endpoint, policy::Estimate, policy::Health, policy::Lane;
using policy::Message, policy::never, policy::State, policy::Waiting;

// The sleep before a retry (the design's own values).
constexpr double sleep_floor_ms = 200, sleep_delta_ms = 500, sleep_ceiling_ms = 4000;
constexpr double jitter_low = 0.8, jitter_high = 1.2;
// The windows of a lane and of all sick lanes, as shares of the slots, and when a lane's is forgotten.
constexpr double healthy_share = 0.75, failing_share = 0.5, sick_share = 0.5, window_idle_ms = 60000;
// Attempt time-outs: mean plus so many mean deviations; unsafe ones are cut later; doubled when silent.
constexpr double timeout_deviations = 10, least_timeout_ms = 2000, unsafe_patience = 4, most_stretch = 6;
constexpr double most_aims = 2;  // no time-out beyond so many aims before it is stretched
constexpr double scarce_share = 0.75, hurried = 0.5;  // time-outs where so many slots are taken: hung calls?
constexpr double quiet_deviations = 4, least_quiet_ms = 500;  // no answer at all for so long: silent
constexpr double toll_weight = 2;   // of a route's fee against worth, where routes are chosen
constexpr double fast_gain = 0.25;  // weight of a new sample in a quick mean
// Pace: share of the listed limit beyond an even split, moved by refusals and spare room.
constexpr double pace_up = 0.02, pace_up_told = 0.08, pace_down = 0.75, due_down = 0.9, least_pace = 0.4;
constexpr double pace_depth_ms = 500, cut_gap_ms = 500, room_left = 0.5, room_gone = 0.15;
// A lane's calls in so long come from as many senders (free: no price on refusals); few: all; many: seldom.
constexpr double busy_ms = 1000, free_busy_ms = 500, few = 3, many = 10;
constexpr double rough_margin = 1.5;  // a rough weight: so much too high
// Of what a cold return bears, the part for the trials of all senders that know; of few (see `cold`).
constexpr double trial_part = 0.5, trial_part_of_few = 2.0 / 3;
// Shut: refused, and nothing delivered for so long. Out: so many failures in a row, or such a share of calls.
constexpr double shut_ms = 2000, out_failures = 2, out_share = 0.5;
// Unsafe messages wait where such a share of calls fails, until such a share of their time is left.
constexpr double risk_share = 0.3, risk_left = 0.25;
constexpr double table_full_ms = 2000;  // a failed connect beside successes
// Idle connections close so long after a failed connect, or where such a share fails; unless reused so often.
constexpr double tight_ms = 60000, tables_gain = 0.02, tables_tight = 0.05, least_reuse = 3;
// A sibling that delivered so lately does well; between trials of an endpoint that alone is out.
constexpr double sibling_ok_ms = 3000, trial_gap_ms = 2500;
constexpr double stop_margin = 4;    // before the process ends, calls go that need no more than so many means
constexpr double forget_ms = 30000;  // after an endpoint left the list: longer than its cold return matters
constexpr double ask_again_ms = 300, ask_ceiling_ms = 4000;  // asking for the list after a failure
// Over which arrivals are counted; share of holding room kept free; a tenant's burst within its share.
constexpr double arrivals_ms = 5000, spare_held = 0.05, tenant_depth_ms = 2000;

enum class TimerKind { deadline, sleep, wake, key, lane, list };

using Timer = std::tuple<Time, std::uint64_t, TimerKind, std::uint64_t>;  // when, order, kind, of what

struct Pick {
    MessageId message = 0;
    int endpoint = -1;
    double score = -1;
    Time again = never;
    Message* hopeless = nullptr;
};

bool may_have_run(Result r) {
    return r != Result::ok && r != Result::full && r != Result::connect_failed && r != Result::moot;
}

void require(bool good, const char* setting) {
    if (!good) throw std::invalid_argument(std::string(setting) + ": out of range");
}

}  // namespace

class Sender::Choice {
public:
    Choice(const Settings& settings, std::uint64_t seed) : s_(settings), random_(seed) {
        require(s_.slots >= 1 && s_.max_held >= 1, "slots or max_held");
        require(s_.max_attempts >= 1 && s_.senders >= 1, "max_attempts or senders");
        require(!s_.classes.empty(), "classes");
        for (const auto& c : s_.classes)
            require(c.deadline_ms > 0 && c.aim_ms > 0 && c.worth >= 0 && c.late_share >= 0, "classes");
        for (const auto& k : s_.kinds) require(k.batch >= 1, "batch");
        overall_.resize(s_.classes.size());
        for (const auto& c : s_.classes) mean_worth_ += c.worth / static_cast<double>(s_.classes.size());
        tables_.resize(s_.kinds.size());
        tenants_.resize(s_.tenant_rates.size(), {1, -never});
    }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(asked_, ask_failures_, slots_used_, sick_flying_, endpoints_, lanes_, by_id_, timer_name_);
        archive(destinations_, numbers_, messages_, keys_, unsettled_, calls_, tenants_);
        archive(overall_, tables_, eager_, backlog_, last_call_, timer_order_, timers_, armed_, stops_at_);
    }

    void handle(Time now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        out_ = &actions;
        if (s_.list_by_ask && !std::exchange(asked_, true)) act(Subscribe{});
        std::visit([this](const auto& e) { on(e); }, event);
        pump();
        arm();
    }
    Time sleeps_until(MessageId id) const { return messages_.count(id) ? messages_.at(id).wakes : 0; }
    Standing standing(EndpointId id) const {
        const auto known = by_id_.find(id);
        if (known == by_id_.end()) return {};
        const auto& e = endpoints_[known->second];
        const auto& lane = lanes_[e.lane];
        const auto bad = [this](const Health& h) { return h.out || cold(h) || h.doubt < never; };
        const bool rests = destinations_[lane.destination].held == 0;
        const bool avoided = e.state != ListingState::ready || e.health.out || lane.health.out;
        const auto outage = bad(lane.health) ? Outage::destination
                            : bad(e.health)  ? Outage::endpoint
                                             : Outage::none;
        const Time failed_at = std::max(e.health.failed_sent, lane.health.failed_sent);
        return {rests, avoided, lane.window, outage, failed_at, lane.wait_until};
    }

private:
    void on(const ListUpdate& update) {
        if (update.failed) {
            // A list service that fails is asked again with backoff, in time for the site's rule.
            double wait = std::min(ask_again_ms * std::exp2(std::min(ask_failures_++, 10)), ask_ceiling_ms);
            if (s_.must_ask_ms > 0) wait = std::min(wait, s_.must_ask_ms / 2);
            if (s_.list_by_ask) set_timer(now_ + wait * draw(jitter_low, jitter_high), TimerKind::list, 0);
            return;
        }
        ask_failures_ = 0;
        for (auto& e : endpoints_) e.state = update.whole ? ListingState::gone : e.state;
        for (const auto& line : update.entries) list(line);
        forget_gone();
    }

    // Endpoints come under new ids without end. What has long been gone leaves its place to another.
    void forget_gone() {
        std::erase_if(by_id_, [this](const auto& known) {
            auto& e = endpoints_[known.second];
            e.gone_at = e.state == ListingState::gone ? std::min(e.gone_at, now_) : never;
            if (e.flying > 0 || now_ < e.gone_at + forget_ms) return false;
            auto& lane = lanes_[e.lane];
            std::erase(lane.endpoints, known.second);
            if (lane.endpoints.empty()) {
                auto& d = destinations_[lane.destination];
                std::erase(d.lanes, e.lane);
                if (d.lanes.empty() && d.held == 0 && numbers_.erase(d.number) > 0)
                    destinations_.remove(lane.destination);
                lanes_.remove(e.lane);
            }
            endpoints_.remove(known.second);
            return true;
        });
    }

    void list(const Listing& line) {
        const auto [known, fresh] = by_id_.try_emplace(line.endpoint, -1);
        const int index = fresh ? known->second = endpoints_.add() : known->second;
        if (fresh) {
            endpoints_[index].id = line.endpoint;
            endpoints_[index].liking = draw(0, 0.5);
            const int destination = destination_of(line.destination);
            auto& lanes = destinations_[destination].lanes;
            const bool apart = line.kind < s_.kinds.size() && s_.kinds[line.kind].routes_apart;
            if (lanes.empty() || apart) {
                lanes.push_back(lanes_.add());
                auto& lane = lanes_[lanes.back()];
                lane.destination = destination;
                lane.kind = line.kind;
                lane.latency.resize(s_.classes.size());
            }
            endpoints_[index].lane = lanes.back();
            lanes_[lanes.back()].endpoints.push_back(index);
        }
        auto& endpoint = endpoints_[index];
        endpoint.state = line.state;
        endpoint.zone = line.zone;
        auto& lane = lanes_[endpoint.lane];
        // What was known before it slept: an outage then is followed by a cold return now.
        lane.wait_until = std::max(lane.wait_until, line.wait_until);
        for (auto* const h : {&endpoint.health, &lane.health}) {
            if (!fresh || line.outage < (h == &lane.health ? Outage::destination : Outage::endpoint))
                continue;
            tell(*h, line.failed_at, false, 0);
            h->out = true;
        }
        if (s_.weights != Weights::off && line.weight > 0 && std::isfinite(line.weight))
            lane.limit = line.weight;
        touch(lane.destination);
    }

    int destination_of(DestinationId number) {
        const auto [it, fresh] = numbers_.try_emplace(number, -1);
        const std::vector<Waiting> ready(2 * s_.classes.size());
        if (fresh) destinations_[it->second = destinations_.add()] = {number, ready};
        return it->second;
    }

    const Estimate& latency_of(const Lane& lane, int message_class) const {
        return lane.latency[message_class].samples > 0 ? lane.latency[message_class]
                                                       : overall_[message_class];
    }

    double expected_ms(const Lane& lane, int message_class) const {
        const auto& e = latency_of(lane, message_class);
        return std::max(1.0, e.samples > 0 ? e.mean : s_.classes[message_class].aim_ms / 4);
    }

    double timeout_ms(const Lane& lane, int message_class) const {
        const auto& e = latency_of(lane, message_class);
        const double base =
            e.samples > 0 ? e.mean + timeout_deviations * e.deviation : s_.classes[message_class].aim_ms;
        return std::clamp(base, least_timeout_ms,
                          std::max(least_timeout_ms, most_aims * s_.classes[message_class].aim_ms));
    }

    // Nothing answered since the last answer: known before the time-outs. One very long call may look so.
    bool silent(const Lane& lane, const Health& h) const {
        double quiet = least_quiet_ms;
        for (const auto& e : lane.latency)
            if (e.samples > 0) quiet = std::max(quiet, e.mean + quiet_deviations * e.deviation);
        return now_ - h.quiet_since > quiet;
    }

    void refresh_sick(int index) {
        auto& lane = lanes_[index];
        const bool sick = lane.health.out || silent(lane, lane.health);
        if (sick == lane.sick) return;
        sick_flying_ += sick ? lane.flying : -lane.flying;
        lane.sick = sick;
    }

    double capacity(const Lane& lane) const {
        return s_.weights == Weights::rough ? lane.limit / rough_margin : lane.limit;
    }

    // Few senders all share a lane; of many, no more than it takes calls.
    double pacers(const Lane& lane) const {
        const double calls = lane.limit * (s_.refused_price > 0 ? busy_ms : free_busy_ms) / 1000;
        return std::clamp<double>(calls, std::min<double>(few, s_.senders), s_.senders);
    }

    double pace_per_ms(const Lane& lane) const { return lane.limit / pacers(lane) * lane.share / 1000; }

    void fill(Lane& lane) {
        const double rate = pace_per_ms(lane);
        const double depth = std::max(1.0, rate * pace_depth_ms);
        lane.tokens = std::min(depth, lane.tokens + rate * std::min(now_ - lane.tokens_at, 1e6));
        lane.tokens_at = now_;
    }

    // The cold return; docs/design/cold-return.md has the reasons. Rule: what reaches a returning destination
    // in fall_ms stays under B = tip_multiple x warmth x rate x fall_ms, refused calls too. Trials: each of N
    // senders sends an Nth of trial_part of B at the least warmth; below one call in fall_ms, at turns every
    // `gap` from a drawn moment, each lost after fall_ms, until warm.
    bool cold(const Health& h) const {
        return s_.tip_multiple > 0 && std::min(now_, h.last_ok) < h.back + s_.ramp_ms;
    }

    double cold_gap(const Health& h, double calls_per_s) const {
        const double warm = s_.ramp_ms > 0 ? std::clamp((h.last_ok - h.back) / s_.ramp_ms, 0.0, 1.0) : 0;
        const double start = s_.start_capacity, share = start + (1 - start) * warm;
        const double budget = s_.tip_multiple * share * calls_per_s * s_.fall_ms / 1000;
        if (budget <= 0) return s_.fall_ms * s_.senders;  // nothing listed: a call from all together
        const double part = s_.senders <= few ? trial_part_of_few : trial_part;
        const double gap = s_.fall_ms * s_.senders / (part * budget);
        return h.back < never && start < 1 ? std::min(gap, part * start * s_.ramp_ms / (1 - start)) : gap;
    }

    Time spaced(const Health& h, double gap) const {
        const auto calls = static_cast<std::size_t>(std::max(1.0, std::floor(s_.fall_ms / gap)));
        return h.sends.size() < calls ? now_ : h.sends[h.sends.size() - calls] + std::max(gap, s_.fall_ms);
    }

    Time turn_at(Health& h, double gap) {
        h.phase += std::max(0.0, now_ - h.phase_at) / gap;
        h.phase_at = std::max(h.phase_at, now_);
        if (h.phase >= 1 && now_ > h.turn + s_.fall_ms) h.phase -= std::floor(h.phase);
        if (h.phase < 1) h.turn = h.phase_at + (1 - h.phase) * gap + 0.1;
        return std::max(now_, h.turn);
    }

    Time budget_at(Lane& lane, Endpoint& e) {
        const bool all = cold(lane.health);
        if (now_ <= lane.health.excused_at + s_.ramp_ms) return std::max(now_, lane.health.excused_at);
        auto& h = all ? lane.health : e.health;
        if (!cold(h)) return now_;
        const double endpoints = std::max(1.0, live(lane)), alone = cold_gap(h, capacity(lane) / endpoints);
        const double gap = all ? alone / endpoints : alone;
        if (gap > s_.fall_ms) return turn_at(h, gap);
        return std::max(spaced(h, gap), spaced(e.health, alone));
    }

    void tell(Health& h, Time sent, bool excuse, double wait_ms) {
        if (!cold(h)) h.excused_at = excuse ? now_ + draw(0, s_.fall_ms) : -never;
        if (!cold(h) || wait_ms > 0) {
            h.phase = draw(0, 1);
            h.phase_at = now_ + wait_ms;
            h.turn = -never;
        }
        h.failed_sent = std::max(h.failed_sent, sent);
        h.back = never;
        h.doubt = never;
    }

    void note_send(Health& h) {
        while (h.sends.size() > 1 && h.sends.front() < now_ - s_.fall_ms) h.sends.pop_front();
        h.sends.push_back(now_);
        h.phase -= std::floor(h.phase);
        h.excused_at = -never;
        h.quiet_since = std::min(h.quiet_since, now_);
    }

    // Out: failures in a row, or most calls failing. A lone failure is undone by the next delivery where no
    // outage fits between two of them, or this sender holds nothing more that could push.
    void judge(Health& h, bool good, bool harmful, Time sent, bool excuse, double wait_ms) {
        h.risk += fast_gain * ((harmful ? 1 : 0) - h.risk);
        h.failing += fast_gain * ((good ? 0 : 1) - h.failing);
        if (!good) {
            tell(h, sent, excuse, wait_ms);
            h.out = ++h.failures >= out_failures || h.failing > out_share || h.out;
            return;
        }
        const bool undone = !h.out && (!backlog_here_ || now_ - h.last_ok < shut_ms);
        h.last_ok = now_;
        h.refused = never;
        if (sent < h.failed_sent) return;  // under way before the failure: shows nothing
        h.failures = 0;
        h.out = false;
        if (h.doubt <= sent) h.doubt = never;
        if (h.back == never) h.back = undone ? -never : now_;
        if (!cold(h)) h.back = -never;
    }

    // Trouble may strike one endpoint or class: the lane is not judged where a sibling does well or, for a
    // call that may have run, has no failure; if no delivery bears that out soon, its cold return still is.
    void judge_failure(Lane& lane, Endpoint& e, bool harmful, Time sent, bool excuse, double wait_ms) {
        judge(e.health, false, harmful, sent, excuse, wait_ms);
        for (const int other : lane.endpoints) {
            const auto& sibling = endpoints_[other];
            if (&sibling != &e && sibling.state == ListingState::ready && sibling.health.failures == 0 &&
                (harmful || now_ - sibling.health.last_ok < sibling_ok_ms)) {
                if (sibling.health.last_ok < sent) lane.health.doubt = std::min(lane.health.doubt, now_);
                return;
            }
        }
        judge(lane.health, false, harmful, sent, excuse, wait_ms);
    }

    void on(const Arrival& a) {
        if (admit(a) != nullptr) make_room();
    }

    // What a restart must not forget: attempts made, and that one may have run. The rest starts anew.
    void on(const Restored& r) {
        const auto message_class = r.message.message_class;
        const bool in_order = message_class < s_.classes.size() && s_.classes[message_class].in_order;
        if (r.cut && in_order && r.message.key != 0) rest(r.message.key);
        Message* const m = admit(r.message);
        if (m == nullptr) return;
        m->attempts = r.attempts;
        if (r.may_have_run) {
            m->first_risky = r.first_risky;
            m->zone = r.zone;
        }
        const bool unsafe = s_.classes[m->message_class].repeat == Repeat::side_effect;
        const bool permitted = m->first_risky == never || !unsafe;
        if (!permitted || m->attempts >= s_.max_attempts || now_ >= last_call(*m)) return finish(*m);
        if (last_call(*m) < last_moment(*m)) set_timer(last_call(*m), TimerKind::deadline, m->id);
    }

    void on(const Unsettled& u) {
        if (u.key == 0 || !unsettled_.emplace(u.id, u.key).second) return;
        keys_.join(u.key, u.id);
    }

    void on(const Settled& s) {
        const auto found = unsettled_.find(s.id);
        if (found == unsettled_.end()) return;
        const auto key = found->second;
        unsettled_.erase(found);
        if (s.rests) rest(key);
        keys_.leave(key, s.id);
        pass_turn(key);
    }

    void on(const Stopping& s) { stops_at_ = s.at; }

    Message* admit(const Arrival& a) {
        if (messages_.count(a.id) != 0) return nullptr;
        const bool known = a.message_class < s_.classes.size() &&
                           (s_.tenant_rates.empty() || a.tenant < s_.tenant_rates.size()) &&
                           std::isfinite(a.due);
        if (!known) {
            act(Refuse{a.id, 0});
            return nullptr;
        }
        auto& m = messages_[a.id];
        m.id = a.id;
        m.message_class = a.message_class;
        m.destination = destination_of(a.destination);
        auto& d = destinations_[m.destination];
        ++d.held;
        d.arrivals = arrivals(d) + 1 / arrivals_ms;
        d.arrived = now_;
        m.due = a.due;
        m.bytes = a.bytes;
        m.group = 2 * a.message_class + (beyond_share(a.tenant) ? 1 : 0);
        if (s_.classes[a.message_class].in_order) m.key = a.key;
        set_timer(last_moment(m), TimerKind::deadline, m.id);
        m.state = State::turn;
        if (m.key == 0) {
            make_ready(m);
        } else {
            keys_.join(m.key, m.id);
            if (keys_.front(m.key) == m.id) pass_turn(m.key);
        }
        return &m;
    }

    bool beyond_share(std::uint16_t tenant) {
        if (s_.tenant_rates.empty()) return false;
        auto& [tokens, at] = tenants_[tenant];
        const double rate = s_.tenant_rates[tenant] / s_.senders / 1000;
        tokens = std::min(std::max(1.0, rate * tenant_depth_ms), tokens + rate * std::min(now_ - at, 1e6));
        at = now_;
        if (tokens < 1) return true;
        tokens -= 1;
        return false;
    }

    Time last_moment(const Message& m) const { return m.due - 2 * s_.tick_ms; }

    void make_ready(Message& m) {
        m.state = State::ready;
        auto& d = destinations_[m.destination];
        d.ready[m.group].insert({m.due, m.id});
        if (d.waiting++ == 0) backlog_.insert(m.destination);
        touch(m.destination);
    }

    void leave_ready(Message& m) {
        auto& d = destinations_[m.destination];
        d.ready[m.group].erase({m.due, m.id});
        if (--d.waiting == 0) backlog_.erase(m.destination);
    }

    double worth_at(const Message& m, Time t) const {
        const auto& c = s_.classes[m.message_class];
        if (t > m.due) return 0;
        const double full = c.worth * (m.group % 2 == 1 ? s_.over_share_worth : 1);
        const Time aim = m.due - c.deadline_ms + c.aim_ms;
        if (t <= aim) return full;
        if (s_.fade == Fade::halves) return full * std::max(c.late_share, std::exp2((aim - t) / c.aim_ms));
        return full * (1 - (1 - c.late_share) * (t - aim) / std::max(1.0, m.due - aim));
    }

    double drain_ms(const Destination& d) const {
        double rate = 0;
        for (const int l : d.lanes) rate += live(lanes_[l]) > 0 ? pace_per_ms(lanes_[l]) : 0;
        return rate > 0 ? static_cast<double>(d.waiting) / rate : 0;
    }

    // Until when a backlog is worked off beside what keeps coming; never where more comes than goes.
    Time drained_at(const Destination& d) const {
        const double drain = drain_ms(d), spare = 1 - arrivals(d) * drain / static_cast<double>(d.waiting);
        return spare > 0 ? now_ + drain / spare : never;
    }

    double arrivals(const Destination& d) const {
        return d.arrivals * std::exp((d.arrived - now_) / arrivals_ms);
    }

    // Holding room is finite and whom it turns away is chance: the one with least left to win goes first.
    void make_room() {
        const auto most = s_.max_held - std::max(1, static_cast<int>(spare_held * s_.max_held));
        while (static_cast<int>(messages_.size()) > most) {
            Message* least = nullptr;
            double least_worth = never;
            for (const int index : backlog_) {
                const double drain = drain_ms(destinations_[index]);
                for (const auto& waiting : destinations_[index].ready) {
                    if (waiting.empty()) continue;
                    auto& m = messages_.at(waiting.begin()->second);
                    const double worth = worth_at(m, now_ + drain);
                    if (m.first_risky != never || worth >= least_worth) continue;
                    least = &m;
                    least_worth = worth;
                }
            }
            if (least == nullptr) return;
            finish(*least);
        }
    }

    void touch(int destination) { eager_.insert(destination); }

    void pump() {
        while (!eager_.empty() && slots_used_ < s_.slots) {
            Pick best;
            for (auto it = eager_.begin(); it != eager_.end();) {
                const Pick pick = choose(*it);
                if (pick.endpoint < 0 && pick.hopeless != nullptr) {
                    finish(*pick.hopeless);
                    continue;
                }
                if (pick.endpoint < 0) {
                    wake_at(*it, pick.again);
                    it = eager_.erase(it);
                    continue;
                }
                if (pick.score > best.score) best = pick;
                ++it;
            }
            if (best.endpoint >= 0) send(best.message, best.endpoint);
        }
    }

    void wake_at(int destination, Time at) {
        auto& d = destinations_[destination];
        if (at == never || at >= d.wake) return;
        d.wake = at;
        set_timer(at, TimerKind::wake, static_cast<std::uint64_t>(destination));
    }

    // What its route costs, in worth: the site counts it by message, in shares of a message's mean worth.
    double toll_of(const Lane& lane) const {
        double toll = never;
        for (const int e : lane.endpoints) {
            const auto zone = endpoints_[e].zone;
            if (ready(e)) toll = std::min(toll, zone < s_.zone_toll.size() ? s_.zone_toll[zone] : 0);
        }
        return toll < never ? toll_weight * toll * mean_worth_ : 0;
    }

    // Given up, and its client told, once its lane takes it too late and no call is out that may change that.
    Pick choose(int destination) {
        Pick best;
        const auto& d = destinations_[destination];
        if (d.waiting == 0) return best;
        for (const int l : d.lanes) {
            refresh_sick(l);
            const double toll = toll_of(lanes_[l]);
            for (std::size_t g = 0; g < d.ready.size(); ++g) {
                if (d.ready[g].empty()) continue;
                auto& m = messages_.at(candidate(d.ready[g], lanes_[l], static_cast<int>(g) / 2));
                const double expected = expected_ms(lanes_[l], m.message_class);
                const double score = (worth_at(m, now_ + expected) - toll) / expected;
                if (score <= best.score) continue;
                const auto [endpoint, again] = endpoint_for(l, m);
                best.again = std::min(best.again, again);
                if (endpoint < 0 && d.lanes.size() == 1 && lanes_[l].flying == 0 && again < never &&
                    again >= last_call(m))
                    best.hopeless = &m;
                if (endpoint < 0) continue;
                best.endpoint = endpoint;
                best.message = m.id;
                best.score = score;
            }
        }
        return best;
    }

    // Of a backlog that will be worked off the oldest, else the most pressing, else the least late.
    MessageId candidate(const Waiting& waiting, const Lane& lane, int message_class) const {
        const auto& c = s_.classes[message_class];
        const double expected = expected_ms(lane, message_class);
        const Time drained = drained_at(destinations_[lane.destination]);
        const auto oldest = waiting.lower_bound({now_ + expected, 0});
        if (drained < never && oldest != waiting.end() && oldest->first < drained + expected)
            return oldest->second;
        const auto it = waiting.lower_bound({now_ + expected + c.deadline_ms - c.aim_ms, 0});
        return it != waiting.end() ? it->second : std::prev(it)->second;
    }

    std::pair<int, Time> endpoint_for(int l, const Message& m) {
        int best = -1;
        double best_rank = never;
        Time again = never;
        for (const int e : lanes_[l].endpoints) {
            const Time at = may_send(lanes_[l], endpoints_[e], m);
            if (at > now_) again = std::min(again, at);
            const double rank = at > now_ ? never : rank_of(endpoints_[e], m);
            if (rank < best_rank) {
                best = e;
                best_rank = rank;
            }
        }
        return {best, again};
    }

    // Lower is better: a trial at an endpoint out alone, idle connections (longest idle), fewest calls out.
    double rank_of(const Endpoint& e, const Message& m) const {
        if (e.health.out && !lanes_[e.lane].health.out) return -1;
        const bool idle_connection = e.warm > e.flying && now_ - e.last_used < s_.conn_idle_ms;
        const double age = std::min(1.0, (now_ - e.last_used) / 1e5);
        const double base = e.health.out ? 100 : m.avoid == e.id ? 20 : idle_connection ? 0 : 10;
        return base + e.flying + 1 - age + (e.last_used < now_ - s_.conn_idle_ms ? e.liking : 0);
    }

    // The one gate of every attempt: the time from which it may go, never if an event must come first.
    Time may_send(Lane& lane, Endpoint& e, const Message& m) {
        if (e.state != ListingState::ready) return never;
        // What is out when the process ends may have run; an unsafe one would be lost by it.
        if (now_ + stop_margin * expected_ms(lane, m.message_class) > stops_at_) return never;
        if (now_ < lane.wait_until) return lane.wait_until;
        const bool trial = lane.health.out || silent(lane, lane.health);
        const double most = std::max(1.0, std::floor(s_.slots * (trial ? failing_share : healthy_share)));
        const double patience = timeout_ms(lane, m.message_class);
        if (now_ - lane.last_send > window_idle_ms && lane.flying == 0) lane.window = 1;
        if (lane.flying >= most) return never;
        // One hung call that may not be cut early must not shut a lane whose window has shrunk to it.
        Time at = lane.flying >= lane.window ? lane.last_send + patience : now_;
        if (lane.sick && sick_flying_ >= std::max(1.0, std::floor(s_.slots * sick_share))) return never;
        if (slots_used_ >= s_.slots) return never;
        if (trial && lane.flying > 0) at = std::max(at, lane.last_send + patience);
        if (lane.limit > 0) fill(lane);
        if (lane.limit > 0 && lane.tokens < 1)
            at = std::max(at, now_ + (1 - lane.tokens) / pace_per_ms(lane) + 0.1);
        if (now_ - lane.health.doubt > shut_ms) tell(lane.health, lane.health.doubt, false, 0);
        at = std::max(at, budget_at(lane, e));
        if (e.health.out || silent(lane, e.health))
            at = std::max(at, e.last_used + std::max(trial_gap_ms, e.flying > 0 ? patience : 0));
        return std::max(at, may_repeat(lane, e, m));
    }

    bool ready(int e) const { return endpoints_[e].state == ListingState::ready; }

    // Endpoints in use. A lane that is left over, with none, takes nothing off a backlog.
    double live(const Lane& lane) const {
        return std::count_if(lane.endpoints.begin(), lane.endpoints.end(),
                             [this](int e) { return ready(e); });
    }

    // Unsafe messages wait where calls fail after they may have run, until all is well or time grows short.
    Time may_repeat(const Lane& lane, const Endpoint& e, const Message& m) const {
        const auto& c = s_.classes[m.message_class];
        if (m.state != State::ready) return never;
        if (m.first_risky != never && c.repeat == Repeat::token && c.group_is_zone && e.zone != m.zone)
            return never;
        if (c.repeat != Repeat::side_effect) return now_;
        const bool risky = std::max(lane.health.risk, e.health.risk) > risk_share;
        return risky ? std::max(now_, m.due - risk_left * c.deadline_ms) : now_;
    }

    void send(MessageId id, int endpoint) {
        auto& first = messages_.at(id);
        const int l = endpoints_[endpoint].lane;
        auto& lane = lanes_[l];
        const auto call = ++last_call_;
        const int room = lane.kind < s_.kinds.size() ? s_.kinds[lane.kind].batch : 1;
        launch(first, endpoint, call);
        // Calls of several messages: what may go now to the same endpoint shares the call.
        const auto& d = destinations_[first.destination];
        while (calls_[call].flying < room && d.waiting > 0) {
            Message* next = nullptr;
            double worth = -1;
            for (std::size_t g = 0; g < d.ready.size(); ++g) {
                if (d.ready[g].empty()) continue;
                auto& m = messages_.at(candidate(d.ready[g], lane, static_cast<int>(g) / 2));
                if (calls_[call].bytes + m.bytes > most_call_bytes) continue;
                if (may_repeat(lane, endpoints_[endpoint], m) > now_ || worth_at(m, now_) <= worth) continue;
                next = &m;
                worth = worth_at(m, now_);
            }
            if (next == nullptr) break;
            launch(*next, endpoint, call);
        }
        auto& e = endpoints_[endpoint];
        ++slots_used_;
        ++e.flying;
        e.warm = now_ - e.last_used < s_.conn_idle_ms ? std::max(e.warm, e.flying) : e.flying;
        lane.tokens -= 1;
        lane.last_send = e.last_used = now_;
        note_send(lane.health);
        note_send(e.health);
        ++lane.flying;
        if (lane.sick) ++sick_flying_;
        set_timer(now_ + timeout_ms(lane, first.message_class), TimerKind::lane,
                  static_cast<std::uint64_t>(l));
    }

    void launch(Message& m, int endpoint, std::uint64_t call) {
        leave_ready(m);
        const auto& lane = lanes_[endpoints_[endpoint].lane];
        const bool unsafe = s_.classes[m.message_class].repeat == Repeat::side_effect;
        const bool scarce = slots_used_ + 1 >= scarce_share * s_.slots;
        const double patience = timeout_ms(lane, m.message_class) * (scarce ? hurried : 1) *
                                std::max(unsafe ? unsafe_patience : 1, lane.stretch);
        m.state = State::flying;
        m.sent = now_;
        m.endpoint = endpoint;
        m.call = call;
        ++m.attempts;
        ++calls_[call].flying;
        calls_[call].bytes += m.bytes;
        const Time expires = std::min(m.due, now_ + patience);
        act(Attempt{m.id, endpoints_[endpoint].id, expires, last_call(m), m.attempts - 1});
    }

    void on(const Outcome& o) {
        const auto it = messages_.find(o.id);
        if (it == messages_.end()) return;
        auto& m = it->second;
        if (m.state != State::flying || o.attempt != m.attempts - 1) return;
        auto& e = endpoints_[m.endpoint];
        if (e.id != o.endpoint) return;
        auto& lane = lanes_[e.lane];
        // A connection that breaks is one failure, however many messages its call carried.
        const bool weighed = o.result == Result::reset && std::exchange(calls_[m.call].broken, true);
        land(m);
        heed_report(lane, o.report);
        if (o.result == Result::ok || (o.result == Result::timeout && !lane.health.out)) {
            lane.latency[m.message_class].add(o.elapsed_ms);
            overall_[m.message_class].add(o.elapsed_ms);
        }
        if (o.unsent) forget_quiet(lane, e);
        // A wait may come with any answer, also one that took messages on.
        if (o.result != Result::full && o.wait_ms > 0)
            lane.wait_until = std::max(lane.wait_until, now_ + o.wait_ms + s_.tick_ms);
        weigh(e, o.result, o.wait_ms, m.sent, weighed);
        if (o.result == Result::ok || o.over || m.over) {
            rest_key(m, o.result);
            close(m, !o.unsettled);
        } else {
            retry_or_end(m, o);
        }
    }

    // Nothing went there: that nothing came back says nothing.
    static void forget_quiet(Lane& lane, Endpoint& e) {
        if (lane.flying == 0) lane.health.quiet_since = never;
        if (e.flying == 0) e.health.quiet_since = never;
    }

    void land(Message& m) {
        auto& e = endpoints_[m.endpoint];
        auto& lane = lanes_[e.lane];
        m.state = State::sleeping;
        touch(m.destination);
        const auto call = calls_.find(m.call);
        if (--call->second.flying > 0) return;
        calls_.erase(call);
        --slots_used_;
        --e.flying;
        --lane.flying;
        // Guards against tables full of idle connections that none uses again. May cost a set-up.
        const bool tight = now_ - e.unconnected_at < tight_ms ||
                           (lane.kind < tables_.size() && tables_[lane.kind] > tables_tight);
        const double reuse = capacity(lane) / s_.senders / std::max(1.0, live(lane)) * s_.conn_idle_ms / 1000;
        if (tight && e.flying == 0 && reuse < least_reuse) {
            e.warm = 0;
            act(Close{e.id});
        }
        if (!lane.sick) return;
        --sick_flying_;
        for (const int d : backlog_) touch(d);
    }

    void heed_report(Lane& lane, const Report& report) const {
        const auto value = [&](int place) {
            const bool there = place >= 0 && place < static_cast<int>(report.size());
            return there && std::isfinite(report[place]) ? report[place] : -1;
        };
        const double limit = value(s_.report_limit);
        lane.left = limit > 0 ? value(s_.report_left) : -1;
        // No burst into a limit that is nearly used; spares a refusal where others were quicker.
        if (lane.left >= 0 && lane.left < room_gone) lane.tokens = std::min(lane.tokens, 0.0);
        if (limit > 0) lane.limit += (lane.limit > 0 ? fast_gain : 1) * (limit - lane.limit);
    }

    void weigh(Endpoint& e, Result result, double wait_ms, Time sent, bool weighed) {
        auto& lane = lanes_[e.lane];
        if (result == Result::moot || result == Result::cancelled) return;
        if (result != Result::timeout || lane.flying == 0) lane.health.quiet_since = never;
        if (result != Result::timeout || e.flying == 0) e.health.quiet_since = never;
        if (weighed) return refresh_sick(e.lane);
        backlog_here_ = destinations_[lane.destination].waiting > 0;
        const bool was_out = lane.health.out;
        if (lane.kind < tables_.size() && (result == Result::ok || result == Result::connect_failed))
            tables_[lane.kind] += tables_gain * ((result == Result::ok ? 0 : 1) - tables_[lane.kind]);
        switch (result) {
            case Result::ok:
                lane.window = std::min(lane.window + 1, std::max(1.0, std::floor(healthy_share * s_.slots)));
                lane.stretch = std::max(1.0, lane.stretch / 2);
                if (lane.left < 0 || lane.left > room_gone)
                    lane.share += lane.left > room_left ? pace_up_told : pace_up;
                lane.share = std::min(lane.share, pacers(lane));
                judge(lane.health, true, false, sent, false, 0);
                judge(e.health, true, false, sent, false, 0);
                break;
            case Result::full: heed_full(lane, e, wait_ms, sent); break;
            case Result::spoilt:
                // The endpoint is there and answers: no outage, unless no delivery bears that out soon.
                lane.health.doubt = std::min(lane.health.doubt, now_);
                break;
            case Result::connect_failed: e.unconnected_at = now_; [[fallthrough]];
            case Result::reset:
                // Beside deliveries a failed connect means a full table, and a broken connection its own end
                // alone: a crash breaks all, and no delivery clears the doubt.
                if (now_ - e.health.last_ok < table_full_ms && (result == Result::reset || e.flying > 0)) {
                    lane.health.doubt = std::min(lane.health.doubt, now_);
                    break;
                }
                [[fallthrough]];
            default:
                if (result == Result::timeout) {
                    lane.window = std::max(1.0, lane.window / 2);
                    lane.stretch = std::min(most_stretch, lane.stretch * 2);
                }
                judge_failure(lane, e, may_have_run(result), sent, true, 0);
                break;
        }
        refresh_sick(e.lane);
        if (lane.health.out != was_out)
            act(Log{"lane " + std::to_string(e.lane) + (was_out ? " answers again" : " is out")});
        touch(lane.destination);
    }

    // Told full: a told wait holds the lane. Nothing delivered for long, or a long wait: shut. Else a limit.
    // One of many seldom sends: where no limit is listed, refusals tell of one, but for long on end of more.
    void heed_full(Lane& lane, Endpoint& e, double wait_ms, Time sent) {
        lane.window = std::max(1.0, lane.window / 2);
        auto& h = lane.health;
        const bool seldom = s_.senders > many && s_.weights == Weights::off;
        h.refused = std::min(h.refused, seldom ? now_ : h.last_ok);
        const bool shut = now_ - h.refused > shut_ms || wait_ms > shut_ms;
        if (shut)
            judge_failure(lane, e, false, sent, false, wait_ms);
        else if (!seldom)
            h.doubt = std::min(h.doubt, now_);
        // All that were told to wait are told one end: each starts at its own moment, when cold at its turn.
        const double gap = lane.limit > 0 && !cold(lane.health) ? 1 / pace_per_ms(lane) : 0;
        const Time until = now_ + wait_ms + s_.tick_ms + gap * std::sqrt(draw(0, 1));
        if (wait_ms > 0) lane.wait_until = std::max(lane.wait_until, until);
        if (shut || now_ - lane.cut_at < cut_gap_ms) return;
        lane.cut_at = now_;
        lane.share = std::max(least_pace, lane.share * (lane.share > 1 ? pace_down : due_down));
        lane.tokens = std::min(lane.tokens, 0.0);
    }

    double draw(double low, double high) {
        return low + (high - low) * std::uniform_real_distribution<>()(random_);
    }

    double sleep_ms(int retries) {
        const double growth = std::exp2(std::min(retries, 30)) - 1;
        return std::min(sleep_floor_ms + growth * sleep_delta_ms * draw(jitter_low, jitter_high),
                        sleep_ceiling_ms);
    }

    void retry_or_end(Message& m, const Outcome& o) {
        const auto& c = s_.classes[m.message_class];
        rest_key(m, o.result);
        if (may_have_run(o.result) && m.first_risky == never) {
            m.first_risky = m.sent;
            m.zone = endpoints_[m.endpoint].zone;
        }
        if (o.result != Result::full) m.avoid = o.endpoint;
        if (o.unsent) --m.attempts;
        const double sleep = o.wait_ms > 0 ? o.wait_ms + s_.tick_ms : sleep_ms(std::max(0, m.attempts - 1));
        const bool permitted = m.first_risky == never || c.repeat != Repeat::side_effect;
        if (!permitted || m.attempts >= s_.max_attempts || now_ + sleep >= last_call(m)) return finish(m);
        m.state = State::sleeping;
        set_timer(m.wakes = now_ + sleep, TimerKind::sleep, m.id);
        if (last_call(m) < last_moment(m)) set_timer(last_call(m), TimerKind::deadline, m.id);
    }

    Time last_call(const Message& m) const {
        const auto& c = s_.classes[m.message_class];
        if (m.first_risky == never || c.repeat != Repeat::token) return last_moment(m);
        return std::min(last_moment(m), m.first_risky + c.window_ms - 2 * s_.tick_ms);
    }

    // The one way out: a refusal where nothing may have run, else a failure.
    void finish(Message& m) {
        if (m.first_risky != never) {
            act(Fail{m.id});
        } else {
            const auto& d = destinations_[m.destination];
            double held = never;  // by told waits and cold returns
            for (const int l : d.lanes) {
                if (live(lanes_[l]) == 0) continue;
                const auto& h = lanes_[l].health;
                held = std::min(held, std::max(lanes_[l].wait_until, cold(h) ? h.turn : now_) - now_);
            }
            const double pause = std::max({sleep_floor_ms, drain_ms(d), held < never ? held : 0});
            act(Refuse{m.id, s_.may_advise_pause ? std::min(pause, s_.max_pause_ms) : 0});
        }
        close(m, !s_.ends_settle_later);
    }

    void close(Message& m, bool settled) {
        if (m.state == State::ready) leave_ready(m);
        const auto key = m.key;
        const auto id = m.id;
        --destinations_[m.destination].held;
        messages_.erase(id);
        if (key == 0) return;
        if (!settled) return static_cast<void>(unsettled_.emplace(id, key));
        keys_.leave(key, id);
        pass_turn(key);
    }

    // Where its attempt may still run. One that was answered has run, whatever the answer said.
    void rest_key(const Message& m, Result result) {
        if (m.key != 0 && may_have_run(result) && result != Result::error) rest(m.key);
    }

    void rest(std::uint64_t key) { keys_.rest(key, now_ + s_.turn_gap_ms + s_.tick_ms); }

    void pass_turn(std::uint64_t key) {
        keys_.forget_rested(now_);
        const auto front = keys_.front(key);
        if (now_ < keys_.rests_until(key)) return set_timer(keys_.rests_until(key), TimerKind::key, key);
        const auto head = front ? messages_.find(*front) : messages_.end();
        if (head != messages_.end() && head->second.state == State::turn) make_ready(head->second);
    }

    void on(const Withdrawn& w) {
        const auto it = messages_.find(w.id);
        if (it == messages_.end()) return;
        it->second.over = true;  // in flight: its key's turn passes when the attempt's outcome is known
        if (it->second.state != State::flying) close(it->second, true);
    }

    void on(const PeerNote&) {}  // notes are not needed and not trusted

    void set_timer(Time at, TimerKind kind, std::uint64_t of) {
        timers_.insert({at, ++timer_order_, kind, of});
    }

    void on(const TimerFired& fired) {
        if (fired.timer == timer_name_) armed_ = never;
        while (!timers_.empty() && std::get<Time>(*timers_.begin()) <= now_) {
            const auto [at, order, kind, of] = timers_.extract(timers_.begin()).value();
            ring(kind, of);
        }
    }

    void ring(TimerKind kind, std::uint64_t of) {
        const auto it = messages_.find(of);
        switch (kind) {
            case TimerKind::deadline:
                if (it != messages_.end() && it->second.state != State::flying &&
                    now_ >= last_call(it->second))
                    finish(it->second);
                break;
            case TimerKind::sleep:
                if (it != messages_.end() && it->second.state == State::sleeping) make_ready(it->second);
                break;
            case TimerKind::wake:
                destinations_[of].wake = never;
                touch(static_cast<int>(of));
                break;
            case TimerKind::key: pass_turn(of); break;
            case TimerKind::lane:
                refresh_sick(static_cast<int>(of));
                touch(lanes_[of].destination);
                break;
            case TimerKind::list: act(Subscribe{}); break;
        }
    }

    void arm() {
        if (timers_.empty() || std::get<Time>(*timers_.begin()) >= armed_) return;
        armed_ = std::get<Time>(*timers_.begin());
        act(SetTimer{std::max(armed_, now_), ++timer_name_});
    }

    void act(Action action) { out_->push_back(std::move(action)); }

    Settings s_;
    std::mt19937_64 random_;
    Time now_ = 0;
    double mean_worth_ = 0;
    std::vector<Action>* out_ = nullptr;
    bool asked_ = false, backlog_here_ = false;
    int ask_failures_ = 0, slots_used_ = 0, sick_flying_ = 0;
    state::Places<Endpoint> endpoints_;
    state::Places<Lane> lanes_;
    state::Places<Destination> destinations_;
    std::map<EndpointId, int> by_id_;
    std::map<DestinationId, int> numbers_;
    std::unordered_map<MessageId, Message> messages_;
    policy::KeyTurns keys_;
    std::unordered_map<MessageId, std::uint64_t> unsettled_;  // ended messages that keep their key's turn
    std::unordered_map<std::uint64_t, Call> calls_;
    std::vector<std::pair<double, Time>> tenants_;
    std::vector<Estimate> overall_;
    std::vector<double> tables_;  // by kind: how often a connection table seemed full
    std::set<int> eager_, backlog_;
    std::uint64_t last_call_ = 0, timer_order_ = 0;
    std::set<Timer> timers_;
    Time armed_ = never, stops_at_ = never;
    std::uint32_t timer_name_ = 0;
};

Sender::Sender(const Settings& settings, std::uint64_t seed)
    : choice_(std::make_unique<Choice>(settings, seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

void Sender::handle(Time now, const Event& event, std::vector<Action>& actions) {
    choice_->handle(now, event, actions);
}
Time Sender::sleeps_until(MessageId id) const { return choice_->sleeps_until(id); }
Standing Sender::standing(EndpointId id) const { return choice_->standing(id); }
std::string Sender::save() const { return state::pack(*choice_); }
bool Sender::load(const std::string& bytes) { return state::unpack(*choice_, bytes); }

}  // namespace brasslift
