// The platform's config and the operators' file side by side.
#pragma once

#include <memory>
#include <string>

#include "config/config.hpp"
#include "lang/load.hpp"
#include "plan/plan.hpp"

namespace brasslift::commands {

lang::Platform platform_of(const config::Config& config);

// The operators' file as a plan for this platform. Findings go to the log; throws config::BadConfig where
// there are errors, with the first of them. An empty path gives no plan.
std::shared_ptr<const plan::Plan> load_plan(const std::string& path, const config::Config& config);

}  // namespace brasslift::commands
