// Gzip, a slice at a time: no batch holds the loop for long. One state for the exporter's life.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace brasslift::telemetry {

class Deflater {
public:
    Deflater();
    ~Deflater();
    Deflater(const Deflater&) = delete;
    Deflater& operator=(const Deflater&) = delete;

    // False: there is no memory for it, and the batch goes as it is.
    bool begin();
    // Appends to `out` what the slice gives; `last` ends the stream.
    bool add(std::string_view slice, bool last, std::string& out);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace brasslift::telemetry
