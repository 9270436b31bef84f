#include "LoopbackWorkers.h"
#include "PlatformWorkerClient.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <optional>

namespace asio = boost::asio;

namespace {

constexpr std::size_t connections = 16;
constexpr Core::Duration callTime = std::chrono::seconds(2);
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned serviceUnavailable = 503;

/// What the caller of the client learns of a command.
enum class Result {
    Confirmed,
    OtherIncarnation,
    OtherFailure,
};

struct OneWorker
{
    asio::io_context context;
    LoopbackWorkers workers { context };
    Site::SiteMetrics metrics;
    Adapter::PlatformWorkerClient client { context.get_executor(), connections, metrics };

    template<typename Call>
    Result resultOf(Call call)
    {
        std::optional<Result> result;
        asio::co_spawn(
            context, std::move(call),
            [&](const std::exception_ptr &failure, auto &&...) { result = resultOf(failure); });
        for (int i = 0; i < 500 && !result; ++i)
            context.run_for(std::chrono::milliseconds(10));
        REQUIRE(result);
        return *result;
    }
    static Result resultOf(const std::exception_ptr &failure)
    {
        try {
            if (failure)
                std::rethrow_exception(failure);
            return Result::Confirmed;
        } catch (const Site::OtherIncarnationError &) {
            return Result::OtherIncarnation;
        } catch (const Core::Error &) {
            return Result::OtherFailure;
        }
    }
    Result renew()
    {
        Jobs::RenewCommand command;
        command.address = workers.address(0);
        return resultOf(client.renew(std::move(command), Core::steadyNow() + callTime));
    }
    Result stop()
    {
        Jobs::StopCommand command;
        command.address = workers.address(0);
        return resultOf(client.stop(std::move(command), Core::steadyNow() + callTime));
    }
};

} // namespace

TEST_CASE("A worker's client tells another incarnation's answer from other failures")
{
    OneWorker site;

    SECTION("when the intended incarnation answers")
    {
        CHECK(site.renew() == Result::Confirmed);
        CHECK(site.stop() == Result::Confirmed);
    }
    SECTION("when another one answers")
    {
        site.workers.answerWithStatus(misdirectedRequest);
        CHECK(site.renew() == Result::OtherIncarnation);
        CHECK(site.stop() == Result::OtherIncarnation);
    }
    SECTION("when the worker can't answer now")
    {
        site.workers.answerWithStatus(serviceUnavailable);
        CHECK(site.renew() == Result::OtherFailure);
        CHECK(site.stop() == Result::OtherFailure);
    }
}
