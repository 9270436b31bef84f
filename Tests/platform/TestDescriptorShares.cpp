#include "DescriptorShares.h"

#include <catch2/catch.hpp>

using Adapter::DescriptorShares;

TEST_CASE("The parts of the descriptors are together never more than the whole")
{
    const std::size_t descriptors
        = GENERATE(as<std::size_t>(), DescriptorShares::minDescriptors, 1025, 2048, 4100, 8192,
                   65'536, DescriptorShares::maxDescriptors);
    const DescriptorShares shares = DescriptorShares::divide(descriptors);
    CHECK(shares.total() == descriptors);
    CHECK(shares.files >= 200);
    CHECK(shares.storeConnections >= 512);
    CHECK(shares.readinessConnections > 0);
    CHECK(shares.metricsConnections > 0);
    CHECK(shares.callerConnections > 0);
    CHECK(shares.callerConnections <= 2000);
    CHECK(shares.workerConnections > 0);
}

TEST_CASE("The weakest VM has two connections for each of 1,100 workers, and 900 for callers")
{
    const DescriptorShares shares = DescriptorShares::divide(4100);
    CHECK(shares.workerConnections >= 2 * 1100);
    CHECK(shares.callerConnections >= 900);
}
