#include "config/config.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "settings_text.hpp"

namespace brasslift::config {
namespace {

constexpr std::size_t most_config = 8 * 1024 * 1024;  // but for the list
constexpr std::size_t most_file = std::size_t{1} << 30;

std::vector<std::string> split(const std::string& joined) {
    std::vector<std::string> items;
    std::stringstream in(joined);
    for (std::string item; std::getline(in, item, ',');) items.push_back(item);
    return items;
}

std::vector<std::string> names(const Flat& flat, const std::string& list) {
    std::vector<std::string> found;
    const auto count = static_cast<std::size_t>(number_or(flat, list + ".count", 0));
    for (std::size_t i = 0; i < count; ++i)
        found.push_back(text_or(flat, list + '.' + std::to_string(i) + ".name"));
    return found;
}

// The part of a flattened object below a path.
Flat below(const Flat& flat, const std::string& path) {
    Flat part;
    const auto prefix = path + '.';
    for (auto it = flat.lower_bound(prefix); it != flat.end() && it->first.starts_with(prefix); ++it)
        part.emplace(it->first.substr(prefix.size()), it->second);
    return part;
}

}  // namespace

int place_of(const std::vector<std::string>& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

Config read_config(const std::string& json) {
    const auto flat = flatten(json);
    if (!flat) throw BadConfig("the config is not a JSON object that can be read");
    Config config;
    config.name = text_or(*flat, "name", "dispatcher");
    config.listen = text_or(*flat, "listen");
    config.discovery = text_or(*flat, "discovery");
    config.admin = text_or(*flat, "admin");
    config.seed = std::strtoull(text_or(*flat, "seed", "1").c_str(), nullptr, 16);
    config.sockets = static_cast<std::size_t>(number_or(*flat, "limits.sockets", 1024));
    config.disk_mb = number_or(*flat, "limits.disk_mb", 3);
    config.memory_mb = number_or(*flat, "limits.memory_mb", 192);
    std::string lines;
    for (const auto& [path, value] : below(*flat, "settings")) lines += path + '=' + value + '\n';
    config.settings = wire::read_settings(lines);
    config.dial_timeout_ms = number_or(*flat, "settings.bounds.dial_timeout_ms", 1500);
    config.drain_grace_ms = number_or(*flat, "settings.invariants.drain_grace_ms", 2000);
    config.classes = names(*flat, "settings.request_classes");
    config.tenants = names(*flat, "settings.customers");
    config.zones = split(text_or(*flat, "settings.localities"));
    config.kinds = split(text_or(*flat, "settings.host_types"));
    config.report_fields = split(text_or(*flat, "settings.report.fields"));
    return config;
}

std::string read_file(const std::string& path, const KnownSplit::Take& known) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw BadConfig("the config file cannot be read: " + path);
    KnownSplit split;
    std::string text;
    char part[65536];
    std::size_t size = 0;
    while (file.read(part, sizeof part), file.gcount() > 0) {
        const auto count = static_cast<std::size_t>(file.gcount());
        split.feed({part, count}, text, known);
        if (text.size() > most_config || (size += count) > most_file)
            throw BadConfig("the config file is too large: " + path);
    }
    return text;
}

Config read_config_file(const std::string& path) {
    auto config = read_config(read_file(path));
    config.file = path;
    return config;
}

Config load_config() {
    const auto variable = [](const char* name) -> std::string {
        const char* const value = std::getenv(name);
        return value == nullptr ? "" : value;
    };
    const auto path = variable("PROXY_CONFIG");
    if (path.empty()) throw BadConfig("PROXY_CONFIG names no file");
    auto config = read_config_file(path);
    if (const auto name = variable("PROXY_NAME"); !name.empty()) config.name = name;
    if (const auto listen = variable("PROXY_LISTEN"); !listen.empty()) config.listen = listen;
    if (const auto admin = variable("PROXY_ADMIN"); !admin.empty()) config.admin = admin;
    // The file is what a reload replaces, so it is never older than the environment of the process.
    if (config.discovery.empty()) config.discovery = variable("PROXY_DISCOVERY");
    config.state_folder = variable("PROXY_STATE");
    if (config.listen.empty()) throw BadConfig("PROXY_LISTEN: no address to listen on");
    if (config.discovery.empty()) throw BadConfig("PROXY_DISCOVERY: no address of discovery");
    if (config.state_folder.empty()) throw BadConfig("PROXY_STATE: no folder for the journal");
    return config;
}

}  // namespace brasslift::config
