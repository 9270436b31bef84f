#include <LibLease/LeaseSettings.h>

namespace Lease {

Core::Duration LeaseSettings::withDriftAllowance(Core::Duration length) const
{
    constexpr int thousand = 1000;
    // The additional microsecond makes up for the rounding of the division.
    return length + length * driftPerThousand / thousand + std::chrono::microseconds(1);
}

} // namespace Lease
