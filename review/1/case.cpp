// After a restart while discovery is down, messages go to an endpoint that has left their destination.
#include "rig.hpp"

using namespace review;

namespace {

constexpr int own = 7, other = 8, others_from = 1000;

}  // namespace

int main(int count, char** words) {
    return run_case(count, words, [](Record& record) {
        const char* const size = std::getenv("LISTED");
        const int listed = size == nullptr ? 1100 : std::atoi(size);
        Folder folder;
        const auto takes = [](const Call&) { return Reply{200, 20}; };
        // `moved` stands at the address that destination 7 had, and is destination 8's from version 42 on.
        Endpoint moved(record, "A", takes), stays(record, "B", takes);
        std::vector<Entry> known{{"s-old", address(moved.port()), own},
                                 {"s-stays", address(stays.port()), own}};
        // Partners that get nothing in this case.
        for (int i = 0; i < listed - 2; ++i)
            known.push_back(
                {"s-idle-" + std::to_string(i),
                 "127.0.0." + std::to_string(2 + i / 1000) + ":" + std::to_string(20000 + i % 1000),
                 others_from + i / 2});
        Agent agent(record, 41, known);
        Dispatcher dispatcher(record, folder, free_port());
        dispatcher.write_config(config_text({}, dispatcher.port(), agent.port(), 41, known));
        dispatcher.start(agent.port());
        sleep_ms(500);
        agent.change(
            {{"s-old", address(moved.port()), own, "Gone"}, {"s-new", address(moved.port()), other}});
        for (const double until = now_ms() + 6000; agent.written().first < 42 && now_ms() < until;)
            sleep_ms(10);
        if (agent.written().first < 42) throw CannotRun("version 42 was not asked for");
        const double told = agent.written().second;
        sleep_ms(4000);
        if (troubled()) {
            agent.set_down(true);
            dispatcher.kill_outright();
            sleep_ms(600);
            dispatcher.start(agent.port());
        }
        int taken = 0;
        for (int i = 0; i < 20; ++i) {
            Message m{"m" + std::to_string(i), "payment", "", "", "fee", own};
            taken += hand_in(record, dispatcher.port(), m) == 202 ? 1 : 0;
            sleep_ms(100);
        }
        sleep_ms(3000);
        if (troubled()) agent.set_down(false);
        sleep_ms(1000);
        const auto foreign = moved.calls();
        record.note(
            "%d of 20 messages for destination %d were taken on; %zu went to A, which is "
            "destination %d's since %.1f s, %zu to B",
            taken, own, foreign.size(), other, (now_ms() - told) / 1000, stays.calls().size());
        if (taken == 0) throw CannotRun("no message was taken on");
        return !foreign.empty();
    });
}
