#include "telemetry/deflate.hpp"

#include <zlib.h>

#include <array>

namespace brasslift::telemetry {
namespace {

// An 8 KiB window and a small hash: 64 KiB of state instead of 256, a few percent more on the wire.
constexpr int window_bits = 13 + 16, memory_level = 6;

}  // namespace

struct Deflater::State {
    z_stream stream{};
    bool open = false;
    std::array<char, 16384> part;
};

Deflater::Deflater() : state_(std::make_unique<State>()) {}

Deflater::~Deflater() {
    if (state_->open) ::deflateEnd(&state_->stream);
}

bool Deflater::begin() {
    if (state_->open) return ::deflateReset(&state_->stream) == Z_OK;
    state_->open = ::deflateInit2(&state_->stream, Z_BEST_SPEED, Z_DEFLATED, window_bits, memory_level,
                                  Z_DEFAULT_STRATEGY) == Z_OK;
    return state_->open;
}

bool Deflater::add(std::string_view slice, bool last, std::string& out) {
    auto& stream = state_->stream;
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(slice.data()));
    stream.avail_in = static_cast<uInt>(slice.size());
    do {
        stream.next_out = reinterpret_cast<Bytef*>(state_->part.data());
        stream.avail_out = static_cast<uInt>(state_->part.size());
        const int result = ::deflate(&stream, last ? Z_FINISH : Z_NO_FLUSH);
        if (result != Z_OK && result != Z_STREAM_END && result != Z_BUF_ERROR) return false;
        out.append(state_->part.data(), state_->part.size() - stream.avail_out);
    } while (stream.avail_out == 0);
    return true;
}

}  // namespace brasslift::telemetry
