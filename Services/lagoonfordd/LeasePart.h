#pragma once

#include "StoppablePart.h"

#include <LibLease/LeaseAction.h>

namespace Daemon {

/// Runs the lease manager and the membership manager of this failure domain.
class LeasePart final : public StoppablePart
{
public:
    explicit LeasePart(Node &node);

protected:
    boost::asio::awaitable<Core::Instant> step(Core::Instant now) override;
    boost::asio::awaitable<void> finish() override;

private:
    void perform(const Lease::LeaseAction &action);
    boost::asio::awaitable<void> append(Lease::LeaseRecord record);
    boost::asio::awaitable<void> ask(Lease::SendPromiseRequest action);
    void announce(Core::Instant now);

    std::string m_stream;
    bool m_wasHolder = false;
};

} // namespace Daemon
