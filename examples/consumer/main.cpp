// A sender with one destination: one message comes in, the library says to call the endpoint.
#include <brasslift/sender.hpp>
#include <cstdio>

int main() {
    brasslift::Settings settings;
    settings.slots = 4;
    settings.max_held = 100;
    settings.max_attempts = 5;
    settings.tick_ms = 5;
    settings.classes = {
        {.deadline_ms = 30000, .aim_ms = 3000, .worth = 1, .repeat = brasslift::Repeat::pure}};
    brasslift::Sender sender(settings, 42);

    const brasslift::EndpointId endpoint{0x0a000001, 443};
    const brasslift::Listing listing{.endpoint = endpoint, .destination = 7};
    std::vector<brasslift::Action> actions;
    sender.handle(0, brasslift::ListUpdate{.whole = true, .entries = {&listing, 1}}, actions);
    sender.handle(1, brasslift::Arrival{.id = 1, .due = 30001, .destination = 7}, actions);

    for (const auto& action : actions) {
        if (const auto* const attempt = std::get_if<brasslift::Attempt>(&action)) {
            std::printf("call for message %llu\n", static_cast<unsigned long long>(attempt->id));
            return 0;
        }
    }
    return 1;
}
