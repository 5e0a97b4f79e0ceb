// The lab's configs, under the tests' own names.
#pragma once

#include "lab/site.hpp"

namespace brasslift::test {

using lab::Site;
using lab::site_config;
using lab::SiteHost;

}  // namespace brasslift::test
