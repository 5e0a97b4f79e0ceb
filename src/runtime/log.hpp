// The one way to the log: standard error through fprintf, so many lines a second and no more.
#pragma once

namespace brasslift::runtime {

[[gnu::format(printf, 2, 3)]] void log(const char* part, const char* format, ...);

}  // namespace brasslift::runtime
