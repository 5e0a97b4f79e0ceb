#include "settings_text.hpp"

#include <gtest/gtest.h>

namespace brasslift::wire {
namespace {

const std::string good =
    "specifics.workers=17\nbounds.most_held=210\nbounds.send_cap=12\ninstances=2\ntick_ms=5.0\ndiscovery="
    "ask\n"
    "request_classes.count=1\nrequest_classes.0.deadline_ms=100\nrequest_classes.0.objective_ms=10\n"
    "request_classes.0.importance=1\nrequest_classes.0.idempotency=token\nrequest_classes.0.key_ttl_ms=50\n"
    "request_classes.0.dedup_scope=all\n";

std::string fault_of(const std::string& text) {
    try {
        read_settings(text);
    } catch (const BadSettings& fault) {
        return fault.what();
    }
    return "";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(SettingsText, ReadsWhatIsThereAndIgnoresUnknownKeys) {
    const auto s = read_settings(good +
                                 "some.new.key=1\nspecifics.kind_apart=false,true\n"
                                 "specifics.batch_by_kind=1,4\nreport.fields=x0,x1\n");
    EXPECT_EQ(s.slots, 17);
    EXPECT_TRUE(s.list_by_ask);
    ASSERT_EQ(s.kinds.size(), 2u);
    EXPECT_TRUE(s.kinds[1].routes_apart);
    EXPECT_EQ(s.kinds[1].batch, 4);
    EXPECT_EQ(s.report_limit, 1);
    EXPECT_EQ(s.classes[0].window_ms, 50);
}

TEST(SettingsText, NamesTheKeyThatIsMissing) {
    EXPECT_EQ(fault_of(replaced(good, "specifics.workers=17\n", "")), "specifics.workers: missing");
}

TEST(SettingsText, NamesTheKeyThatIsNoNumber) {
    EXPECT_EQ(fault_of(replaced(good, "most_held=210", "most_held=lots")), "bounds.most_held: not a number");
    EXPECT_EQ(fault_of(replaced(good, "tick_ms=5.0", "tick_ms=nan")), "tick_ms: not a number");
}

TEST(SettingsText, NoSlotsAndNoClassesAreOutOfRange) {
    EXPECT_EQ(fault_of(replaced(good, "workers=17", "workers=0")), "specifics.workers: out of range");
    EXPECT_EQ(fault_of(replaced(good, "classes.count=1", "classes.count=0")),
              "request_classes.count: out of range");
}

TEST(SettingsText, UnknownWordsAreNamed) {
    EXPECT_EQ(fault_of(replaced(good, "=token", "=maybe")),
              "request_classes.0.idempotency: unknown value maybe");
}

}  // namespace
}  // namespace brasslift::wire
