#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <catch2/catch.hpp>

using Core::Json::checkLimits;

static std::string repeat(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

// Guards against texts of legal size that take many times their size once they are decoded.
TEST_CASE("Texts beyond the limits are refused before they are decoded")
{
    CHECK_THROWS_AS(checkLimits("[" + repeat("1,", 120'000) + "1]", "test"), Core::FormatError);
    CHECK_THROWS_AS(checkLimits("[" + repeat("[],", 80'000) + "1]", "test"), Core::FormatError);
    CHECK_THROWS_AS(checkLimits("{" + repeat("\"a\":1,", 40'000) + "\"b\":1}", "test"),
                    Core::FormatError);
    CHECK_THROWS_AS(checkLimits(repeat("[", 40), "test"), Core::FormatError);
    CHECK_THROWS_AS(checkLimits("[" + std::string(100'000, '9') + "]", "test"), Core::FormatError);
    // An escaped quotation mark doesn't end a string.
    CHECK_THROWS_AS(checkLimits(R"(["\\", [[[[[[[[[[[[[[[[[)", "test"), Core::FormatError);
    CHECK_THROWS_AS(checkLimits(R"({"\"":[[[[[[[[[[[[[[[[[)", "test"), Core::FormatError);
}

// Guards against refusing legitimate texts because of what their strings contain.
TEST_CASE("Texts within the limits pass")
{
    CHECK_NOTHROW(checkLimits("{\"spec\":\"" + repeat("[{,9", 50'000) + "\"}", "test"));
    CHECK_NOTHROW(checkLimits("{\"spec\":\"" + repeat("\\\"[", 50'000) + "\"}", "test"));
    CHECK_NOTHROW(checkLimits("[" + repeat("[1],", 5'000) + "-1.7976931348623157e+308]", "test"));
    CHECK_NOTHROW(checkLimits("", "test"));
    CHECK_NOTHROW(checkLimits("]]]]", "test"));
}
