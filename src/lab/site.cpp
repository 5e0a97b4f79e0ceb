#include "lab/site.hpp"

namespace brasslift::lab {
std::string site_entry(const SiteHost& host) {
    return "{\"uid\":\"" + host.uid + "\",\"endpoint\":\"" + host.address +
           "\",\"az\":\"a\",\"model\":\"many\",\"pod_group\":" + std::to_string(host.destination) +
           ",\"state\":\"" + host.state + "\",\"capacity_hint\":" + std::to_string(host.capacity_hint) +
           ".0" + ",\"boot_ms\":0}";
}

namespace {

std::string request_class(const char* name, const char* repeat, double window_ms, bool in_order = false) {
    return std::string("{\"name\":\"") + name + "\",\"idempotency\":\"" + repeat +
           "\",\"dedup_scope\":\"all\",\"deadline_ms\":16000.0,\"objective_ms\":2000.0,\"importance\":1.0,"
           "\"late_share\":0.5,\"key_ttl_ms\":" +
           std::to_string(window_ms) + (in_order ? ",\"by_arrival\":true}" : "}");
}

}  // namespace

std::string site_config(const Site& site) {
    const double window = site.repeat_window_ms;
    std::string hosts;
    for (const auto& host : site.hosts) hosts += (hosts.empty() ? "" : ",") + site_entry(host);
    return "{\"name\":\"" + site.name + "\",\"discovery\":\"" + site.discovery +
           "\",\"seed\":\"1f\",\"limits\":{\"sockets\":" + std::to_string(site.sockets) +
           ",\"disk_mb\":" + std::to_string(site.disk_mb) +
           "},\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + hosts +
           "]},\"settings\":{\"specifics\":{\"workers\":" + std::to_string(site.workers) +
           ",\"batch_by_kind\":[3],\"kind_apart\":[true],\"fades\":\"halves\",\"toll\":[0.0]},"
           "\"bounds\":{\"most_held\":" +
           std::to_string(site.most_held) + ",\"send_cap\":" + std::to_string(site.send_cap) +
           ",\"conn_idle_ms\":3000.0,\"dial_timeout_ms\":500.0,\"retry_after\":true,"
           "\"max_retry_after_ms\":3000.0},\"instances\":" +
           std::to_string(site.instances) +
           ",\"tick_ms\":5.0,\"discovery\":\"push\","
           "\"weights\":\"" +
           (site.reports ? "off" : "rough") +
           "\",\"invariants\":{\"drain_grace_ms\":2000.0,\"start_capacity\":0.14,"
           "\"ramp_time_ms\":11000.0,\"tip_multiple\":2.5,\"fall_ms\":2000.0,\"turn_gap_ms\":100.0},"
           "\"localities\":[\"a\"],"
           "\"host_types\":[\"many\"],\"report\":{\"fields\":[" +
           (site.reports ? "\"x0\",\"x1\"],\"how\":\"inline\"}" : "],\"how\":\"off\"}") +
           ",\"request_classes\":[" + request_class("safe", "pure", window) + ',' +
           request_class("keyed", "token", window) + ',' + request_class("payment", "side_effect", window) +
           (site.has_ordered ? ',' + request_class("ordered", "side_effect", window, true) : "") +
           "],\"customers\":[{\"name\":\"acme\",\"allowance_per_s\":1000.0,\"share\":0.4},"
           "{\"name\":\"bolt\",\"allowance_per_s\":1000.0,\"share\":0.3}" +
           (site.has_coop ? ",{\"name\":\"coop\",\"allowance_per_s\":1000.0,\"share\":0.3}]}}" : "]}}");
}

}  // namespace brasslift::lab
