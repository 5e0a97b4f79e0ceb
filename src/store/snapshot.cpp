#include "store/snapshot.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace brasslift::store {
namespace {

constexpr std::string_view magic = "brasslift-snap01";
constexpr const char* list_name = "snapshot";
constexpr std::size_t part = 1 << 20, most_list = 64 << 20;

struct Item {
    std::string name;
    std::uint64_t size = 0, hash = 0;
};

std::string write_list(const std::vector<Item>& items) {
    std::string bytes(magic);
    append_number(bytes, static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items) {
        append_number(bytes, static_cast<std::uint16_t>(item.name.size()));
        bytes += item.name;
        append_number(bytes, item.size);
        append_number(bytes, item.hash);
    }
    append_number(bytes, hash_of(bytes));
    return bytes;
}

std::optional<std::vector<Item>> read_list(std::string_view bytes) {
    if (bytes.size() < magic.size() + 12 || !bytes.starts_with(magic)) return std::nullopt;
    const auto end = bytes.size() - 8;
    if (number_at<std::uint64_t>(bytes, end) != hash_of(bytes.substr(0, end))) return std::nullopt;
    std::vector<Item> items(number_at<std::uint32_t>(bytes, magic.size()));
    std::size_t at = magic.size() + 4;
    for (auto& item : items) {
        const std::size_t size = number_at<std::uint16_t>(bytes, at);
        item.name = bytes.substr(at + 2, size);
        item.size = number_at<std::uint64_t>(bytes, at + 2 + size);
        item.hash = number_at<std::uint64_t>(bytes, at + 10 + size);
        at += 18 + size;
    }
    return items;
}

Copied failed(Copied so_far, Fault fault, std::string why) {
    so_far.fault = fault;
    so_far.why = std::move(why);
    return so_far;
}

std::string error_text(const std::string& name, int error) { return name + ": " + std::strerror(-error); }

// Reads so many bytes in parts; `act` answers 0 or less errno's number. Each part's hash seeds the next
// one's.
int each_part(const File& file, std::uint64_t size, std::uint64_t& hash,
              const std::function<int(std::string_view)>& act) {
    std::string buffer(static_cast<std::size_t>(std::min<std::uint64_t>(part, size)), '\0');
    for (std::uint64_t at = 0; at < size;) {
        const auto want = static_cast<std::size_t>(std::min<std::uint64_t>(part, size - at));
        const auto got = file.read_at(buffer.data(), want, at);
        if (got < 0) return static_cast<int>(got);
        if (static_cast<std::size_t>(got) < want) return -ENODATA;
        const std::string_view bytes(buffer.data(), want);
        hash = hash_of(bytes, hash);
        if (const int bad = act(bytes); bad < 0) return bad;
        at += want;
    }
    return 0;
}

int write_file(Files& to, const std::string& name, std::string_view bytes) {
    std::unique_ptr<File> file;
    int bad = to.open(name, Mode::create, file);
    if (bad >= 0) bad = append_all(*file, bytes);
    return bad >= 0 ? file->sync() : bad;
}

bool belongs_to_a_store(const std::string& name) {
    return name == manifest_name || number_of_segment(name) || number_of_damaged(name);
}

}  // namespace

Copied take_snapshot(const Store& source, Files& to, const Progress& progress) {
    Copied out;
    std::vector<Files::Entry> there;
    if (const int bad = to.list(there); bad < 0) return failed(out, Fault::io, error_text("the folder", bad));
    if (!there.empty()) return failed(out, Fault::io, "the folder has files already");
    const auto extents = source.extents();
    std::uint64_t all = 0;
    for (const auto& extent : extents) all += extent.size;
    std::vector<Item> items;
    Manifest manifest;
    manifest.store = source.id();
    manifest.generation = 1;
    for (const auto& extent : extents) {
        const auto name = segment_name(extent.number);
        // A copy of damage would be damage that looks like a copy.
        Scan scan(*extent.file, segment_head, extent.size);
        for (auto found = scan.next(); found.what != Found::What::end; found = scan.next())
            if (found.what != Found::What::frame)
                return failed(out, Fault::damaged, name + " is damaged at " + std::to_string(found.offset));
        std::unique_ptr<File> file;
        if (const int bad = to.open(name, Mode::create, file); bad < 0)
            return failed(out, Fault::io, error_text(name, bad));
        Item item{name, extent.size, 0};
        int bad = each_part(*extent.file, extent.size, item.hash, [&](std::string_view bytes) {
            const int result = append_all(*file, bytes);
            out.bytes += bytes.size();
            if (progress) progress(out.bytes, all);
            return result;
        });
        if (bad >= 0) bad = file->sync();
        if (bad < 0) return failed(out, Fault::io, error_text(name, bad));
        items.push_back(item);
        manifest.segments.push_back({extent.number, extent.first, extent.size, false});
        manifest.next = extent.number + 1;
        ++out.files;
    }
    const auto text = write_manifest(manifest);
    items.push_back({manifest_name, text.size(), hash_of(text)});
    int bad = write_file(to, manifest_name, text);
    if (bad >= 0) bad = to.sync_folder();
    // Whoever finds the list finds everything that it names.
    if (bad >= 0) bad = write_file(to, std::string(list_name) + ".part", write_list(items));
    if (bad >= 0) bad = to.rename(std::string(list_name) + ".part", list_name);
    if (bad >= 0) bad = to.sync_folder();
    return bad < 0 ? failed(out, Fault::io, error_text("the list of files", bad)) : out;
}

Copied verify_snapshot(Files& from, const Progress& progress) {
    Copied out;
    std::string text;
    if (read_all(from, list_name, most_list, text) < 0)
        return failed(out, Fault::missing, "there is no list of files: the snapshot did not end");
    const auto items = read_list(text);
    if (!items) return failed(out, Fault::damaged, "the list of files is damaged");
    std::uint64_t all = 0;
    for (const auto& item : *items) all += item.size;
    for (const auto& item : *items) {
        std::unique_ptr<File> file;
        if (const int bad = from.open(item.name, Mode::read, file); bad < 0)
            return failed(out, Fault::missing, error_text(item.name, bad));
        std::uint64_t hash = 0;
        char beyond = 0;
        const int bad = each_part(*file, item.size, hash, [&](std::string_view bytes) {
            out.bytes += bytes.size();
            if (progress) progress(out.bytes, all);
            return 0;
        });
        if (bad < 0 || hash != item.hash || file->read_at(&beyond, 1, item.size) != 0)
            return failed(out, Fault::damaged, item.name + " is not as it was taken");
        ++out.files;
    }
    return out;
}

Copied restore_snapshot(Files& from, Files& to, const Progress& progress) {
    Copied out;
    // The second half of the progress is the copying.
    std::uint64_t all = 0;
    const auto checked = verify_snapshot(from, [&](std::uint64_t done, std::uint64_t whole) {
        all = whole;
        if (progress) progress(done, 2 * whole);
    });
    if (checked.fault != Fault::none) return checked;
    if (const int bad = to.lock(lock_name); bad < 0)
        return failed(out, bad == -EWOULDBLOCK ? Fault::locked : Fault::io, error_text("the folder", bad));
    std::vector<Files::Entry> there;
    if (const int bad = to.list(there); bad < 0) return failed(out, Fault::io, error_text("the folder", bad));
    const auto named = [&](const std::string& name) {
        return std::any_of(there.begin(), there.end(), [&](const auto& e) { return e.name == name; });
    };
    if (named(restoring_name)) {
        for (const auto& entry : there)
            if (belongs_to_a_store(entry.name)) to.remove(entry.name);
    } else {
        for (const auto& entry : there)
            if (belongs_to_a_store(entry.name))
                return failed(out, Fault::io, "the folder has a store already");
        if (const int bad = write_file(to, restoring_name, "a restore that has not ended\n"); bad < 0)
            return failed(out, Fault::io, error_text(restoring_name, bad));
    }
    if (const int bad = to.sync_folder(); bad < 0)
        return failed(out, Fault::io, error_text("the folder", bad));
    std::string text;
    read_all(from, list_name, most_list, text);
    const auto items = read_list(text);
    if (!items) return failed(out, Fault::damaged, "the list of files changed");
    for (const auto& item : *items) {
        std::unique_ptr<File> source, target;
        std::uint64_t hash = 0;
        int bad = from.open(item.name, Mode::read, source);
        if (bad >= 0) bad = to.open(item.name, Mode::create, target);
        if (bad >= 0)
            bad = each_part(*source, item.size, hash, [&](std::string_view bytes) {
                out.bytes += bytes.size();
                if (progress) progress(all + out.bytes, 2 * all);
                return append_all(*target, bytes);
            });
        if (bad >= 0) bad = target->sync();
        if (bad < 0) return failed(out, Fault::io, error_text(item.name, bad));
        if (hash != item.hash) return failed(out, Fault::damaged, item.name + " changed while it was copied");
        ++out.files;
    }
    int bad = to.sync_folder();
    if (bad >= 0) bad = to.remove(restoring_name);
    if (bad >= 0) bad = to.sync_folder();
    return bad < 0 ? failed(out, Fault::io, error_text("the folder", bad)) : out;
}

}  // namespace brasslift::store
