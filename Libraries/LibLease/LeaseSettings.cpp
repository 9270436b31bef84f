#include <LibLease/LeaseSettings.h>

namespace Lease {

Core::Duration LeaseSettings::withDriftAllowance(Core::Duration length) const
{
    constexpr int thousand = 1000;
    // One microsecond more covers the division's remainder.
    return length + length * driftPerThousand / thousand + std::chrono::microseconds(1);
}

} // namespace Lease
