#include <LibJob/StartWindow.h>

#include <algorithm>

namespace Jobs {

/// The window shrinks and grows by its size divided by these.
static constexpr std::size_t shrinkDivisor = 4;
static constexpr std::size_t growthDivisor = 8;

void StartWindow::noteLag(Core::Duration lag, bool wasFull)
{
    if (lag > maxLag)
        m_size = std::max(m_size - m_size / shrinkDivisor, minSize);
    else if (wasFull && lag <= minLag)
        m_size = std::min(m_size + m_size / growthDivisor, maxSize);
}

} // namespace Jobs
