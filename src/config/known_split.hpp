// Parts a config's text from the list in it, as it is read: a list of 420,000 hosts is a thousand times the
// rest, and is read by whoever reads discovery's lists (cluster/known.hpp). No I/O.
// Errors: none here; text that is no JSON object is found so by whoever reads the rest, and a list that is
// none by whoever reads that. Memory: a name's first bytes.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace brasslift::config {

class KnownSplit {
public:
    using Take = std::function<void(std::string_view)>;

    // Appends to `rest` what is not the list, with null in the list's place, and gives the list's bytes to
    // `known`, where there is one. The list: an object or array named "known" in the outermost object.
    void feed(std::string_view bytes, std::string& rest, const Take& known);

private:
    int depth_ = 0;
    bool quoted_ = false, escaped_ = false;
    bool name_comes_ = false, naming_ = false;  // the next string is a name of the outermost object; it comes
    bool named_ = false;                        // the value that comes is the list
    bool inside_ = false;                       // the list
    std::string name_;
};

}  // namespace brasslift::config
