#include <LibHttp/Deadline.h>

#include <utility>

namespace Http {

Deadline::Deadline(std::shared_ptr<DeadlineWatch> watch, std::function<void()> onExpired)
    : m_watch(std::move(watch))
    , m_onExpired(std::move(onExpired))
{
}

void Deadline::set(Core::Instant instant)
{
    clear();
    if (m_node) {
        m_node.key() = instant;
        m_position = m_watch->m_deadlines.insert(std::move(m_node));
    } else {
        m_position = m_watch->m_deadlines.emplace(instant, this);
    }
    m_isSet = true;
    m_watch->setTimerFor(instant);
}

void Deadline::clear()
{
    if (!std::exchange(m_isSet, false))
        return;
    m_node = m_watch->m_deadlines.extract(m_position);
}

} // namespace Http
