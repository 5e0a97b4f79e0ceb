// The config of a dispatcher that is played with, in the platform's form.
#pragma once

#include <string>
#include <vector>

#include "brasslift/sender.hpp"

namespace brasslift::lab {

struct SiteHost {
    std::string uid, address;
    DestinationId destination = 1;
    std::string state = "Ready";
    int capacity_hint = 50;
};

struct Site {
    std::string discovery;
    std::vector<SiteHost> hosts;
    int workers = 8, send_cap = 4, most_held = 20, sockets = 256, instances = 3;
    double disk_mb = 3;
    std::string name = "n1";
    bool has_coop = true;            // the third tenant
    bool reports = false;            // answers carry x0 and x1, and the list has no weights
    double repeat_window_ms = 5000;  // of the class keyed
    bool has_ordered = false;        // a fourth class, `ordered`: as payment, and in order for each key
};

// Classes safe, keyed and payment; tenants acme, bolt and coop.
std::string site_entry(const SiteHost& host);  // of a list
std::string site_config(const Site& site);

}  // namespace brasslift::lab
