#include "cluster/known.hpp"

#include "runtime/log.hpp"

namespace brasslift::cluster {

bool read_known(const config::Config& config, ListSink& sink, ListBounds bounds) {
    if (config.file.empty()) return false;
    ListReader reader(config, bounds, sink);
    bool any = false;
    std::string fault;
    try {
        config::read_file(config.file, [&](std::string_view bytes) {
            any = true;
            reader.feed(bytes);
        });
    } catch (const config::BadConfig& bad) {
        fault = bad.what();
    }
    reader.stop();
    if (fault.empty()) fault = reader.fault();
    if (!fault.empty()) {
        runtime::log("cluster", "the list in the config is not taken (%s): discovery's is awaited",
                     fault.c_str());
        return false;
    }
    if (reader.left_out().any())
        runtime::log("cluster", "in the config, %s", as_text(reader.left_out()).c_str());
    return any;
}

std::optional<News> read_known(const config::Config& config) {
    ListGatherer lists;
    if (!read_known(config, lists) || lists.whole.empty()) return std::nullopt;
    return std::move(lists.whole.back());
}

}  // namespace brasslift::cluster
