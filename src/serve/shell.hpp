// What is left of a process that has handed its work over: its figures can still be read.
#pragma once

#include <string>

#include "runtime/descriptor.hpp"
#include "serve/signals.hpp"

namespace brasslift::serve {

// What a life leaves behind.
struct Remains {
    runtime::Descriptor admin;  // the operators' listener; none: nobody calls
    std::string figures;
};

// Until a signal, or for so long as nobody needs it.
void keep_shell(Remains remains);

}  // namespace brasslift::serve
