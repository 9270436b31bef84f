#pragma once

#include <LibHttp/ConnectionBudget.h>

#include <memory>
#include <utility>

namespace Http {

/// The place of one open connection in a budget; destroying it gives the place back.
class ConnectionSlot
{
public:
    /// \p budget must have counted the connection by ConnectionBudget::tryOpen().
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
