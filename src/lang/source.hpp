// Places, findings and files of the configuration language.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace brasslift::lang {

struct Place {
    std::string file;          // as the command line or an include reaches it
    int line = 0, column = 0;  // from 1; 0: the file as a whole. Columns count bytes.
    auto operator<=>(const Place&) const = default;
};
std::string to_text(const Place& place);

// Errors keep a file from being used; warnings tell of what cannot have been meant.
enum class Severity { error, warning };

struct Finding {
    Place at;
    Severity severity = Severity::error;
    std::string what, fix;
};
// "file:line:column: error: what; fix: fix"
std::string to_text(const Finding& finding);
std::size_t first_bad_utf8(std::string_view text);  // where it begins; npos: all is UTF-8
// A text from a file as findings quote it: in quotes, cut between characters.
std::string shown(std::string_view text, std::size_t most = 40, char quote = '"');

class Findings {
public:
    void error(Place at, std::string what, std::string fix = {});
    void warn(Place at, std::string what, std::string fix = {});
    void add_all(const Findings& others);
    bool any_errors() const { return errors_ > 0; }
    bool empty() const { return all_.empty() && left_out_ == 0; }
    // In the order of files and lines. Past `most` only their number is kept.
    std::vector<Finding> sorted() const;
    std::size_t left_out() const { return left_out_; }
    static constexpr std::size_t most = 500;

private:
    void add(Finding finding);
    std::vector<Finding> all_;
    std::size_t errors_ = 0, left_out_ = 0;
};

// Where files come from. Paths that it returns are canonical, so that two ways to one file are seen.
class Files {
public:
    virtual ~Files() = default;
    struct Failure {
        std::string what;
    };
    // The canonical path of a file, whether or not it can be read.
    virtual std::variant<std::string, Failure> find(const std::string& path) const = 0;
    // The contents, of at most `most` bytes.
    virtual std::variant<std::string, Failure> read(const std::string& path, std::size_t most) const = 0;
};

class Disk : public Files {
public:
    std::variant<std::string, Failure> find(const std::string& path) const override;
    std::variant<std::string, Failure> read(const std::string& path, std::size_t most) const override;
};

// The nearest of some names, empty where none is near.
std::string nearest(std::string_view word, const std::vector<std::string>& names);
// The fix for a word that is none of these names: the nearest, else what is said.
std::string nearest_or(std::string_view word, const std::vector<std::string>& names, std::string otherwise);

}  // namespace brasslift::lang
