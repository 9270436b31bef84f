#include <LibCore/StableHash.h>

#include <catch2/catch.hpp>

TEST_CASE("A stable hash is the same on every VM and in every release")
{
    CHECK(Core::stableHash("") == 0xef46db3751d8e999ULL);
    CHECK(Core::stableHash("worker-1") == Core::stableHash("worker-1"));
    CHECK(Core::stableHash("worker-1") != Core::stableHash("worker-2"));
}
