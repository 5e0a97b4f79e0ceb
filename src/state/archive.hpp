// Values as bytes and back: what one process of a dispatcher gives to the next. Aggregates travel field by
// field, by reflection, so that no list of fields can lag behind them; other types say what they hold with
// `serialize`. For processes on one machine that were built from one source: bytes have the machine's order.
#pragma once

#include <boost/pfr.hpp>
#include <cereal/archives/binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/tuple.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <type_traits>

namespace cereal {

template <class Archive, class T>
requires std::is_aggregate_v<T>
void serialize(Archive& archive, T& value) {
    boost::pfr::for_each_field(value, [&archive](auto& field) { archive(field); });
}

}  // namespace cereal

namespace brasslift::state {

template <class T>
std::string pack(const T& value) {
    std::ostringstream out(std::ios::binary);
    cereal::BinaryOutputArchive archive(out);
    archive(value);
    return std::move(out).str();
}

// False where the bytes are not such a value, whole; `into` may hold part of it then.
template <class T>
bool unpack(T& into, const std::string& bytes) {
    try {
        std::istringstream in(bytes, std::ios::binary);
        cereal::BinaryInputArchive archive(in);
        archive(into);
        return in.peek() == std::char_traits<char>::eof();
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace brasslift::state
