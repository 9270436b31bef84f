#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace Supervision {

/// One part of the daemon, run and restarted by a Supervisor.
class Part
{
public:
    Part() = default;
    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;
    virtual ~Part() = default;

    virtual std::string name() const = 0;

    /// Works until `requestStop()`, then finishes what is in progress and returns. An exception is
    /// a failure; the part is then run again on the same object, so it must set up its state anew
    /// here.
    virtual boost::asio::awaitable<void> run() = 0;

    /// Asks `run()` to return soon. May be called at any time, also when it isn't running.
    virtual void requestStop() = 0;
};

} // namespace Supervision
