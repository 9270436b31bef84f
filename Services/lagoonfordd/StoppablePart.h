#pragma once

#include "Node.h"

#include <LibSupervision/Part.h>

#include <string>

namespace Daemon {

/// A part that repeats a step, and sleeps in between until it is woken or the step is due.
class StoppablePart : public Supervision::Part
{
public:
    StoppablePart(std::string name, Node &node, Supervision::Wakeup &wakeup);

    std::string name() const override { return m_name; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

protected:
    /// Prepares the part; called once at each start.
    virtual boost::asio::awaitable<void> begin();
    /// Does what is due. Returns when to call this again at the latest.
    virtual boost::asio::awaitable<Core::Instant> step(Core::Instant now) = 0;
    virtual boost::asio::awaitable<void> finish();

    Node &node() { return m_node; }
    bool isStopping() const { return m_isStopping; }

private:
    std::string m_name;
    Node &m_node;
    Supervision::Wakeup &m_wakeup;
    bool m_isStopping = false;
};

} // namespace Daemon
