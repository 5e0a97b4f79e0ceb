#include "codec.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstring>

namespace brasslift::wire {
namespace {

template <class T>
void put(std::string& bytes, std::size_t at, T value) {
    std::memcpy(bytes.data() + at, &value, sizeof value);
}

std::string header(std::uint32_t length, std::uint32_t records, double now = 5) {
    std::string bytes(batch_header_size, '\0');
    put(bytes, 0, std::uint32_t{9});
    put(bytes, 4, now);
    put(bytes, 12, length);
    put(bytes, 16, records);
    return bytes;
}

std::string record(std::uint16_t code, std::uint16_t instance = 3) {
    std::string bytes(event_size, '\0');
    put(bytes, 0, code);
    put(bytes, 2, instance);
    return bytes;
}

Record read(const std::string& body, std::size_t index = 0) {
    Lists lists;
    const auto head = read_header(header(static_cast<std::uint32_t>(body.size()), 1));
    check_body(head, body);
    return read_record(head, body, index, lists);
}

std::string fault_of(const std::string& body) {
    try {
        read(body);
    } catch (const Malformed& fault) {
        return fault.what();
    }
    return "";
}

TEST(Codec, ReadsAnArrival) {
    auto bytes = record(1020);
    put(bytes, 4, std::uint64_t{77});
    put(bytes, 12, std::uint16_t{1});
    put(bytes, 14, std::uint16_t{2});
    put(bytes, 16, std::uint64_t{5});
    put(bytes, 24, 1000.5);
    put(bytes, 40, 57.0f);
    const auto got = read(bytes);
    EXPECT_EQ(got.instance, 3);
    const auto arrival = std::get<Arrival>(std::get<Event>(got.what));
    EXPECT_EQ(arrival.id, 77u);
    EXPECT_EQ(arrival.message_class, 1);
    EXPECT_EQ(arrival.tenant, 2);
    EXPECT_EQ(arrival.key, 5u);
    EXPECT_EQ(arrival.due, 1000.5);
    EXPECT_EQ(arrival.destination, 57);
}

TEST(Codec, ReadsAnOutcomeWithWaitAndReport) {
    auto bytes = record(1040);
    put(bytes, 4, std::uint64_t{77});
    put(bytes, 12, 18.5);
    put(bytes, 26, std::uint8_t{2});
    put(bytes, 28, std::uint32_t{400});
    put(bytes, 32, std::uint8_t{254});
    put(bytes, 33, std::uint8_t{2});
    put(bytes, 34, 0.25f);
    put(bytes, 38, 8.0f);
    const auto got = read(bytes);
    const auto outcome = std::get<Outcome>(std::get<Event>(got.what));
    EXPECT_EQ(outcome.attempt, 2);
    EXPECT_EQ(outcome.result, Result::full);
    EXPECT_EQ(outcome.wait_ms, 400);
    EXPECT_EQ(outcome.report, (Report{0.25, 8.0}));
}

TEST(Codec, WritesAnAttempt) {
    Reply reply;
    reply.add(3, Attempt{77, {0x01020304, 80}, 12.5});
    const auto bytes = reply.frame(9);
    ASSERT_EQ(bytes.size(), reply_header_size + action_size);
    std::uint16_t code = 0;
    std::memcpy(&code, bytes.data() + reply_header_size, 2);
    EXPECT_EQ(code, 1050);
    double expires = 0;
    std::memcpy(&expires, bytes.data() + reply_header_size + 18, 8);
    EXPECT_EQ(expires, 12.5);
}

TEST(Codec, WritesAClose) {
    Reply reply;
    reply.add(3, Close{{0x01020304, 80}});
    const auto bytes = reply.frame(9);
    ASSERT_EQ(bytes.size(), reply_header_size + action_size);
    std::uint16_t code = 0, port = 0;
    std::memcpy(&code, bytes.data() + reply_header_size, 2);
    std::memcpy(&port, bytes.data() + reply_header_size + 8, 2);
    EXPECT_EQ(code, 1100);
    EXPECT_EQ(port, 80);
}

TEST(Codec, HeaderCutShort) { EXPECT_THROW(read_header("abc"), Malformed); }
TEST(Codec, MoreRecordsThanLength) { EXPECT_THROW(read_header(header(10, 1)), Malformed); }
TEST(Codec, ClockNotANumber) { EXPECT_THROW(read_header(header(0, 0, NAN)), Malformed); }

TEST(Codec, BodyCutShort) {
    const auto head = read_header(header(112, 2));
    EXPECT_THROW(check_body(head, record(1020)), Malformed);
}

TEST(Codec, UnknownCodeNamesBatchRecordAndField) {
    EXPECT_EQ(fault_of(record(999)), "batch 9, record 0, field code: unknown event 999");
}

TEST(Codec, SettingsPastTheTail) {
    auto bytes = record(1000);
    put(bytes, 12, std::uint32_t{4});
    put(bytes, 16, std::uint32_t{8});
    bytes += "1234567";
    EXPECT_NE(fault_of(bytes).find("field conf"), std::string::npos);
}

TEST(Codec, ListLengthThatOverflows) {
    auto bytes = record(1100);
    put(bytes, 3, std::uint32_t{0});
    put(bytes, 7, std::uint32_t{0xffffffff});
    EXPECT_NE(fault_of(bytes).find("field lines"), std::string::npos);
}

TEST(Codec, UnknownEnding) {
    auto bytes = record(1040);
    put(bytes, 32, std::uint8_t{7});
    EXPECT_NE(fault_of(bytes).find("field ending"), std::string::npos);
}

TEST(Codec, ListNumberOutOfRange) {
    auto bytes = record(1010);
    put(bytes, 5, std::uint8_t{16});
    EXPECT_NE(fault_of(bytes).find("field slot"), std::string::npos);
}

TEST(Codec, DestinationThatIsNoNumber) {
    auto bytes = record(1020);
    put(bytes, 40, NAN);
    EXPECT_NE(fault_of(bytes).find("field called_node"), std::string::npos);
}

}  // namespace
}  // namespace brasslift::wire
