#pragma once

#include "Node.h"

#include <LibSupervision/Part.h>

#include <string>

namespace Daemon {

/// A part that repeats a step, sleeping in between until it is woken or the step's next time has
/// come.
class StoppablePart : public Supervision::Part
{
public:
    StoppablePart(std::string name, Node &node, Supervision::Wakeup &wakeup);

    std::string name() const override { return m_name; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

protected:
    /// Sets up the part; called once at each start.
    virtual boost::asio::awaitable<void> begin();
    /// Does what is due and returns when to be called again at the latest.
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
