#include "store_rig.hpp"

namespace brasslift::test {

using namespace store;

void apply_to(State& state, const Batch& batch) {
    for (const auto& item : batch.items()) {
        if (item.kind == Kind::put)
            state[{item.keyspace, item.key}] = item.value;
        else
            state.erase({item.keyspace, item.key});
    }
}

State state_of(const Store& store, std::string* damage) {
    State state;
    for (const auto keyspace : store.index().keyspaces())
        store.index().scan(keyspace, "", "", [&](std::string_view key, const Entry& entry) {
            std::string value;
            const auto fault = store.read(entry.place, value);
            if (fault != Fault::none && damage != nullptr) *damage = std::string(key) + ": " + text_of(fault);
            state[{keyspace, std::string(key)}] = value;
            return true;
        });
    return state;
}

Batch History::one() {
    constexpr std::uint8_t messages = 1, marks = 2;
    Batch batch;
    if (live_.size() > 8 || (!live_.empty() && chance_() % 3 == 0)) {
        const auto at = chance_() % live_.size();
        batch.erase(messages, live_[at]).erase(marks, live_[at]);
        live_.erase(live_.begin() + static_cast<long>(at));
    } else if (!live_.empty() && chance_() % 2 == 0) {
        batch.put(marks, live_[chance_() % live_.size()], "out " + std::to_string(next_++), 900);
    } else {
        live_.push_back("m" + std::to_string(next_++));
        batch.put(messages, live_.back(), std::string(chance_() % 120, 'b'), 900);
    }
    return batch;
}

bool StoreRig::open(Stamp now) {
    close();
    files_ = disk_.mount();
    auto fresh = std::make_unique<Store>(*files_, options_);
    if (apart_) fresh->work_apart();
    report_ = {};
    fault_ = fresh->open(now, report_);
    why_ = fresh->why();
    if (fault_ != Fault::none) {
        fresh.reset();
        files_.reset();
        return false;
    }
    store_ = std::move(fresh);
    return true;
}

bool StoreRig::sync() {
    while (auto job = store_->next_job()) {
        Job::Install install;
        const int result = job->run(*files_, &install);
        store_->finish(*job, result, install.done);
        if (result < 0) return false;
        if (!install.done && job->manifest) break;  // tried again with the next one
    }
    return !store_->broken();
}

bool StoreRig::write(const Batch& batch, Purpose purpose) {
    doubt = batch;
    const auto written = store_->write(batch, purpose);
    if (!written) {
        // A fault that is told is no doubt while the process lives; a later start may not see it either.
        if (written.fault != Fault::io) doubt.reset();
        return false;
    }
    if (!sync() || older(store_->durable(), written.version + 1)) return false;
    apply_to(acknowledged, batch);
    doubt.reset();
    return true;
}

bool StoreRig::step(Stamp now, std::uint64_t bytes) {
    const bool more = store_->step(now, bytes);
    sync();
    return more;
}

std::string dishonesty(const Store& store, const Report& report, const State& should) {
    std::string damage;
    const auto is = state_of(store, &damage);
    if (!damage.empty()) return "an entry cannot be read: " + damage;
    const bool sound = report.sound();
    if (!sound && !report.suspect_below) return "damage is reported and nothing is suspect";
    for (const auto& [key, value] : should) {
        const auto found = is.find(key);
        if (found == is.end()) {
            if (sound) return "lost without a word: " + key.second;
            continue;
        }
        if (found->second == value) continue;
        const auto* const entry = store.index().find(static_cast<std::uint8_t>(key.first), key.second);
        if (sound || !older(entry->version, *report.suspect_below)) return "as it was before: " + key.second;
    }
    for (const auto& [key, value] : is) {
        if (should.count(key) != 0) continue;
        const auto* const entry = store.index().find(static_cast<std::uint8_t>(key.first), key.second);
        if (sound || !older(entry->version, *report.suspect_below))
            return "back from the dead: " + key.second;
    }
    return {};
}

std::string StoreRig::judge() {
    auto with = acknowledged;
    if (doubt) apply_to(with, *doubt);
    auto said = dishonesty(*store_, report_, acknowledged);
    if (!said.empty() && doubt) {
        const auto other = dishonesty(*store_, report_, with);
        if (other.empty()) said.clear();
    }
    acknowledged = state_of(*store_);
    doubt.reset();
    return said;
}

}  // namespace brasslift::test
