#include "admin/figures.hpp"

namespace brasslift::admin {
namespace {

void add(std::string& text, std::string_view name, std::string_view of, std::uint64_t value, char kind) {
    text += "app.";
    text += name;
    if (!of.empty()) text += '.';
    text += of;
    text += ':' + std::to_string(value) + '|' + kind + '\n';
}

}  // namespace

std::string statsd(const Page& page) {
    std::string text;
    for (std::size_t i = 0; i < page.classes.size() && i < page.figures.size(); ++i) {
        const auto& name = page.classes[i];
        add(text, "fulfilled", name, page.figures[i].fulfilled, 'c');
        add(text, "throttled", name, page.figures[i].throttled, 'c');
        add(text, "faulted", name, page.figures[i].faulted, 'c');
    }
    add(text, "relayed", "", page.relayed, 'c');
    add(text, "open_requests", "", page.open, 'g');
    add(text, "registry_entries", "", page.listed, 'g');
    add(text, "out_of_rotation", "", page.avoided, 'g');
    add(text, "cfg_accepted", "", page.configs_taken, 'c');
    add(text, "cfg_invalid", "", page.configs_refused, 'c');
    return text;
}

}  // namespace brasslift::admin
