// What the process is for at the moment: the one value that the ready pages, the clients' connections,
// drains, signals and the hand-over read. No I/O; times are milliseconds of the steady clock.
#pragma once

#include <cstdint>

namespace brasslift::lifecycle {

enum class Phase : std::uint8_t { starting, ready, draining, handing_over, handed_over, stopping };

class Lifecycle {
public:
    Phase phase() const { return phase_; }
    // Whether clients may be sent here; also what operators hear.
    bool ready() const { return phase_ == Phase::ready; }
    // Whether answers tell clients to connect anew elsewhere.
    bool sends_away() const { return phase_ == Phase::draining || phase_ == Phase::stopping; }
    bool draining() const { return phase_ == Phase::draining; }
    double drained_ms(double now) const { return draining() ? now - since_ : 0; }

    // Each answers whether the process is in the state that was asked for, by this or from before.
    bool begin();
    bool drain(double now);
    bool undrain();
    bool hand_over();  // only what is ready or draining has anything to give
    void take_back();  // the other process did not take it: as before
    void handed_over();
    void stop();  // final

private:
    Phase phase_ = Phase::starting, before_ = Phase::starting;
    double since_ = 0;  // of the drain
};

// A client's connection, as a drain sees it.
struct ClientState {
    bool busy = false;     // its request is being answered
    bool started = false;  // some of a request has come
    bool served = false;   // it has had an answer
    double idle_ms = 0;
};

// Whether a drain that has lasted for so long closes it now. Closed too early, a request that crosses the
// close is handed in again; by 4 s none may be left that is idle.
bool closes_in_drain(const ClientState& client, double drained_ms);

}  // namespace brasslift::lifecycle
