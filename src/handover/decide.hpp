// What a hand-over rests on, without I/O: who may ask whom, and what each side does next.
#pragma once

#include <cstdint>
#include <string_view>

#include "lifecycle/lifecycle.hpp"

namespace brasslift::handover {

// Of the packed state. Counted up with every change of a structure that travels; a test holds it to that.
constexpr std::uint32_t format = 8;

struct Hello {
    std::uint32_t format = 0;
    std::uint64_t settings = 0;  // a digest of all that gives the state its meaning
};

enum class Answer : std::uint8_t { give, other_format, other_settings, not_now };

// What an owner in that phase answers. `at_rest`: nothing of its state is between two places.
Answer answer_to(const Hello& asked, const Hello& own, lifecycle::Phase phase, bool at_rest);

std::string_view name_of(Answer answer);

// How asking went, and what a starting process does next.
enum class Asked : std::uint8_t { nobody, silent, declined, not_now, taken };
enum class Next : std::uint8_t { resume, start, wait, ask_again };
// `locked`: a process that lives has the store.
Next next_after(Asked asked, bool locked);

}  // namespace brasslift::handover
