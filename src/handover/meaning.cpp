#include "handover/meaning.hpp"

#include "state/archive.hpp"
#include "store/format.hpp"

namespace brasslift::handover {

Hello hello_of(const config::Config& config) {
    const auto meaning = state::pack(config.settings) + state::pack(config.classes) +
                         state::pack(config.tenants) + state::pack(config.zones) + state::pack(config.kinds) +
                         config.listen;
    return {format, store::hash_of(meaning)};
}

}  // namespace brasslift::handover
