#pragma once

#include <LibCore/SteadyClock.h>

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <future>

namespace StandIn {

/// Runs \p context until \p operation has completed, and returns its result or throws its
/// exception.
template<typename Result>
Result await(boost::asio::io_context &context, boost::asio::awaitable<Result> operation)
{
    auto result = boost::asio::co_spawn(context, std::move(operation), boost::asio::use_future);
    context.restart();
    while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        context.run_one();
    return result.get();
}

/// A deadline for exchanges on the loopback interface that are expected to succeed.
inline Core::Instant amply()
{
    return Core::steadyNow() + std::chrono::seconds(20);
}

/// A deadline for exchanges that are expected to fail.
inline Core::Instant soon()
{
    return Core::steadyNow() + std::chrono::milliseconds(40);
}

} // namespace StandIn
