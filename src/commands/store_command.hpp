// brasslift store stats | verify | dump | compact | snapshot | restore
#pragma once

#include <string>

namespace brasslift::commands {

// argv[0] is "store". The process's exit code.
int store(int argc, char** argv);
// Lists what a store says is owed; changes nothing, so it may be used beside a running dispatcher. An empty
// folder: PROXY_STATE's.
int list_owed(const std::string& folder);

}  // namespace brasslift::commands
