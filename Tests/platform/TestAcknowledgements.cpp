#include "RestartingWorkerFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace {

constexpr std::int64_t acknowledged = 12;

using Renewals = std::vector<RestartingWorker::Renewal>;

Jobs::RenewCommand renewal(std::int64_t acknowledgedEnd, std::int64_t processStartUnixMs)
{
    Jobs::RenewCommand command;
    command.acknowledgedEnd = acknowledgedEnd;
    command.processStartUnixMs = processStartUnixMs;
    return command;
}

struct OneWorker : RestartingWorkerFixture
{
    Jobs::WorkerReport renew(std::int64_t acknowledgedEnd, std::int64_t processStartUnixMs)
    {
        reportFor(renewal(acknowledgedEnd, processStartUnixMs));
        REQUIRE(lastReport);
        return *lastReport;
    }
    bool hasWithheld(int count) const
    {
        const std::string line
            = "lagoonford_acknowledgements_withheld_total " + std::to_string(count) + '\n';
        return metrics.text().find(line) != std::string::npos;
    }
};

} // namespace

// Guards against TWICE: the next process under the worker's ID numbers its ends from 1 again, and
// forgets unreported ones if it gets the former one's acknowledgement.
TEST_CASE("Only the process of a worker that has reported ends gets their acknowledgement")
{
    OneWorker site;
    const std::int64_t former = site.worker.processStartUnixMs();

    SECTION("it gets them while it lives")
    {
        site.renew(0, 0);
        CHECK(site.renew(acknowledged, former).acknowledgedEnd == acknowledged);
        CHECK(site.worker.renewals() == Renewals { { former, 0 }, { former, acknowledged } });
        CHECK(site.hasWithheld(0));
    }
    SECTION("nobody has reported yet")
    {
        CHECK(site.renew(acknowledged, former).acknowledgedEnd == 0);
        CHECK(site.worker.renewals() == Renewals { { former, 0 } });
    }
    SECTION("its next process has reported meanwhile")
    {
        site.renew(0, 0);
        site.worker.restart();
        site.renew(0, former);
        CHECK(site.renew(acknowledged, former).acknowledgedEnd == 0);
        CHECK(site.worker.renewals().back() == RestartingWorker::Renewal { former + 1, 0 });
    }
    SECTION("it has ended since its report")
    {
        site.renew(0, 0);
        site.worker.restart();
        const Jobs::WorkerReport report = site.renew(acknowledged, former);
        CHECK(report.processStartUnixMs == former + 1);
        CHECK(report.acknowledgedEnd == 0);
        CHECK(site.worker.renewals() == Renewals { { former, 0 }, { former + 1, 0 } });
        CHECK(site.hasWithheld(1));
    }
    SECTION("it ends while the renewal is under way")
    {
        site.renew(0, 0);
        site.worker.restartOnNextCall();
        const Jobs::WorkerReport report = site.renew(acknowledged, former);
        CHECK(report.processStartUnixMs == former + 1);
        CHECK(report.acknowledgedEnd == 0);
        CHECK(site.worker.renewals()
              == Renewals { { former, 0 }, { former, acknowledged }, { former + 1, 0 } });
    }
    SECTION("its connection is in use, so that the renewal opens another one")
    {
        site.renew(0, 0);
        site.worker.holdNextRenewal();
        site.beginRenewal(renewal(0, former));
        while (site.worker.renewals().size() < 2)
            site.context.run_for(std::chrono::milliseconds(1));
        site.beginRenewal(renewal(acknowledged, former));
        site.finishRenewals(1);
        CHECK(site.lastReport->acknowledgedEnd == 0);
        site.worker.answerHeld();
        site.finishRenewals();
        CHECK(site.renew(acknowledged, former).acknowledgedEnd == acknowledged);
    }
}
