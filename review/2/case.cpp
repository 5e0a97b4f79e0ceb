// A ride record runs twice: what is known of its first call is lost when the process is replaced.
#include <cmath>

#include "rig.hpp"

using namespace review;

namespace {

constexpr int records = 5, destination = 1, other_destination = 2;
constexpr double window_ms = 15000, deadline_ms = 28000, slack_ms = 50;

}  // namespace

int main(int count, char** words) {
    return run_case(count, words, [](Record& record) {
        Folder folder;
        enum class Mood { takes, silent, shut };
        std::atomic<Mood> mood{Mood::takes};
        // Runs what it takes, silent or not; drops a repeat for 15 s from the last byte of the first call
        // that ran.
        std::mutex mutex;
        std::map<std::string, double> ran;  // by idempotency key, the first run
        std::vector<std::string> twice;
        Endpoint partner(record, "P", [&](const Call& call) {
            if (mood == Mood::shut) return Reply{503, 10, {}};
            const std::lock_guard lock(mutex);
            const auto [first, fresh] = ran.try_emplace(call.key, call.at);
            const double age = call.at - first->second;
            if (fresh)
                record.note("partner: runs %s", call.id.c_str());
            else if (age <= window_ms + slack_ms)
                record.note("partner: drops a repeat of %s after %.0f ms", call.id.c_str(), age);
            else {
                record.note("partner: runs %s AGAIN, %.0f ms after its first call", call.id.c_str(), age);
                twice.push_back(call.id);
            }
            if (mood == Mood::silent) return Reply{200, 0, {}, Reply::How::silent};
            return Reply{200, 40, {}};
        });
        Endpoint other(record, "O", [](const Call&) { return Reply{200, 40, {}}; });
        const std::vector<Entry> known{{"s-1", address(partner.port()), destination},
                                       {"s-2", address(other.port()), other_destination}};
        Agent agent(record, 41, known);
        const auto port = free_port();
        const auto config = config_text({}, port, agent.port(), 41, known);
        auto process = std::make_unique<Dispatcher>(record, folder, port);
        process->write_config(config);
        process->start(agent.port(), free_port());
        // Five in six messages are for another partner, which is well.
        std::atomic<bool> stopping{false};
        std::thread traffic([&] {
            for (int i = 0; !stopping; ++i, sleep_ms(300))
                hand_in(record, port,
                        {"o" + std::to_string(i), "status-update", "", "", "here", other_destination, 16000});
        });
        struct Ends {
            std::atomic<bool>& stopping;
            std::thread& traffic;
            ~Ends() {
                stopping = true;
                traffic.join();
            }
        } ends{stopping, traffic};
        // The usual traffic opens the partner's window.
        for (int i = 0; i < 12; ++i) {
            hand_in(record, port,
                    {"w" + std::to_string(i), "ride-record", "kw" + std::to_string(i), "", "ride",
                     destination, deadline_ms});
            sleep_ms(150);
        }
        // The partner falls silent for 6 s, then refuses all for 11 s.
        mood = Mood::silent;
        const double begun = now_ms();
        const auto at = [&](double seconds) { sleep_ms(begun + seconds * 1000 - now_ms()); };
        int taken = 0;
        for (int i = 0; i < records; ++i)
            taken += hand_in(record, port,
                             {"r" + std::to_string(i), "ride-record", "kr" + std::to_string(i), "", "ride",
                              destination, deadline_ms}) == 202;
        if (taken < records) throw CannotRun("a ride record was not taken on");
        at(1);
        if (troubled()) {
            process->kill_outright();
            sleep_ms(600);
            process->start(agent.port(), free_port());
            at(3);
            record.note("dispatcher: `run` starts again beside the old process");
            auto next = std::make_unique<Dispatcher>(record, folder, port);
            next->start(agent.port(), free_port());
            at(6);
            mood = Mood::shut;
            at(9);
            process->end_as_planned();
            process = std::move(next);
            at(11);
            process->kill_outright();
            sleep_ms(600);
            process->start(agent.port(), free_port());
        } else {
            at(6);
            mood = Mood::shut;
        }
        at(17);
        mood = Mood::takes;
        record.note("partner: takes calls again");
        at(29);
        const std::lock_guard lock(mutex);
        record.note("%zu of %d ride records ran twice", twice.size(), records);
        return !twice.empty();
    });
}
