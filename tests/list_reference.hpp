// How discovery's lists were read before they were read as they stream: whole objects cut out by their
// braces, each flattened, then read. What the streaming reader has to agree with; slow, for small lists only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/list_reader.hpp"
#include "cluster/news.hpp"
#include "config/config.hpp"

namespace brasslift::cluster::reference {

// Cuts the objects of a watch out of its bytes, by their braces.
class Objects {
public:
    explicit Objects(std::size_t most) : most_(most) {}
    // Appends what is whole by now. False: the bytes are no objects (all before the fault was appended).
    bool feed(std::string_view bytes, std::vector<std::string>& into) {
        std::size_t from = 0;  // of the object that is coming, in these bytes
        for (std::size_t i = 0; i < bytes.size() && !broken_; ++i) {
            const char c = bytes[i];
            if (depth_ == 0) {
                from = i;
                depth_ = c == '{' ? 1 : 0;
                broken_ = c != '{' && c != ' ' && c != '\t' && c != '\r' && c != '\n';
            } else if (quoted_) {
                quoted_ = escaped_ || c != '"';
                escaped_ = !escaped_ && c == '\\';
            } else if (c == '"') {
                quoted_ = true;
            } else if (c == '{' || c == '[') {
                ++depth_;
            } else if ((c == '}' || c == ']') && --depth_ == 0) {
                part_ += bytes.substr(from, i + 1 - from);
                if (part_.size() > most_)
                    broken_ = true;
                else
                    into.push_back(std::move(part_));
                part_.clear();
            }
        }
        if (depth_ > 0 && !broken_) part_ += bytes.substr(from);
        broken_ = broken_ || part_.size() > most_;
        return !broken_;
    }
    bool inside() const { return depth_ > 0; }

private:
    std::size_t most_;
    std::string part_;  // of the object that is coming
    int depth_ = 0;
    bool quoted_ = false, escaped_ = false, broken_ = false;
};

// Nothing where the object cannot be read; lines that cannot be read are left out and counted.
inline std::optional<News> read_news(const config::Flat& flat, const config::Config& config,
                                     std::size_t& left_out) {
    const double version = config::number_or(flat, "rev", -1);
    if (version < 0 || version > 4294967295.0) return std::nullopt;
    News news;
    news.version = static_cast<std::uint32_t>(version);
    news.whole = config::text_or(flat, "all") == "true";
    const auto count = static_cast<std::size_t>(std::max(0.0, config::number_or(flat, "targets.count", 0)));
    for (std::size_t i = 0; i < count; ++i) {
        const auto at = "targets." + std::to_string(i) + '.';
        News::Line line;
        line.uid = config::text_or(flat, at + "uid");
        const auto address = runtime::parse_address(config::text_or(flat, at + "endpoint"));
        const double group = config::number_or(flat, at + "pod_group", -1);
        const auto state = config::text_or(flat, at + "state");
        if (line.uid.empty() || group < 0 || group > most_destination || (!address && state != "Gone")) {
            ++left_out;
            continue;
        }
        if (address) line.address = *address;
        line.listing.destination = static_cast<DestinationId>(group);
        line.listing.zone = static_cast<std::uint16_t>(
            std::max(0, config::place_of(config.zones, config::text_or(flat, at + "az"))));
        line.listing.kind = static_cast<std::uint8_t>(
            std::max(0, config::place_of(config.kinds, config::text_or(flat, at + "model"))));
        line.listing.state = state == "Ready"  ? ListingState::ready
                             : state == "Gone" ? ListingState::gone
                                               : ListingState::draining;
        line.listing.weight = config::number_or(flat, at + "capacity_hint", 0);
        news.lines.push_back(std::move(line));
    }
    return news;
}

}  // namespace brasslift::cluster::reference
