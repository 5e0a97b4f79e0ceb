#include "serve/list_share.hpp"

#include <algorithm>

#include "runtime/log.hpp"

namespace brasslift::serve {
namespace {

std::string name_at(const std::vector<std::string>& names, std::size_t place) {
    return place < names.size() ? names[place] : std::string();
}

std::uint32_t state_of(ListingState state) {
    return state == ListingState::ready      ? members::Word::ready
           : state == ListingState::draining ? members::Word::terminating
                                             : members::Word::gone;
}

}  // namespace

ListShare::ListShare(const config::Config& config, members::Node& node, cluster::Cluster& cluster,
                     bool takes_hosts)
    : config_(config), node_(node), cluster_(cluster), takes_hosts_(takes_hosts) {
    node_.hear_list_by([this](const std::vector<members::v1::Host>& hosts, std::uint32_t rev) {
        cluster::News news;
        news.version = rev;
        for (const auto& host : hosts) news.lines.push_back(line_of(host, takes_hosts_));
        cluster_.hear(std::move(news));
    });
    cluster_.share_by(this);
}

members::v1::Host ListShare::host_of(const cluster::News::Line& line, std::uint32_t rev) const {
    members::v1::Host host;
    host.set_uid(line.uid);
    host.set_rev(rev);
    host.set_state(state_of(line.listing.state));
    // An address that differs from dispatcher to dispatcher would make each one's line news to the others.
    if (takes_hosts_ && line.address.port != 0) host.set_endpoint(runtime::to_text(line.address));
    host.set_group(line.listing.destination);
    host.set_zone(name_at(config_.zones, line.listing.zone));
    host.set_kind(name_at(config_.kinds, line.listing.kind));
    host.set_capacity(line.listing.weight);
    return host;
}

cluster::News::Line ListShare::line_of(const members::v1::Host& host, bool with_address) const {
    cluster::News::Line line;
    line.uid = host.uid();
    if (with_address)
        if (const auto address = runtime::parse_address(host.endpoint())) line.address = *address;
    const auto place = [](const std::vector<std::string>& names, const std::string& name) {
        return static_cast<std::size_t>(std::max(0, config::place_of(names, name)));
    };
    line.listing.destination = host.group();
    line.listing.zone = static_cast<std::uint16_t>(place(config_.zones, host.zone()));
    line.listing.kind = static_cast<std::uint8_t>(place(config_.kinds, host.kind()));
    line.listing.weight = host.capacity();
    line.listing.state = host.state() == members::Word::ready         ? ListingState::ready
                         : host.state() == members::Word::terminating ? ListingState::draining
                                                                      : ListingState::gone;
    return line;
}

std::optional<cluster::News> ListShare::own(const cluster::News& news, unsigned after) {
    if (news.whole && news.version < own_rev_)
        runtime::log("members", "discovery's revision went back from %u to %u: what is newer by number stays",
                     own_rev_, news.version);
    own_rev_ = news.version;
    members::v1::ListWord word;
    word.set_after(after);
    word.set_rev(news.version);
    word.set_whole(news.whole);
    for (const auto& line : news.lines) *word.add_host() = host_of(line, news.version);
    const auto lines = node_.heard_list(word);
    // What it says of endpoints that others have spoken of before it may still name an address for the first
    // time here; the state is the newest that is known.
    cluster::News out;
    out.version = news.version;
    for (const auto& line : news.lines) {
        out.lines.push_back(line);
        if (const auto* const known = node_.member().word().find(line.uid); known != nullptr)
            out.lines.back().listing.state = line_of(*known, false).listing.state;
    }
    for (const auto& host : lines)
        if (std::none_of(news.lines.begin(), news.lines.end(),
                         [&](const auto& line) { return line.uid == host.uid(); }))
            out.lines.push_back(line_of(host, false));
    return out;
}

}  // namespace brasslift::serve
