#include <algorithm>
#include <filesystem>
#include <set>

#include "lang/load.hpp"

namespace brasslift::lang {
namespace {

namespace fs = std::filesystem;

class Loader {
public:
    Loader(const Files& files, Document& document, Findings& findings)
        : files_(files), document_(document), findings_(findings) {}

    void read(const std::string& path) {
        const auto found = files_.find(path);
        if (const auto* const failure = std::get_if<Files::Failure>(&found)) {
            document_.whole = false;
            return findings_.error({path, 0, 0}, "the file cannot be found: " + failure->what,
                                   "check the path");
        }
        const auto& canonical = std::get<std::string>(found);
        root_ = fs::path(canonical).parent_path();
        file({path, 0, 0}, path, canonical);
    }

private:
    struct Open {
        std::string shown, canonical;
    };

    void file(const Place& from, const std::string& shown, const std::string& canonical) {
        const auto fault = [&](std::string what, std::string fix) {
            document_.whole = false;
            findings_.error(from, std::move(what), std::move(fix));
        };
        if (const auto loop = std::find_if(open_.begin(), open_.end(),
                                           [&](const Open& o) { return o.canonical == canonical; });
            loop != open_.end()) {
            std::string chain;
            for (auto it = loop; it != open_.end(); ++it) chain += it->shown + " -> ";
            return fault("the include closes a loop: " + chain + loop->shown, "remove one of these includes");
        }
        if (!seen_.insert(canonical).second) return;
        if (seen_.size() > most_files) {
            if (!told_many_) fault("more than " + std::to_string(most_files) + " files", "join some of them");
            told_many_ = true;
            return;
        }
        const auto contents = files_.read(canonical, most_file_bytes);
        if (const auto* const failure = std::get_if<Files::Failure>(&contents)) {
            if (from.line == 0) return fault("the file cannot be read: " + failure->what, "check the path");
            return fault("the included file \"" + shown + "\" cannot be read: " + failure->what,
                         "correct the path, or remove the include");
        }
        bytes_ += std::get<std::string>(contents).size();
        if (bytes_ > most_bytes)
            return fault("the files hold more than " + std::to_string(most_bytes) + " bytes",
                         "remove what is not needed");
        const auto& source = std::get<std::string>(contents);
        const int before = document_.config.include_size();
        document_.places.begin(shown);
        Tree rest;
        const bool sound = read_fields(shown, source, findings_, rest, [&](const Field& field) {
            bind_field(shown, field, document_.config, document_.places, findings_);
        });
        document_.whole = document_.whole && sound;
        open_.push_back({shown, canonical});
        const int after = document_.config.include_size();
        for (int i = before; i < after; ++i) include(shown, i);
        open_.pop_back();
    }

    void include(const std::string& by, int index) {
        const auto path = document_.config.include(index);
        const auto from = document_.places.of(document_.config, "include", index);
        const auto fault = [&](std::string what, std::string fix) {
            document_.whole = false;
            findings_.error(from, std::move(what), std::move(fix));
        };
        if (fs::path(path).is_absolute())
            return fault("the include \"" + path + "\" is an absolute path",
                         "write it relative to this file");
        const auto shown = (fs::path(by).parent_path() / path).lexically_normal().string();
        const auto found = files_.find(shown);
        if (const auto* const failure = std::get_if<Files::Failure>(&found))
            return fault("the included file \"" + shown + "\" cannot be found: " + failure->what,
                         "correct the path");
        const auto& canonical = std::get<std::string>(found);
        const auto within = fs::path(canonical).lexically_relative(root_);
        if (within.empty() || *within.begin() == "..")
            return fault("the include \"" + path + "\" leaves the folder of the first file",
                         "move the file there, or start from a file above both");
        file(from, shown, canonical);
    }

    const Files& files_;
    Document& document_;
    Findings& findings_;
    fs::path root_;
    std::vector<Open> open_;
    std::set<std::string> seen_;
    std::size_t bytes_ = 0;
    bool told_many_ = false;
};

}  // namespace

void read(const std::string& path, const Files& files, Document& document, Findings& findings) {
    Loader(files, document, findings).read(path);
    // A field that stands in a file with a fault may be missing because of that.
    if (document.whole) check_required(document.config, document.places, findings);
}

}  // namespace brasslift::lang
