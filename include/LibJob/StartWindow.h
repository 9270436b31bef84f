#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Jobs {

/// Bounds how many runs are planned or being started at once by what the owner's process bears.
///
/// Starts that the process can't send at once would delay everything else that it owes the workers,
/// and the choice of what starts next should be made late. While its calls run late the bound
/// shrinks by a factor, while they are on time it grows again, so that an owner that is fast enough
/// sends what it plans within about `maxLag`. The lag is that of the queue that stays, without
/// stalls that pass; reports are requested less often at a smaller one already, see
/// JobScheduler::renewalInterval().
class StartWindow
{
public:
    /// Calls that run later than this are late.
    static constexpr Core::Duration maxLag = std::chrono::milliseconds(80);
    /// Calls that run no later than this leave room for more.
    static constexpr Core::Duration minLag = std::chrono::milliseconds(40);
    static constexpr std::size_t initialSize = 256;
    static constexpr std::size_t minSize = 128;
    static constexpr std::size_t maxSize = 1024;

    /// Adjusts the size once. \p lag is how late the process's calls to workers run; \p wasFull is
    /// true if the window has held starts back since the last call: what wasn't used doesn't grow.
    void noteLag(Core::Duration lag, bool wasFull);
    std::size_t size() const { return m_size; }

    bool operator==(const StartWindow &) const = default;

private:
    std::size_t m_size = initialSize;
};

} // namespace Jobs
