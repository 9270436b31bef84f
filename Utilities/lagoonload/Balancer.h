#pragma once

#include "DoorClient.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Load {

/// Chooses doors in turn and skips those whose health page isn't 200, as the platform's balancer
/// does.
class Balancer
{
public:
    Balancer(const boost::asio::any_io_executor &executor,
             const std::vector<boost::asio::ip::tcp::endpoint> &doors);

    /// Polls all health pages again and again. Runs until \p end.
    boost::asio::awaitable<void> watchHealth(Core::Instant end);

    /// The next healthy door; null if there is none.
    DoorClient *next();

private:
    struct Door
    {
        std::unique_ptr<DoorClient> client;
        /// Polled apart from the requests, so that they don't wait for each other.
        std::unique_ptr<DoorClient> healthClient;
        bool isHealthy = true;
    };

    boost::asio::awaitable<void> watch(Door &door, Core::Instant end);
    boost::asio::awaitable<bool> isHealthy(Door &door);

    boost::asio::any_io_executor m_executor;
    std::vector<Door> m_doors;
    std::size_t m_next = 0;
};

} // namespace Load
