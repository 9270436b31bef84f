#pragma once

#include <LibHttp/DeadlineWatch.h>

#include <functional>
#include <memory>

namespace Http {

/// The deadline of one operation, which may be set and cleared any number of times.
class Deadline
{
public:
    /// \p onExpired is called each time that the deadline passes while it is set; it isn't set any
    /// more then.
    Deadline(std::shared_ptr<DeadlineWatch> watch, std::function<void()> onExpired);
    ~Deadline() { clear(); }
    Deadline(const Deadline &) = delete;
    Deadline &operator=(const Deadline &) = delete;

    void set(Core::Instant instant);
    void clear();

private:
    friend class DeadlineWatch;

    std::shared_ptr<DeadlineWatch> m_watch;
    std::function<void()> m_onExpired;
    bool m_isSet = false;
    /// Valid while the deadline is set.
    DeadlineWatch::Deadlines::iterator m_position;
    /// Kept while the deadline isn't set, so that setting it again allocates nothing.
    DeadlineWatch::Deadlines::node_type m_node;
};

} // namespace Http
