// Discovery's list between the cluster and the members: lines as they travel, and back. Decides nothing: what
// is news is the members' word.
#pragma once

#include "cluster/cluster.hpp"
#include "config/config.hpp"
#include "members/node.hpp"

namespace brasslift::serve {

class ListShare : public cluster::Share {
public:
    // `takes_hosts`: also endpoints that the own agent has not named.
    ListShare(const config::Config& config, members::Node& node, cluster::Cluster& cluster, bool takes_hosts);
    std::optional<cluster::News> own(const cluster::News& news, unsigned after) override;

private:
    members::v1::Host host_of(const cluster::News::Line& line, std::uint32_t rev) const;
    cluster::News::Line line_of(const members::v1::Host& host, bool with_address) const;

    const config::Config& config_;
    members::Node& node_;
    cluster::Cluster& cluster_;
    bool takes_hosts_;
    std::uint32_t own_rev_ = 0;
};

}  // namespace brasslift::serve
