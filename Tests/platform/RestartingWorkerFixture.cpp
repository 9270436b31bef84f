#include "RestartingWorkerFixture.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <utility>

void RestartingWorkerFixture::beginRenewal(Jobs::RenewCommand command)
{
    command.address = worker.address();
    ++renewalsUnderWay;
    boost::asio::co_spawn(context, client.renew(std::move(command), Core::steadyNow() + callTime),
                          [this](const std::exception_ptr &failure, Jobs::WorkerReport report) {
                              --renewalsUnderWay;
                              if (!failure)
                                  lastReport = std::move(report);
                          });
}

void RestartingWorkerFixture::finishRenewals(int except)
{
    for (int i = 0; i < 500 && renewalsUnderWay > except; ++i)
        context.run_for(std::chrono::milliseconds(10));
    REQUIRE(renewalsUnderWay == except);
}

std::optional<Jobs::WorkerReport> RestartingWorkerFixture::reportFor(Jobs::RenewCommand command)
{
    lastReport.reset();
    beginRenewal(std::move(command));
    finishRenewals();
    return lastReport;
}
