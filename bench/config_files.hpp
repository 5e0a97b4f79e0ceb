// Large configurations for the benchmarks, as text.
#pragma once

#include <string>

namespace brasslift::bench {

// Routes of all shapes: single destinations, ranges, tenants, classes; a pool for every ten of them.
inline std::string large(int routes, int pools) {
    std::string text;
    for (int p = 0; p < pools; ++p) {
        const int from = p * 60;
        text += "pool {\n  name: \"pool-" + std::to_string(p) + "\"\n  destination: \"" +
                std::to_string(from) + '-' + std::to_string(from + 59) +
                "\"\n  connections_per_host: 8\n  dial_timeout: \"300ms\"\n}\n";
    }
    for (int r = 0; r < routes; ++r) {
        const int pool = r % pools, place = r / pools, from = pool * 60 + place * 5;
        text += "route {\n  name: \"route-" + std::to_string(r) + "\"\n  match {\n";
        const int shape = place % 4;
        if (shape == 0) text += "    destination: \"" + std::to_string(from) + "\"\n";
        if (shape == 1)
            text += "    destination: \"" + std::to_string(from) + '-' + std::to_string(from + 4) + "\"\n";
        if (shape == 2)
            text += "    destination: \"" + std::to_string(from) + "\"\n    tenant: \"member-" +
                    std::to_string(r % 500) + "\"\n";
        if (shape == 3)
            text += "    destination: \"" + std::to_string(from) + '-' + std::to_string(from + 3) +
                    "\"\n    class: [\"payment\", \"fee\"]\n";
        text += "  }\n  pool: \"pool-" + std::to_string(pool) + "\"\n}\n";
    }
    return text;
}

}  // namespace brasslift::bench
