// The list in the config's file, as the dispatcher last had it: read as discovery's are, within the same
// bounds, as the file is read. Errors: a list that cannot be read or is too large, and a file that cannot be
// read again; the log says why, and the sink was told that nothing of it holds.
#pragma once

#include "cluster/list_reader.hpp"
#include "config/config.hpp"

namespace brasslift::cluster {

// False: there is none that can be read.
bool read_known(const config::Config& config, ListSink& sink, ListBounds bounds = {});
std::optional<News> read_known(const config::Config& config);

}  // namespace brasslift::cluster
