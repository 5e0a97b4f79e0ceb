#include "lang/compiler.hpp"

namespace brasslift::lang {

void Compiler::store() {
    const auto& s = config_.store();
    auto& rule = rules_.store;
    using Durability = plan::StoreRule::Durability;
    if (s.durability() == v1::INTERVAL) rule.durability = Durability::interval;
    if (s.durability() == v1::EACH) rule.durability = Durability::each;
    if (s.has_interval()) {
        rule.interval_ms = duration_ms(s.interval());
        if (rule.durability != Durability::interval)
            error(places_.of(s, "interval"), "the store has an interval and does not sync by it",
                  "remove it, or write durability: INTERVAL");
    }
    rule.compress = s.has_compress() && s.compress() == v1::ON;
}

}  // namespace brasslift::lang
