#include "settings_text.hpp"

#include <cmath>
#include <cstdlib>
#include <map>

namespace brasslift::wire {
namespace {

constexpr double most_items = 100000;  // a longer list is not meant

class Keys {
public:
    explicit Keys(std::string_view text) {
        while (!text.empty()) {
            const auto end = text.find('\n');
            const auto line = text.substr(0, end);
            text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
            const auto equals = line.find('=');
            if (equals != std::string_view::npos)
                values_.insert_or_assign(std::string(line.substr(0, equals)),
                                         std::string(line.substr(equals + 1)));
        }
    }

    const std::string* find(const std::string& key) const {
        const auto it = values_.find(key);
        return it == values_.end() ? nullptr : &it->second;
    }

    const std::string& text(const std::string& key) const {
        const auto* const value = find(key);
        if (value == nullptr) throw BadSettings(key + ": missing");
        return *value;
    }

    static double to_number(const std::string& key, const std::string& value) {
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        if (value.empty() || *end != '\0' || !std::isfinite(number))
            throw BadSettings(key + ": not a number");
        if (number < 0) throw BadSettings(key + ": below zero");
        return number;
    }

    double number(const std::string& key) const { return to_number(key, text(key)); }

    void take(const std::string& key, double& into) const {
        if (find(key) != nullptr) into = number(key);
    }

    int count(const std::string& key, double least) const {
        const double value = number(key);
        if (value < least || value > 1e9) throw BadSettings(key + ": out of range");
        return static_cast<int>(value);
    }

    bool flag(const std::string& key) const {
        const auto* const value = find(key);
        if (value == nullptr || *value == "false") return false;
        if (*value != "true") throw BadSettings(key + ": neither true nor false");
        return true;
    }

    int items(const std::string& key, double least) const {
        const int value = count(key, least);
        if (value > most_items) throw BadSettings(key + ": out of range");
        return value;
    }

    std::vector<std::string> list(const std::string& key) const {
        std::vector<std::string> items;
        const auto* const value = find(key);
        if (value == nullptr || value->empty()) return items;
        std::size_t from = 0;
        for (;;) {
            const auto comma = value->find(',', from);
            items.push_back(value->substr(from, comma == std::string::npos ? comma : comma - from));
            if (comma == std::string::npos) return items;
            from = comma + 1;
        }
    }

private:
    std::map<std::string, std::string> values_;
};

template <class Value>
Value choose(const Keys& keys, const std::string& key, const std::map<std::string, Value>& names) {
    const auto it = names.find(keys.text(key));
    if (it == names.end()) throw BadSettings(key + ": unknown value " + keys.text(key));
    return it->second;
}

ClassSettings read_class(const Keys& keys, const std::string& at) {
    ClassSettings c;
    c.deadline_ms = keys.number(at + "deadline_ms");
    c.aim_ms = keys.number(at + "objective_ms");
    c.worth = keys.number(at + "importance");
    keys.take(at + "late_share", c.late_share);
    c.repeat = choose<Repeat>(
        keys, at + "idempotency",
        {{"pure", Repeat::pure}, {"token", Repeat::token}, {"side_effect", Repeat::side_effect}});
    if (c.repeat == Repeat::token) {
        c.window_ms = keys.number(at + "key_ttl_ms");
        // One cell holds the endpoints of one destination, which are all that a message may go to.
        c.group_is_zone =
            choose<bool>(keys, at + "dedup_scope", {{"all", false}, {"cell", false}, {"zone", true}});
    }
    c.in_order = keys.flag(at + "by_arrival");
    return c;
}

void read_kinds(const Keys& keys, Settings& s) {
    const auto apart = keys.list("specifics.kind_apart");
    const auto batch = keys.list("specifics.batch_by_kind");
    s.kinds.resize(std::max(apart.size(), batch.size()));
    for (std::size_t i = 0; i < apart.size(); ++i) {
        if (apart[i] != "true" && apart[i] != "false")
            throw BadSettings("specifics.kind_apart: neither true nor false");
        s.kinds[i].routes_apart = apart[i] == "true";
    }
    for (std::size_t i = 0; i < batch.size(); ++i)
        s.kinds[i].batch = static_cast<int>(Keys::to_number("specifics.batch_by_kind", batch[i]));
}

}  // namespace

Settings read_settings(std::string_view text) {
    const Keys keys(text);
    Settings s;
    s.slots = keys.count("specifics.workers", 1);
    s.max_held = keys.count("bounds.most_held", 1);
    s.max_attempts = keys.count("bounds.send_cap", 1);
    s.senders = keys.count("instances", 1);
    s.tick_ms = keys.number("tick_ms");
    keys.take("bounds.conn_idle_ms", s.conn_idle_ms);
    keys.take("bounds.max_retry_after_ms", s.max_pause_ms);
    s.may_advise_pause = keys.flag("bounds.retry_after");
    s.list_by_ask = choose<bool>(keys, "discovery", {{"push", false}, {"ask", true}});
    keys.take("invariants.must_ask_in_ms", s.must_ask_ms);
    keys.take("invariants.start_capacity", s.start_capacity);
    keys.take("invariants.ramp_time_ms", s.ramp_ms);
    keys.take("invariants.tip_multiple", s.tip_multiple);
    keys.take("invariants.fall_ms", s.fall_ms);
    keys.take("invariants.turn_gap_ms", s.turn_gap_ms);
    keys.take("over_share_worth", s.over_share_worth);
    keys.take("specifics.refused_price", s.refused_price);
    if (keys.find("weights") != nullptr)
        s.weights = choose<Weights>(keys, "weights",
                                    {{"off", Weights::off},
                                     {"rough", Weights::rough},
                                     {"nominal", Weights::nominal},
                                     {"live", Weights::off}});
    if (keys.find("specifics.fades") != nullptr)
        s.fade = choose<Fade>(keys, "specifics.fades", {{"line", Fade::line}, {"halves", Fade::halves}});
    const auto fields = keys.list("report.fields");
    for (std::size_t i = 0; i < fields.size(); ++i) {
        if (fields[i] == "x0") s.report_left = static_cast<int>(i);
        if (fields[i] == "x1") s.report_limit = static_cast<int>(i);
    }
    read_kinds(keys, s);
    for (const auto& toll : keys.list("specifics.toll"))
        s.zone_toll.push_back(Keys::to_number("specifics.toll", toll));
    const int classes = keys.items("request_classes.count", 1);
    for (int i = 0; i < classes; ++i)
        s.classes.push_back(read_class(keys, "request_classes." + std::to_string(i) + "."));
    const int tenants = keys.find("customers.count") == nullptr ? 0 : keys.items("customers.count", 0);
    for (int i = 0; i < tenants; ++i)
        s.tenant_rates.push_back(keys.number("customers." + std::to_string(i) + ".allowance_per_s"));
    return s;
}

}  // namespace brasslift::wire
