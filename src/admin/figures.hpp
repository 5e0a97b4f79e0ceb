// The figures that operators read, as statsd lines.
#pragma once

#include <string>
#include <vector>

#include "dispatch/figures.hpp"
#include "downstream/server.hpp"
#include "upstream/pool.hpp"

namespace brasslift::admin {

struct Page {
    const std::vector<std::string>& classes;
    const dispatch::Figures& figures;
    const dispatch::Counts& counts;
    const downstream::Server& server;
    const upstream::Pool::Withheld& withheld;  // calls, before their first byte
    const upstream::ConnectionFigures& connections;
    std::uint64_t relayed = 0;  // messages whose call's last byte has been written
    std::size_t open = 0;       // taken on and not ended
    std::size_t listed = 0;     // hosts of discovery's list
    std::size_t avoided = 0;    // of these, the ones that nothing is sent to at the moment
    std::uint64_t configs_taken = 0, configs_refused = 0;
};

std::string statsd(const Page& page);

}  // namespace brasslift::admin
