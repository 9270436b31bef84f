#include <LibHttp/MemoryBudget.h>

#include <algorithm>
#include <utility>

namespace Http {

void MemoryBudget::add(std::size_t bytes)
{
    m_heldBytes += bytes;
    m_peakBytes = std::max(m_peakBytes, m_heldBytes);
}

bool MemoryBudget::makeRoom(const Connection &requester, Core::Instant now)
{
    while (m_heldBytes > m_maxBytes) {
        Connection *longest = nullptr;
        for (const Group *group : m_groups) {
            if (group->m_transferring.empty())
                continue;
            Connection *first = group->m_transferring.front();
            if (!longest || first->m_lastProgress < longest->m_lastProgress)
                longest = first;
        }
        if (!longest || longest == &requester || !longest->isStalled(now)) {
            ++m_shortages;
            return false;
        }
        longest->close();
    }
    return true;
}

MemoryBudget::Group::Group(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
    m_budget->m_groups.insert(this);
}

MemoryBudget::Group::~Group()
{
    m_budget->m_groups.erase(this);
}

bool MemoryBudget::Group::closeLongestStalled(Core::Instant now)
{
    Connection *longest = nullptr;
    for (const std::list<Connection *> *order : { &m_transferring, &m_idle }) {
        if (order->empty())
            continue;
        Connection *first = order->front();
        if (!longest || first->m_lastProgress < longest->m_lastProgress)
            longest = first;
    }
    if (!longest || !longest->isStalled(now))
        return false;
    longest->close();
    return true;
}

MemoryBudget::Connection::Connection(std::shared_ptr<Group> group, std::function<void()> onClose,
                                     Core::Instant now)
    : m_group(std::move(group))
    , m_onClose(std::move(onClose))
    , m_lastProgress(now)
    , m_order(&m_group->m_idle)
    , m_position(m_order->insert(m_order->end(), this))
{
    ++m_group->m_openConnections;
}

MemoryBudget::Connection::~Connection()
{
    leaveOrder();
    m_group->m_budget->m_heldBytes -= m_heldBytes;
    if (!m_isClosed)
        --m_group->m_openConnections;
}

void MemoryBudget::Connection::leaveOrder()
{
    if (!m_isClosed)
        m_order->erase(m_position);
}

void MemoryBudget::Connection::enterOrder(std::list<Connection *> &order, Core::Instant now)
{
    if (m_isClosed)
        return;
    m_lastProgress = now;
    order.splice(order.end(), *m_order, m_position);
    m_order = &order;
}

void MemoryBudget::Connection::becomeIdle(Core::Instant now)
{
    m_group->m_budget->m_heldBytes -= std::exchange(m_heldBytes, 0);
    m_bytesAtProgress = 0;
    enterOrder(m_group->m_idle, now);
}

void MemoryBudget::Connection::beginTransfer(Core::Instant now)
{
    m_bytesAtProgress = 0;
    enterOrder(m_group->m_transferring, now);
}

void MemoryBudget::Connection::beginAnswer(Core::Instant now)
{
    enterOrder(m_group->m_answering, now);
}

bool MemoryBudget::Connection::hold(std::size_t bytes, std::size_t transferredBytes,
                                    Core::Instant now)
{
    if (m_isClosed)
        return false;
    MemoryBudget &budget = *m_group->m_budget;
    budget.m_heldBytes -= std::exchange(m_heldBytes, bytes);
    budget.add(bytes);
    if (transferredBytes >= m_bytesAtProgress + progressBytes) {
        m_bytesAtProgress = transferredBytes;
        m_lastProgress = now;
        m_order->splice(m_order->end(), *m_order, m_position);
    }
    return budget.makeRoom(*this, now);
}

void MemoryBudget::Connection::close()
{
    leaveOrder();
    m_isClosed = true;
    --m_group->m_openConnections;
    // The owner frees the bytes in its next turn. Counting them until then would close others.
    m_group->m_budget->m_heldBytes -= std::exchange(m_heldBytes, 0);
    ++m_group->m_budget->m_closedConnections;
    m_onClose();
}

} // namespace Http
