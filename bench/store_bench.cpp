// The store beside LMDB and SQLite (WAL) with the same records: `store_bench versus [RECORDS]`. Its start and
// memory at sizes: `store_bench scale [MOST]`. The longest slice of compaction: `store_bench hold [MB]`.
#include <lmdb.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "store/keyspace.hpp"

namespace {

namespace fs = std::filesystem;
using namespace brasslift::store;

constexpr std::size_t group = 64;  // records of one transaction where each is synced

double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::uint64_t from_proc(const char* file, const std::string& field) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(field)) return std::stoull(line.substr(field.size() + 1));
    return 0;
}
// What write calls were given; LMDB and SQLite use them too, here.
std::uint64_t written() { return from_proc("/proc/self/io", "wchar:"); }
std::uint64_t resident_kb() { return from_proc("/proc/self/status", "VmRSS:"); }

std::string value_of(std::uint64_t i) {
    std::mt19937_64 chance(i);
    std::string value(200, '\0');
    for (auto& c : value) c = static_cast<char>(chance());
    return value;
}

class Engine {
public:
    virtual ~Engine() = default;
    virtual void open(const std::string& folder, bool sync) = 0;
    virtual void begin() = 0;
    virtual void put(std::uint64_t key, const std::string& value) = 0;
    virtual void erase(std::uint64_t key) = 0;
    virtual void commit() = 0;
    virtual bool get(std::uint64_t key, std::string& into) = 0;
    virtual void idle() {}
};

void must(bool good, const char* what) {
    if (!good) throw std::runtime_error(what);
}

class Ours : public Engine {
public:
    void open(const std::string& folder, bool sync) override {
        files_ = files_in(folder);
        Options options;
        options.budget = std::uint64_t{40} << 30;
        options.durability = sync ? Durability::each : Durability::none;
        options.keyspaces = {{1, "records", {}, false}};
        store_ = std::make_unique<Store>(*files_, options);
        Report report;
        must(store_->open(1, report) == Fault::none, "open");
    }
    void begin() override { batch_ = {}; }
    void put(std::uint64_t key, const std::string& value) override { batch_.put(1, key_of(key), value, 1); }
    void erase(std::uint64_t key) override { batch_.erase(1, key_of(key)); }
    void commit() override {
        must(static_cast<bool>(store_->write(batch_)), "write");
        while (auto job = store_->next_job()) {
            Job::Install install;
            const int result = job->run(*files_, &install);
            store_->finish(*job, result, install.done);
            must(result >= 0, "sync");
        }
    }
    bool get(std::uint64_t key, std::string& into) override {
        return store_->read(1, key_of(key), into) == Fault::none;
    }
    void idle() override {
        while (store_->step(1, 256 * 1024)) {}
    }
    Store& store() { return *store_; }

private:
    std::unique_ptr<Files> files_;
    std::unique_ptr<Store> store_;
    Batch batch_;
};

class Lmdb : public Engine {
public:
    ~Lmdb() override {
        if (env_ != nullptr) mdb_env_close(env_);
    }
    void open(const std::string& folder, bool sync) override {
        must(mdb_env_create(&env_) == 0, "env");
        mdb_env_set_mapsize(env_, std::size_t{8} << 30);
        must(mdb_env_open(env_, folder.c_str(), sync ? 0 : MDB_NOSYNC, 0600) == 0, "open");
        begin();
        must(mdb_dbi_open(txn_, nullptr, 0, &dbi_) == 0, "dbi");
        commit();
    }
    void begin() override { must(mdb_txn_begin(env_, nullptr, 0, &txn_) == 0, "txn"); }
    void put(std::uint64_t key, const std::string& value) override {
        auto k = key_of(key);
        MDB_val at{k.size(), k.data()}, data{value.size(), const_cast<char*>(value.data())};
        must(mdb_put(txn_, dbi_, &at, &data, 0) == 0, "put");
    }
    void erase(std::uint64_t key) override {
        auto k = key_of(key);
        MDB_val at{k.size(), k.data()};
        mdb_del(txn_, dbi_, &at, nullptr);
    }
    void commit() override { must(mdb_txn_commit(txn_) == 0, "commit"); }
    bool get(std::uint64_t key, std::string& into) override {
        MDB_txn* txn = nullptr;
        must(mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn) == 0, "read txn");
        auto k = key_of(key);
        MDB_val at{k.size(), k.data()}, data{};
        const bool found = mdb_get(txn, dbi_, &at, &data) == 0;
        if (found) into.assign(static_cast<const char*>(data.mv_data), data.mv_size);
        mdb_txn_abort(txn);
        return found;
    }

private:
    MDB_env* env_ = nullptr;
    MDB_txn* txn_ = nullptr;
    MDB_dbi dbi_ = 0;
};

class Sqlite : public Engine {
public:
    ~Sqlite() override {
        for (auto* const s : {put_, erase_, get_, begin_, commit_}) sqlite3_finalize(s);
        sqlite3_close(db_);
    }
    void open(const std::string& folder, bool sync) override {
        must(sqlite3_open((folder + "/db").c_str(), &db_) == SQLITE_OK, "open");
        run("PRAGMA journal_mode=WAL");
        run(sync ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=OFF");
        run("CREATE TABLE IF NOT EXISTS records (key INTEGER PRIMARY KEY, value BLOB)");
        prepare("INSERT OR REPLACE INTO records VALUES (?, ?)", put_);
        prepare("DELETE FROM records WHERE key = ?", erase_);
        prepare("SELECT value FROM records WHERE key = ?", get_);
        prepare("BEGIN", begin_);
        prepare("COMMIT", commit_);
    }
    void begin() override { step(begin_); }
    void put(std::uint64_t key, const std::string& value) override {
        sqlite3_bind_int64(put_, 1, static_cast<sqlite3_int64>(key));
        sqlite3_bind_blob(put_, 2, value.data(), static_cast<int>(value.size()), SQLITE_STATIC);
        step(put_);
    }
    void erase(std::uint64_t key) override {
        sqlite3_bind_int64(erase_, 1, static_cast<sqlite3_int64>(key));
        step(erase_);
    }
    void commit() override { step(commit_); }
    bool get(std::uint64_t key, std::string& into) override {
        sqlite3_bind_int64(get_, 1, static_cast<sqlite3_int64>(key));
        const bool found = sqlite3_step(get_) == SQLITE_ROW;
        if (found)
            into.assign(static_cast<const char*>(sqlite3_column_blob(get_, 0)),
                        static_cast<std::size_t>(sqlite3_column_bytes(get_, 0)));
        sqlite3_reset(get_);
        return found;
    }

private:
    void run(const char* sql) { must(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql); }
    void prepare(const char* sql, sqlite3_stmt*& into) {
        must(sqlite3_prepare_v2(db_, sql, -1, &into, nullptr) == SQLITE_OK, sql);
    }
    void step(sqlite3_stmt* s) {
        must(sqlite3_step(s) == SQLITE_DONE, "step");
        sqlite3_reset(s);
    }
    sqlite3* db_ = nullptr;
    sqlite3_stmt *put_ = nullptr, *erase_ = nullptr, *get_ = nullptr, *begin_ = nullptr, *commit_ = nullptr;
};

using Make = std::function<std::unique_ptr<Engine>()>;
struct Named {
    const char* name;
    Make make;
};
const std::vector<Named> engines{{"brasslift", [] { return std::make_unique<Ours>(); }},
                                 {"LMDB", [] { return std::make_unique<Lmdb>(); }},
                                 {"SQLite", [] { return std::make_unique<Sqlite>(); }}};

class Folder {
public:
    Folder() {
        path = (fs::temp_directory_path() / "brasslift-bench-XXXXXX").string();
        must(::mkdtemp(path.data()) != nullptr, "folder");
    }
    ~Folder() {
        std::error_code error;
        fs::remove_all(path, error);
    }
    std::string path;
};

// In a process of its own, that ends as a kill would; what it found comes back as numbers.
std::vector<double> apart(const std::function<std::vector<double>()>& act) {
    int pipe_ends[2];
    must(::pipe(pipe_ends) == 0, "pipe");
    std::fflush(stdout);
    const pid_t child = ::fork();
    if (child == 0) {
        int code = 0;
        try {
            const auto found = act();
            const auto bytes = found.size() * sizeof(double);
            code = ::write(pipe_ends[1], found.data(), bytes) == static_cast<ssize_t>(bytes) ? 0 : 1;
        } catch (const std::exception& fault) {
            std::fprintf(stderr, "%s\n", fault.what());
            code = 1;
        }
        ::_exit(code);
    }
    ::close(pipe_ends[1]);
    std::vector<double> found(16);
    const auto got = ::read(pipe_ends[0], found.data(), found.size() * sizeof(double));
    ::close(pipe_ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    must(WIFEXITED(status) && WEXITSTATUS(status) == 0, "a child failed");
    found.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)) / sizeof(double));
    return found;
}

struct Row {
    std::vector<double> appends, reads, opens, amplification;
};
double median(std::vector<double> v) {
    std::sort(v.begin(), v.end());
    return v[v.size() / 2];
}

// Every record is put in a transaction of its own (unsynced), or 64 in one with a sync; nine in ten are
// erased when 100 later ones have come; then another process opens what the first one left behind, as after a
// kill.
void versus(std::uint64_t records) {
    constexpr int rounds = 3, reads = 200000;
    for (const bool sync : {false, true}) {
        const auto n = sync ? records / 4 : records;
        std::vector<Row> rows(engines.size());
        for (int round = 0; round < rounds; ++round)
            for (std::size_t turn = 0; turn < engines.size(); ++turn) {
                const auto e = (turn + static_cast<std::size_t>(round)) % engines.size();
                const Folder folder;
                const auto filled = apart([&] {
                    std::vector<std::string> values;
                    for (std::uint64_t i = 0; i < 1000; ++i) values.push_back(value_of(i));
                    auto engine = engines[e].make();
                    engine->open(folder.path, sync);
                    const auto at_first = written();
                    const double begun = now_s();
                    const std::uint64_t together = sync ? group : 1;
                    for (std::uint64_t i = 0; i < n; i += together) {
                        engine->begin();
                        for (auto k = i; k < i + together; ++k) {
                            engine->put(k, values[k % 1000]);
                            if (k >= 100 && k % 10 != 0) engine->erase(k - 100);
                        }
                        engine->commit();
                        if (i % 1024 == 0) engine->idle();
                    }
                    const double filled_s = now_s() - begun;
                    const auto bytes = static_cast<double>(written() - at_first);
                    std::mt19937_64 chance(1);
                    std::string into;
                    int found = 0;
                    const double reading = now_s();
                    for (int i = 0; i < reads; ++i)
                        found += engine->get(chance() % (n / 10) * 10, into) ? 1 : 0;
                    const double read_s = now_s() - reading;
                    must(found == reads, "records are missing");
                    engine.release();  // nothing is closed
                    return std::vector<double>{static_cast<double>(n) / filled_s, reads / read_s,
                                               bytes / (static_cast<double>(n) * 208)};
                });
                const auto opened = apart([&] {
                    const double begun = now_s();
                    auto engine = engines[e].make();
                    engine->open(folder.path, sync);
                    std::string into;
                    must(engine->get(10, into), "a record is missing");
                    return std::vector<double>{(now_s() - begun) * 1000};
                });
                rows[e].appends.push_back(filled[0]);
                rows[e].reads.push_back(filled[1]);
                rows[e].amplification.push_back(filled[2]);
                rows[e].opens.push_back(opened[0]);
            }
        std::printf("%s, %llu records\n%-10s %12s %8s %12s %8s %10s %12s\n",
                    sync ? "synced, 64 together" : "unsynced, each alone", static_cast<unsigned long long>(n),
                    "", "appends/s", "ratio", "reads/s", "ratio", "start ms", "written/byte");
        for (std::size_t e = 0; e < engines.size(); ++e)
            std::printf("%-10s %12.0f %8.2f %12.0f %8.2f %10.1f %12.2f\n", engines[e].name,
                        median(rows[e].appends), median(rows[e].appends) / median(rows[0].appends),
                        median(rows[e].reads), median(rows[e].reads) / median(rows[0].reads),
                        median(rows[e].opens), median(rows[e].amplification));
    }
}

// One in a hundred lives; no compaction. What a start then takes.
void scale(std::uint64_t most) {
    std::printf("%12s %12s %12s %12s %12s %14s\n", "records", "live", "MB on disk", "start ms", "RSS KB",
                "bytes a live one");
    const auto base = apart([] { return std::vector<double>{static_cast<double>(resident_kb())}; })[0];
    for (std::uint64_t n = 10000; n <= most; n *= 10) {
        const Folder folder;
        apart([&] {
            Ours engine;
            engine.open(folder.path, false);
            const auto value = value_of(1).substr(0, 100);
            for (std::uint64_t i = 0; i < n; i += 50) {
                engine.begin();
                for (auto k = i; k < i + 50; ++k) {
                    engine.put(k, value);
                    if (k >= 50 && k % 100 != 0) engine.erase(k - 50);
                }
                engine.commit();
            }
            return std::vector<double>{0};
        });
        std::uint64_t bytes = 0;
        for (const auto& file : fs::directory_iterator(folder.path)) bytes += fs::file_size(file.path());
        const auto found = apart([&] {
            const double begun = now_s();
            Ours engine;
            engine.open(folder.path, false);
            const double took = (now_s() - begun) * 1000;
            return std::vector<double>{took, static_cast<double>(resident_kb()),
                                       static_cast<double>(engine.store().index().count(1))};
        });
        std::printf("%12llu %12.0f %12.1f %12.1f %12.0f %14.0f\n", static_cast<unsigned long long>(n),
                    found[2], static_cast<double>(bytes) / 1e6, found[0], found[1],
                    (found[1] - base) * 1024 / found[2]);
    }
}

// A folder of so many MB, half of it live, written over until it has been compacted several times.
void hold(std::uint64_t mb) {
    const Folder folder;
    const auto files = files_in(folder.path);
    Options options;
    options.budget = mb * 1000000;
    options.keyspaces = {{1, "records", {}, false}};
    Store store(*files, options);
    Report report;
    must(store.open(1, report) == Fault::none, "open");
    store.work_apart();
    std::optional<Job> job;
    std::atomic<bool> ended{false};
    Job::Install install;
    std::thread remover;
    std::uint64_t slice = first_slice;
    const auto value = value_of(1);
    const std::uint64_t keys = options.budget / 2 / 250;
    std::mt19937_64 chance(1);
    std::vector<double> writes, slices;
    writes.reserve(keys * 4);  // that they grow is no one's slice
    slices.reserve(keys * 4);
    std::uint64_t refused = 0;
    for (std::uint64_t i = 0; i < keys * 4; ++i) {
        const double begun = now_s();
        const auto key = i < keys ? i : chance() % keys;
        refused += store.write(Batch().put(1, key_of(key), value, 1), Purpose::fresh) ? 0 : 1;
        const double behind = now_s();
        store.step(1, slice);
        slice = next_slice(slice, (now_s() - behind) * 1000);
        if (ended) {
            store.finish(*job, 0, install.done);
            job.reset();
            remover.join();
            ended = false;
        }
        if (!job && (job = store.next_job()))
            remover = std::thread([&] {
                job->run(*files, &install);
                ended = true;
            });
        writes.push_back((behind - begun) * 1000);
        slices.push_back((now_s() - behind) * 1000);
    }
    if (remover.joinable()) remover.join();
    std::sort(writes.begin(), writes.end());
    std::sort(slices.begin(), slices.end());
    const auto at = [](const std::vector<double>& v, double part) {
        return v[static_cast<std::size_t>(part * static_cast<double>(v.size() - 1))];
    };
    const auto stats = store.stats();
    std::printf(
        "%llu MB, %llu writes, %llu refused, %llu segments compacted, %.2f bytes copied for each appended\n",
        static_cast<unsigned long long>(mb), static_cast<unsigned long long>(writes.size()),
        static_cast<unsigned long long>(refused), static_cast<unsigned long long>(stats.compacted),
        static_cast<double>(stats.copied) / static_cast<double>(stats.appended - stats.copied));
    std::printf("ms: slices p99 %.3f p99.99 %.3f most %.3f; writes p99 %.3f p99.99 %.3f most %.3f\n",
                at(slices, 0.99), at(slices, 0.9999), slices.back(), at(writes, 0.99), at(writes, 0.9999),
                writes.back());
}

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    const auto number = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
    if (what == "versus") return versus(number == 0 ? 400000 : number), 0;
    if (what == "scale") return scale(number == 0 ? 10000000 : number), 0;
    if (what == "hold") return hold(number == 0 ? 500 : number), 0;
    std::fprintf(stderr, "usage: store_bench versus [RECORDS] | scale [MOST] | hold [MB]\n");
    return 2;
}
