#include "commands/store_command.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <map>
#include <stdexcept>

#include "config/json.hpp"
#include "dispatch/ledger.hpp"
#include "dispatch/old_journal.hpp"
#include "runtime/scheduler.hpp"
#include "store/snapshot.hpp"

namespace brasslift::commands {
namespace {

using store::Fault;
using store::Files;
using store::Store;

constexpr int found_damage = 1, misused = 2;

std::string folder_or_state(const std::string& folder) {
    const char* const state = std::getenv("PROXY_STATE");
    if (folder.empty() && state == nullptr)
        throw std::runtime_error("no folder is given, and PROXY_STATE names none");
    return folder.empty() ? state : folder;
}

unsigned long long number(std::uint64_t value) { return value; }

store::Stamp wall_stamp() { return static_cast<store::Stamp>(runtime::wall_now()); }

// A line that is written anew as long as someone watches.
class ProgressLine {
public:
    explicit ProgressLine(const char* what) : what_(what), shown_(::isatty(2) == 1) {}
    ~ProgressLine() {
        if (written_) std::fprintf(stderr, "\n");
    }
    void operator()(std::uint64_t done, std::uint64_t all) {
        const auto part = all == 0 ? 100 : static_cast<int>(100 * done / all);
        if (!shown_ || part == last_) return;
        last_ = part;
        written_ = true;
        std::fprintf(stderr, "\r%s: %3d %% of %.1f MB", what_, part, static_cast<double>(all) / 1e6);
    }

private:
    const char* what_;
    bool shown_, written_ = false;
    int last_ = -1;
};

struct Opened {
    std::unique_ptr<Files> files;
    std::unique_ptr<Store> store;
    store::Report report;
    Fault fault = Fault::none;
};

// For reading, also beside the process that has it: what compaction takes away meanwhile is looked up again.
Opened read_store(const std::string& folder) {
    Opened opened;
    for (int tries = 0; tries < 20; ++tries) {
        opened = {store::files_in(folder), nullptr, {}, Fault::none};
        store::Options options;
        options.read_only = true;
        options.keyspaces = dispatch::ledger_keyspaces();
        opened.store = std::make_unique<Store>(*opened.files, options);
        opened.fault = opened.store->open(wall_stamp(), opened.report);
        const auto& findings = opened.report.findings;
        if (std::none_of(findings.begin(), findings.end(),
                         [](const auto& f) { return f.what == store::Judgement::What::lost; }))
            break;
    }
    return opened;
}

Opened need_store(const std::string& folder) {
    auto opened = read_store(folder);
    if (opened.fault != Fault::none)
        throw std::runtime_error("no store in '" + folder + "': " + opened.store->why());
    return opened;
}

std::string name_of(std::uint8_t keyspace) {
    for (const auto& rule : dispatch::ledger_keyspaces())
        if (rule.id == keyspace) return rule.name;
    return std::to_string(keyspace);
}

void print_findings(const store::Report& report) {
    for (const auto& finding : report.findings)
        std::printf("%s: %s: %s (%llu bytes)\n",
                    finding.number == 0 ? "store" : store::segment_name(finding.number).c_str(),
                    finding.what == store::Judgement::What::torn ? "torn" : "damaged", finding.why.c_str(),
                    number(finding.bytes));
}

int stats(const std::string& folder) {
    const auto opened = need_store(folder);
    std::uint64_t bytes = 0, live = 0;
    std::printf("%-16s %12s %12s %7s\n", "segment", "bytes", "live", "live %");
    for (const auto& extent : opened.store->extents()) {
        std::printf("%-16s %12llu %12llu %6.1f%%%s\n", store::segment_name(extent.number).c_str(),
                    number(extent.size), number(extent.live),
                    100.0 * static_cast<double>(extent.live) /
                        static_cast<double>(std::max<std::uint64_t>(extent.size, 1)),
                    extent.damaged ? "  damaged" : "");
        bytes += extent.size;
        live += extent.live;
    }
    std::printf("%-16s %12llu %12llu\n\n%-16s %12s %12s\n", "all", number(bytes), number(live), "keyspace",
                "records", "bytes");
    const auto& index = opened.store->index();
    for (const auto id : index.keyspaces())
        std::printf("%-16s %12llu %12llu\n", name_of(id).c_str(), number(index.count(id)),
                    number(index.bytes(id)));
    std::printf("\nnext version %llu, %llu frames, %llu operations\n", number(opened.store->next()),
                number(opened.report.frames), number(opened.report.operations));
    print_findings(opened.report);
    return 0;
}

int verify(const std::string& folder) {
    std::vector<Files::Entry> entries;
    const auto files = store::files_in(folder);
    files->list(entries);
    if (std::any_of(entries.begin(), entries.end(), [](const auto& e) { return e.name == "snapshot"; })) {
        ProgressLine line("checking");
        const auto checked = store::verify_snapshot(*files, std::ref(line));
        if (checked.fault != Fault::none) return std::printf("%s\n", checked.why.c_str()), found_damage;
        std::printf("a whole snapshot: %llu files, %llu bytes\n", number(checked.files),
                    number(checked.bytes));
        return 0;
    }
    const auto opened = need_store(folder);
    print_findings(opened.report);
    std::uint64_t unreadable = 0;
    for (const auto id : opened.store->index().keyspaces())
        opened.store->index().scan(id, {}, {}, [&](std::string_view, const store::Entry& entry) {
            std::string value;
            if (opened.store->read(entry.place, value) != Fault::none) ++unreadable;
            return true;
        });
    std::printf("%llu frames, %llu operations, %llu records that count, %llu of them unreadable\n",
                number(opened.report.frames), number(opened.report.operations),
                number(opened.store->stats().records), number(unreadable));
    return opened.report.sound() && unreadable == 0 ? 0 : found_damage;
}

int dump(const std::string& folder, const std::string& keyspace, bool values) {
    const auto opened = need_store(folder);
    for (const auto id : opened.store->index().keyspaces()) {
        const auto name = name_of(id);
        if (!keyspace.empty() && keyspace != name) continue;
        opened.store->index().scan(id, {}, {}, [&](std::string_view key, const store::Entry& entry) {
            const auto as_number = store::number_of(key);
            const bool by_number = id <= dispatch::NoticeCodec::id && as_number;
            std::printf(
                "{\"keyspace\":%s,\"key\":%s,\"version\":%llu,\"stamp\":%lld,\"segment\":%llu,\"bytes\":%u",
                config::quoted(name).c_str(),
                by_number ? std::to_string(*as_number).c_str() : config::quoted(std::string(key)).c_str(),
                number(entry.version), static_cast<long long>(entry.stamp), number(entry.place.segment),
                entry.size);
            std::string value;
            if (values) {
                const auto fault = opened.store->read(entry.place, value);
                if (fault != Fault::none) {
                    std::printf(",\"fault\":%s", config::quoted(store::text_of(fault)).c_str());
                } else {
                    std::printf(",\"value_hex\":\"");
                    for (const unsigned char c : value) std::printf("%02x", c);
                    std::printf("\"");
                }
            }
            std::printf("}\n");
            return std::ferror(stdout) == 0;
        });
    }
    return 0;
}

int compact(const std::string& folder, double disk_mb) {
    if (disk_mb <= 0)
        return std::fprintf(stderr, "brasslift store compact: --disk-mb says how large the folder may be\n"),
               misused;
    const auto files = store::files_in(folder);
    store::Options options;
    options.budget = static_cast<std::uint64_t>(disk_mb * 1e6);
    options.keyspaces = dispatch::ledger_keyspaces();
    {
        store::Options look = options;
        look.read_only = true;
        Store there(*files, look);
        store::Report report;
        // Nothing is made where there is nothing, and damage is the dispatcher's to conclude from.
        if (there.open(wall_stamp(), report) != Fault::none)
            throw std::runtime_error("no store in '" + folder + "': " + there.why());
        if (!report.sound()) {
            print_findings(report);
            throw std::runtime_error("the store is damaged: start the dispatcher on it first");
        }
    }
    Store store(*files, options);
    store::Report report;
    if (store.open(wall_stamp(), report) != Fault::none) throw std::runtime_error(store.why());
    const auto before = store.stats();
    ProgressLine line("compacting");
    if (const auto fault = store.compact_all(std::ref(line)); fault != Fault::none)
        throw std::runtime_error("it stopped: " + store.why());
    const auto after = store.stats();
    std::printf("%llu bytes before, %llu after, %llu copied\n", number(before.used), number(after.used),
                number(after.copied));
    return 0;
}

int said(const store::Copied& copied, const char* done) {
    if (copied.fault != Fault::none) throw std::runtime_error(copied.why);
    std::printf("%s: %llu files, %llu bytes\n", done, number(copied.files), number(copied.bytes));
    return 0;
}

int snapshot(const std::string& folder, const std::string& to) {
    const auto opened = need_store(folder);
    if (!opened.report.sound()) {
        print_findings(opened.report);
        throw std::runtime_error("the store is damaged");
    }
    ProgressLine line("copying");
    return said(store::take_snapshot(*opened.store, *store::files_in(to), std::ref(line)), "taken");
}

int restore(const std::string& from, const std::string& folder) {
    ProgressLine line("checking and copying");
    return said(store::restore_snapshot(*store::files_in(from), *store::files_in(folder), std::ref(line)),
                "restored");
}

const char* standing_of(const dispatch::Owed& m) {
    switch (m.ending) {
        case dispatch::Ending::failed: return "undeliverable, notice not yet taken";
        case dispatch::Ending::deferred: return "deferred, notice not yet taken";
        default: break;
    }
    return m.flying ? "owed, an attempt is out" : m.may_have_run ? "owed, an attempt may have run" : "owed";
}

constexpr const char* usage =
    "usage: brasslift store COMMAND ...\n"
    "  stats [FOLDER]                 segments, and records by keyspace\n"
    "  verify [FOLDER]                checks every record of a store, or a snapshot; 1 where one is damaged\n"
    "  dump [FOLDER]                  every record as a JSON line, without values\n"
    "  compact [FOLDER] --disk-mb N   copies what counts and removes the rest; the dispatcher must be "
    "stopped\n"
    "  snapshot FOLDER TO             a checked copy, also of a store in use\n"
    "  restore FROM FOLDER            a whole snapshot into a folder without a store\n"
    "Without FOLDER it is PROXY_STATE's. All but compact and restore change nothing.\n";

}  // namespace

int list_owed(const std::string& given) {
    const auto folder = folder_or_state(given);
    const auto opened = read_store(folder);
    std::map<MessageId, dispatch::Owed> messages;
    const bool old = dispatch::read_old_journal(*opened.files, messages);
    if (opened.fault != Fault::none && !old)
        throw std::runtime_error("no store in '" + folder + "': " + opened.store->why());
    if (opened.fault == Fault::none) messages.merge(dispatch::owed_in(*opened.store));
    const double now = runtime::wall_now();
    for (const auto& [id, m] : messages)
        std::printf("%s class %u dest %u attempts %d due in %.0f ms: %s\n", m.name.c_str(), m.message_class,
                    m.destination, m.attempts, m.due_wall - now, standing_of(m));
    std::printf("%llu records, %zu messages\n", number(opened.report.operations), messages.size());
    return 0;
}

int store(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "--help" || command == "-h") return std::printf("%s", usage) < 0 ? 1 : 0;
    const std::map<std::string, std::size_t> known{{"stats", 1},   {"verify", 1},   {"dump", 1},
                                                   {"compact", 1}, {"snapshot", 2}, {"restore", 2}};
    const auto found = known.find(command);
    if (found == known.end()) {
        std::fprintf(stderr, "brasslift store: no command '%s'\n%s", command.c_str(), usage);
        return misused;
    }
    cxxopts::Options options("brasslift store " + command, "See brasslift store --help.");
    options.positional_help(found->second == 1      ? "[FOLDER]"
                            : command == "snapshot" ? "FOLDER TO"
                                                    : "FROM FOLDER");
    options.add_options()("h,help", "print this text")("folders", "folders",
                                                       cxxopts::value<std::vector<std::string>>());
    if (command == "dump")
        options.add_options()("keyspace", "only this one", cxxopts::value<std::string>()->default_value(""))(
            "values", "with values, as hexadecimal digits");
    if (command == "compact")
        options.add_options()("disk-mb", "the platform's limit of the folder",
                              cxxopts::value<double>()->default_value("0"));
    options.parse_positional({"folders"});
    try {
        const auto given = options.parse(argc - 1, argv + 1);
        if (given.count("help") > 0) return std::printf("%s", options.help().c_str()) < 0 ? 1 : 0;
        const auto folders = given.count("folders") > 0 ? given["folders"].as<std::vector<std::string>>()
                                                        : std::vector<std::string>();
        if (folders.size() > found->second || (found->second == 2 && folders.size() != 2) ||
            !given.unmatched().empty())
            throw cxxopts::exceptions::exception("the wrong number of folders");
        const auto first = folders.empty() ? folder_or_state("") : folders[0];
        if (command == "stats") return stats(first);
        if (command == "verify") return verify(first);
        if (command == "dump")
            return dump(first, given["keyspace"].as<std::string>(), given.count("values") > 0);
        if (command == "compact") return compact(first, given["disk-mb"].as<double>());
        if (command == "snapshot") return snapshot(first, folders[1]);
        return restore(first, folders[1]);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "brasslift store %s: %s (--help tells more)\n", command.c_str(), fault.what());
        return misused;
    }
}

}  // namespace brasslift::commands
