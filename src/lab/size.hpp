// The size file. Errors: throws std::runtime_error with file, line, column and the cause, or the figure that
// is missing.
#pragma once

#include <string>

#include "brasslift/lab/v1/size.pb.h"

namespace brasslift::lab {

// `file` is for the error alone.
v1::Size size_of(const std::string& text, const std::string& file);
v1::Size read_size(const std::string& path);

}  // namespace brasslift::lab
