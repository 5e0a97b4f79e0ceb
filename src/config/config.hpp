// What a dispatcher is told at its start: the environment and the file that PROXY_CONFIG names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "brasslift/sender.hpp"
#include "config/json.hpp"
#include "config/known_split.hpp"

namespace brasslift::config {

class BadConfig : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name, listen, discovery, state_folder;
    std::string admin;  // the operators' address; empty: none
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    double disk_mb = 3, memory_mb = 192;
    double dial_timeout_ms = 1500, drain_grace_ms = 2000;
    Settings settings;  // the module's; read by the adapter's reader
    // Names by their place in the settings, as paths, headers and the list use them.
    std::vector<std::string> classes, tenants, zones, kinds;
    std::vector<std::string>
        report_fields;  // of the load reports that answers may carry, in the module's order
    // Where it was read; the list as this dispatcher last had it stays there until it is read
    // (cluster/known.hpp). Empty: none.
    std::string file;
};

// The place of a name, -1 if there is none.
int place_of(const std::vector<std::string>& names, std::string_view name);

// Reads a config's text; throws BadConfig or wire::BadSettings, naming what is wrong.
Config read_config(const std::string& json);
// The config in a file, of bounded size but for its known list, which is left out; its bytes go to `known`.
std::string read_file(const std::string& path, const KnownSplit::Take& known = {});
// That config, without what the environment says; for its list it knows its file.
Config read_config_file(const std::string& path);
// The file and what the environment says beside it.
Config load_config();

}  // namespace brasslift::config
