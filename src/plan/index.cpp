#include "plan/index.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>

namespace brasslift::plan {
namespace {

constexpr int destination_bits = std::numeric_limits<DestinationId>::digits;
constexpr std::uint64_t most_pattern = 64;

// How a name was said: nothing, a beginning (the longer the more exact), the whole.
std::uint64_t exactness_of(const Pattern& p) {
    return p.prefix ? 1 + std::min<std::uint64_t>(p.text.size(), most_pattern) : 127;
}

struct Choice {
    std::uint32_t id_plus_one = 0;  // 0: open
    std::uint64_t exactness = 0;
};

std::vector<Choice> choices(const std::vector<Pattern>& patterns, const std::vector<std::string>& names) {
    if (patterns.empty()) return {{0, 0}};
    std::vector<Choice> found;
    for (std::uint32_t i = 0; i < names.size(); ++i) {
        std::uint64_t exactness = 0;
        for (const auto& p : patterns)
            if (p.matches(names[i])) exactness = std::max(exactness, exactness_of(p));
        if (exactness > 0) found.push_back({i + 1, exactness});
    }
    return found;
}

struct Block {
    int bits = 0;
    std::uint32_t from = 0;
    std::uint64_t exactness = 0;
};

// A range as the fewest aligned blocks.
void add_blocks(const Span& span, std::vector<Block>& into) {
    std::uint64_t from = span.from;
    const std::uint64_t end = std::uint64_t{span.to} + 1;
    while (from < end) {
        const std::uint64_t aligned = from == 0 ? all_destinations : from & (~from + 1);
        const std::uint64_t size = std::min(aligned, std::bit_floor(end - from));
        into.push_back(
            {destination_bits - std::countr_zero(size), static_cast<DestinationId>(from), span.exactness});
        from += size;
    }
}

// A key: 33 bits of destination, 17 of tenant and 14 of class, both plus one. A destination's prefix is its
// first bits behind a 1, so that it says its length as well. No tenant has all of its bits set, so that no
// key is the empty one.
constexpr int tenant_bits = 17, class_bits = 14;
constexpr std::uint64_t mask_of(int bits) { return (std::uint64_t{1} << bits) - 1; }

std::uint64_t pack(int bits, DestinationId destination, std::uint32_t tenant, std::uint32_t message_class) {
    const auto prefix = std::uint64_t{1} << bits | std::uint64_t{destination} >> (destination_bits - bits);
    return prefix << (tenant_bits + class_bits) | std::uint64_t{tenant} << class_bits | message_class;
}

struct Unpacked {
    int bits = 0;
    DestinationId from = 0;
    std::uint32_t tenant = 0, message_class = 0;
};
Unpacked unpack(std::uint64_t key) {
    const auto prefix = key >> (tenant_bits + class_bits);
    const int bits = std::bit_width(prefix) - 1;
    return {bits, static_cast<DestinationId>(prefix << (destination_bits - bits)),
            static_cast<std::uint32_t>(key >> class_bits & mask_of(tenant_bits)),
            static_cast<std::uint32_t>(key & mask_of(class_bits))};
}

std::uint64_t mixed(std::uint64_t key) {
    key ^= key >> 31;
    key *= 0x9e3779b97f4a7c15U;
    return key ^ key >> 29;
}

}  // namespace

Index::Index(const std::vector<Rule>& rules, const Names& names) : rules_(rules.size()) {
    if (names.classes.size() > most_classes)
        throw std::length_error("more than " + std::to_string(most_classes) + " classes");
    // Patterns that stand alone are the common case in large files, so names are found by a table for them.
    std::map<std::string, std::uint32_t> tenants;
    for (std::uint32_t i = 0; i < names.tenants.size(); ++i) tenants.emplace(names.tenants[i], i + 1);
    const auto tenants_of = [&](const std::vector<Pattern>& patterns) {
        if (std::any_of(patterns.begin(), patterns.end(), [](const Pattern& p) { return p.prefix; }) ||
            patterns.empty())
            return choices(patterns, names.tenants);
        std::map<std::uint32_t, Choice> found;
        for (const auto& p : patterns)
            if (const auto it = tenants.find(p.text); it != tenants.end())
                found[it->second] = {it->second, exactness_of(p)};
        std::vector<Choice> list;
        for (const auto& [id, choice] : found) list.push_back(choice);
        return list;
    };
    for (std::uint32_t r = 0; r < rules.size(); ++r) {
        const auto& match = *rules[r].match;
        if (match.nothing) continue;
        std::vector<Block> blocks;
        for (const auto& span : match.destinations) add_blocks(span, blocks);
        if (match.destinations.empty()) blocks.push_back({0, 0, 0});
        const auto tenant_choices = tenants_of(match.tenants);
        const auto class_choices = choices(match.classes, names.classes);
        if (entries_.size() + blocks.size() * tenant_choices.size() * class_choices.size() > most_cells)
            throw TooManyCells(std::to_string(r));
        const auto priority = static_cast<std::uint64_t>(rules[r].priority + 1000);
        for (const auto& block : blocks)
            for (const auto& tenant : tenant_choices)
                for (const auto& cls : class_choices)
                    entries_.push_back(
                        {pack(block.bits, block.from, tenant.id_plus_one, cls.id_plus_one),
                         priority << 49 | block.exactness << 14 | tenant.exactness << 7 | cls.exactness, r});
    }
    std::sort(entries_.begin(), entries_.end(), [](const Entry& a, const Entry& b) {
        return std::tuple(a.key, b.order, a.rule) < std::tuple(b.key, a.order, b.rule);
    });
    // A rule that says a cell twice has it as it said it more exactly.
    entries_.erase(
        std::unique(entries_.begin(), entries_.end(),
                    [](const Entry& a, const Entry& b) { return a.key == b.key && a.rule == b.rule; }),
        entries_.end());
    entries_.shrink_to_fit();
    std::size_t keys = 0;
    for (std::size_t i = 0; i < entries_.size(); ++i)
        keys += i == 0 || entries_[i].key != entries_[i - 1].key ? 1 : 0;
    slots_.resize(std::bit_ceil(std::max<std::size_t>(2, keys * 2)));
    for (std::uint32_t i = 0; i < entries_.size();) {
        const auto key = entries_[i].key;
        const auto first = i;
        while (i < entries_.size() && entries_[i].key == key) ++i;
        auto at = mixed(key) & (slots_.size() - 1);
        while (slots_[at].key != empty) at = (at + 1) & (slots_.size() - 1);
        slots_[at] = {key, first, i - first};
        const auto cell = unpack(key);
        shapes_.push_back({cell.bits, cell.tenant != 0, cell.message_class != 0});
    }
    std::sort(shapes_.begin(), shapes_.end());
    shapes_.erase(std::unique(shapes_.begin(), shapes_.end()), shapes_.end());
    shapes_.shrink_to_fit();
}

std::uint64_t Index::key_of(const Shape& shape, const Subject& s) {
    return pack(shape.bits, s.destination, shape.tenant ? s.tenant + 1U : 0,
                shape.message_class ? s.message_class + 1U : 0);
}

const Index::Slot* Index::find(std::uint64_t key) const {
    for (auto at = mixed(key) & (slots_.size() - 1);; at = (at + 1) & (slots_.size() - 1)) {
        if (slots_[at].key == key) return &slots_[at];
        if (slots_[at].key == empty) return nullptr;
    }
}

int Index::best(const Subject& subject) const {
    const Entry* found = nullptr;
    for (const auto& shape : shapes_)
        if (const auto* const slot = find(key_of(shape, subject)); slot != nullptr) {
            const auto& entry = entries_[slot->first];
            if (found == nullptr || std::pair(entry.order, found->rule) > std::pair(found->order, entry.rule))
                found = &entry;
        }
    return found == nullptr ? none : static_cast<int>(found->rule);
}

void Index::all(const Subject& subject, std::vector<int>& into) const {
    const auto from = static_cast<std::ptrdiff_t>(into.size());
    for (const auto& shape : shapes_)
        if (const auto* const slot = find(key_of(shape, subject)); slot != nullptr)
            for (std::uint32_t i = 0; i < slot->count; ++i)
                into.push_back(static_cast<int>(entries_[slot->first + i].rule));
    std::sort(into.begin() + from, into.end());
    into.erase(std::unique(into.begin() + from, into.end()), into.end());
}

Index::Analysis Index::analyse() const {
    struct Standing {
        bool seen = false, open = false;
        int other = none;
    };
    std::vector<Standing> standing(rules_);
    std::vector<Overlap> ambiguous;
    for (const auto& entry : entries_) {
        auto& own = standing[entry.rule];
        own.seen = true;
        const auto [bits, from, tenant, cls] = unpack(entry.key);
        int over = none;
        // Whatever covers the whole cell has a key of a shape that is as open or more so.
        for (const auto& shape : shapes_) {
            if (shape.bits > bits || (shape.tenant && tenant == 0) || (shape.message_class && cls == 0))
                continue;
            const Subject corner{static_cast<std::uint16_t>(cls == 0 ? 0 : cls - 1),
                                 static_cast<std::uint16_t>(tenant == 0 ? 0 : tenant - 1), from};
            const auto* const slot = find(key_of(shape, corner));
            if (slot == nullptr) continue;
            for (std::uint32_t i = slot->first;
                 i < slot->first + slot->count && entries_[i].order >= entry.order; ++i) {
                if (entries_[i].rule == entry.rule) continue;
                if (entries_[i].order > entry.order) {
                    over = static_cast<int>(entries_[i].rule);
                    break;
                }
                const auto [low, high] = std::minmax(entries_[i].rule, entry.rule);
                constexpr std::size_t most_pairs = 100'000;
                if (ambiguous.size() < most_pairs)
                    ambiguous.push_back({static_cast<int>(high), static_cast<int>(low)});
            }
            if (over != none) break;
        }
        if (over == none) own.open = true;
        if (over != none) own.other = over;
    }
    Analysis found;
    for (std::size_t r = 0; r < rules_; ++r)
        if (standing[r].seen && !standing[r].open)
            found.hidden.push_back({static_cast<int>(r), standing[r].other});
    const auto order = [](const Overlap& a, const Overlap& b) {
        return std::pair(a.rule, a.other) < std::pair(b.rule, b.other);
    };
    std::sort(ambiguous.begin(), ambiguous.end(), order);
    // One message a rule: whoever reads of one clash looks for the others himself.
    ambiguous.erase(std::unique(ambiguous.begin(), ambiguous.end(),
                                [](const Overlap& a, const Overlap& b) { return a.rule == b.rule; }),
                    ambiguous.end());
    found.ambiguous = std::move(ambiguous);
    return found;
}

std::size_t Index::bytes() const {
    return entries_.capacity() * sizeof(Entry) + slots_.capacity() * sizeof(Slot) +
           shapes_.capacity() * sizeof(Shape);
}

}  // namespace brasslift::plan
