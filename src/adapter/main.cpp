// The adapter: reads batches on standard input and answers each on standard output. Decides nothing.
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "codec.hpp"
#include "settings_text.hpp"

namespace {

using namespace brasslift;

class Host {
public:
    std::string answer(const wire::BatchHeader& header, std::string_view body) {
        wire::check_body(header, body);
        wire::Reply reply;
        for (std::size_t i = 0; i < header.records; ++i) {
            const auto record = wire::read_record(header, body, i, lists_);
            if (const auto* const start = std::get_if<wire::Spawn>(&record.what)) {
                spawn(record.instance, *start, reply);
            } else if (std::holds_alternative<wire::Halt>(record.what)) {
                find(header, i, record.instance);
                senders_.erase(record.instance);
            } else if (const auto* const event = std::get_if<Event>(&record.what)) {
                actions_.clear();
                Sender* const sender = find(header, i, record.instance);
                if (sender == nullptr) continue;
                try {
                    sender->handle(header.now, *event, actions_);
                } catch (const std::exception& fault) {
                    reply.add_fault(record.instance, fault.what());
                }
                for (const auto& action : actions_) reply.add(record.instance, action);
            }
        }
        return reply.frame(header.number);
    }

private:
    void spawn(std::uint16_t instance, const wire::Spawn& start, wire::Reply& reply) {
        senders_.erase(instance);
        try {
            senders_[instance] = std::make_unique<Sender>(wire::read_settings(start.settings), start.seed);
        } catch (const std::exception& fault) {
            senders_[instance] = nullptr;  // known, but with settings that cannot be used
            reply.add_fault(instance, fault.what());
        }
    }

    Sender* find(const wire::BatchHeader& header, std::size_t index, std::uint16_t instance) {
        const auto it = senders_.find(instance);
        if (it == senders_.end())
            throw wire::Malformed("batch " + std::to_string(header.number) + ", record " +
                                  std::to_string(index) + ", field node: no such instance " +
                                  std::to_string(instance));
        return it->second.get();
    }

    wire::Lists lists_;
    std::map<std::uint16_t, std::unique_ptr<Sender>> senders_;
    std::vector<Action> actions_;
};

std::string read_bytes(std::size_t size) {
    std::string bytes;
    char part[65536];
    while (bytes.size() < size) {
        const auto got = std::fread(part, 1, std::min(sizeof part, size - bytes.size()), stdin);
        if (got == 0) break;
        bytes.append(part, got);
    }
    return bytes;
}

}  // namespace

int main() {
    try {
        Host host;
        for (;;) {
            const auto head = read_bytes(wire::batch_header_size);
            if (head.empty()) return 0;
            const auto header = wire::read_header(head);
            const auto reply = host.answer(header, read_bytes(header.length));
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0)
                return 1;
        }
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "brasslift_adapter: %s\n", fault.what());
        return 1;
    }
}
