#pragma once

#include <LibHttp/ConnectionBudget.h>

#include <memory>
#include <utility>

namespace Http {

/// Counts one open connection in a budget until it is destroyed.
class ConnectionSlot
{
public:
    /// ConnectionBudget::tryOpen() must have succeeded for the connection.
    explicit ConnectionSlot(std::shared_ptr<ConnectionBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ConnectionSlot(ConnectionSlot &&) noexcept = default;
    ConnectionSlot &operator=(ConnectionSlot &&) = delete;
    ~ConnectionSlot()
    {
        if (m_budget)
            m_budget->onClosed();
    }

private:
    std::shared_ptr<ConnectionBudget> m_budget;
};

} // namespace Http
