#pragma once

#include <LibLease/LeaseRecords.h>
#include <LibLease/LeaseState.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace Lease {

/// Applies the records of a stream in order. The log's order decides between rivals: of two records
/// with the same base version the first one wins and the second one is void.
class LeaseStateReplica
{
public:
    /// Starts over for a reader whose first record has offset \p firstOffset. Unless that is 0 the
    /// state is unknown until a snapshot is read.
    void start(std::uint64_t firstOffset);

    /// Applies a record; returns true if the state changed.
    bool apply(std::uint64_t offset, const LeaseRecord &record);

    /// False until the state is known.
    bool isInitialized() const { return m_isFounded; }
    const LeaseState &state() const { return m_state; }

    /// Consecutive views, the current one last. Begins with version 0 if nothing was left out.
    const std::deque<DomainView> &views() const { return m_views; }

private:
    bool applyToState(const LeaseRecord &record);
    bool apply(const ClaimRecord &record);
    bool apply(const WitnessSetRecord &record);
    bool apply(const TakeoverIntentRecord &record);
    bool apply(const OperatorTakeoverRecord &record);
    bool apply(const ReleaseRecord &record);
    bool found(const LeaseSnapshotRecord &snapshot);
    void setMembers(const Incarnation &holder, const std::vector<Incarnation> &witnesses,
                    const std::vector<Core::VmId> &releasedReservations,
                    const std::vector<MemberWeight> &weights);

    static constexpr std::size_t maximumViews = 64;

    bool m_isFounded = false;
    std::uint64_t m_firstOffset = 0;
    LeaseState m_state;
    std::deque<DomainView> m_views;
    /// Records that were read before the first snapshot.
    std::vector<std::pair<std::uint64_t, LeaseRecord>> m_unfounded;
};

} // namespace Lease
