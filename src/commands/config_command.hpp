// brasslift config check | format | diff | show | explain.
#pragma once

namespace brasslift::commands {

// What to exit with: 0 all is well, 1 findings or a difference, 2 the command line cannot be understood.
int config(int argc, char** argv);

}  // namespace brasslift::commands
