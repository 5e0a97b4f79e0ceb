// What a request's target says beside its path.
#include "http/target.hpp"

#include <gtest/gtest.h>

namespace brasslift::test {
namespace {

using http::Parameter;
using http::parameter_of;

TEST(Target, FindsAParameterAndDecodesIt) {
    EXPECT_EQ(parameter_of("/a?key=7f3a", "key").value, "7f3a");
    EXPECT_EQ(parameter_of("/a?b=1&key=x%2Dy+z&c", "key").value, "x-y z");
    EXPECT_EQ(parameter_of("/a?k%65y=1", "key").value, "1");
    EXPECT_EQ(parameter_of("/a?key", "key").value, "");
    EXPECT_EQ(parameter_of("/a?key=1=2#key=3", "key").value, "1=2");
    EXPECT_EQ(http::path_of("/a/b?key=1"), "/a/b");
}

TEST(Target, HasNoValueWhereThereIsNone) {
    for (const char* const target : {"/a", "/a?", "/a?keys=1", "/a?&&", "/key=1"}) {
        const auto found = parameter_of(target, "key");
        EXPECT_EQ(found.value, std::nullopt) << target;
        EXPECT_EQ(found.fault, Parameter::Fault::none) << target;
    }
}

TEST(Target, TellsWhatIsRepeatedOrCannotBeDecoded) {
    EXPECT_EQ(parameter_of("/a?key=1&key=1", "key").fault, Parameter::Fault::repeated);
    for (const char* const target : {"/a?key=%", "/a?key=%4", "/a?key=%4g", "/a?key=%zz"})
        EXPECT_EQ(parameter_of(target, "key").fault, Parameter::Fault::malformed) << target;
}

}  // namespace
}  // namespace brasslift::test
