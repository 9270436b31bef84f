#pragma once

#include "EntryVmClient.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Load {

/// Chooses entry VMs round-robin and skips those whose health check fails, like the platform's load
/// balancer.
class Balancer
{
public:
    Balancer(const boost::asio::any_io_executor &executor,
             const std::vector<boost::asio::ip::tcp::endpoint> &entryVms);

    /// Polls the health checks of all entry VMs periodically until \p end.
    boost::asio::awaitable<void> watchHealth(Core::Instant end);

    /// Returns the next healthy entry VM; null if there is none.
    EntryVmClient *next();

private:
    struct EntryVm
    {
        std::unique_ptr<EntryVmClient> client;
        /// Separate from `client`, so that health checks don't wait for requests.
        std::unique_ptr<EntryVmClient> healthClient;
        bool isHealthy = true;
    };

    boost::asio::awaitable<void> watch(EntryVm &entryVm, Core::Instant end);
    boost::asio::awaitable<bool> isHealthy(EntryVm &entryVm);

    boost::asio::any_io_executor m_executor;
    std::vector<EntryVm> m_entryVms;
    std::size_t m_next = 0;
};

} // namespace Load
