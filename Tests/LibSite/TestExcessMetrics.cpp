#include <LibSite/OwnerDecisionLog.h>

#include <catch2/catch.hpp>

#include <string>

using namespace Site;

static bool hasLine(const std::string &text, const std::string &line)
{
    return text.find(line + '\n') != std::string::npos;
}

TEST_CASE("Jobs in excess are counted by customer, for a bounded number of customers")
{
    // Guards against one series for each of any number of customers, and against an owner that has
    // been replaced and still counts.
    constexpr int customers = 600;
    SiteMetrics metrics;
    OwnerDecisionLog log(metrics);
    for (int i = 0; i < customers; ++i)
        log.noteJobInExcess(Jobs::JobId("job"), Core::CustomerId("c" + std::to_string(i)));
    log.noteJobInExcess(Jobs::JobId("job"), Core::CustomerId("c511"));
    log.close();
    log.noteJobInExcess(Jobs::JobId("job"), Core::CustomerId("c511"));

    const std::string text = metrics.text();
    const std::string name = "lagoonford_customer_jobs_in_excess_total";
    CHECK(hasLine(text, name + "{customer=\"c0\"} 1"));
    CHECK(hasLine(text, name + "{customer=\"c511\"} 2"));
    CHECK(hasLine(text, name + "{customer=\"other\"} 88"));
    CHECK(text.find("\"c512\"") == std::string::npos);
}
