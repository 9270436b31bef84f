#pragma once

#include <LibSupervision/Part.h>
#include <LibSupervision/RestartPolicy.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Supervision {

/// Runs parts, restarts those that fail, and stops all of them in reverse order. A supervisor is a
/// part itself, so supervisors form a tree. When a part exceeds the restart limits, its supervisor
/// stops the other parts and fails in turn.
class Supervisor final : public Part
{
public:
    using Report = std::function<void(const std::string &part, const std::string &event)>;

    /// \p report is called for each start, failure and end of a part; meant for logging.
    Supervisor(std::string name, boost::asio::any_io_executor executor, const RestartLimits &limits,
               Report report);
    ~Supervisor() override;

    /// Adds a part, which must outlive the supervisor's run. Parts start in the order in which they
    /// were added.
    void add(Part &part);

    std::string name() const override { return m_name; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

private:
    struct Child;

    boost::asio::awaitable<void> runChild(Child &child);
    /// Runs the part once. Returns false if it failed.
    boost::asio::awaitable<bool> runOnce(Child &child);
    boost::asio::awaitable<void> waitUntil(Core::Instant instant);
    boost::asio::awaitable<void> stopChildren();

    std::string m_name;
    boost::asio::any_io_executor m_executor;
    RestartLimits m_limits;
    Report m_report;
    std::vector<std::unique_ptr<Child>> m_children;
    /// Cancelled when a stop is requested, or when a child ends or exceeds the restart limits.
    boost::asio::steady_timer m_changed;
    bool m_isStopping = false;
    /// The name of the part that exceeded the restart limits; empty if none has.
    std::string m_failedPart;
};

} // namespace Supervision
