#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace Supervision {

/// A component of the daemon that a Supervisor runs and restarts.
class Part
{
public:
    Part() = default;
    Part(const Part &) = delete;
    Part &operator=(const Part &) = delete;
    virtual ~Part() = default;

    virtual std::string name() const = 0;

    /// Works until `requestStop()`, then completes its operations in progress and returns. An
    /// exception counts as a failure. The supervisor then calls run() of the same object again, so
    /// run() has to initialize the state that it uses.
    virtual boost::asio::awaitable<void> run() = 0;

    /// Asks `run()` to return soon. May be called at any time, also while `run()` isn't active.
    virtual void requestStop() = 0;
};

} // namespace Supervision
