// The port to whoever shares what discovery says with others. Absent, each list holds as it comes.
#pragma once

#include <optional>

namespace brasslift::cluster {

struct News;

class Share {
public:
    virtual ~Share() = default;
    // A list or changes that the own agent has sent, which follow version `after`; what of it is to be acted
    // on here, since a newer word may have come another way. Nothing: none of it.
    virtual std::optional<News> own(const News& news, unsigned after) = 0;
};

}  // namespace brasslift::cluster
