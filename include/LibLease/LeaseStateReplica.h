#pragma once

#include <LibLease/LeaseRecords.h>
#include <LibLease/LeaseState.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace Lease {

/// A replica of a failure domain's lease state, built by applying the records of its stream in
/// order. The order in the log decides between concurrent records: of two records with the same
/// base version the first one is applied and the second one is ignored.
class LeaseStateReplica
{
public:
    /// Resets the replica for a reader whose first record has offset \p firstOffset. If that isn't
    /// 0, the state is unknown until a snapshot is read.
    void start(std::uint64_t firstOffset);

    /// Applies a record; returns true if the state changed.
    bool apply(std::uint64_t offset, const LeaseRecord &record);

    /// True once the state is known.
    bool isInitialized() const { return m_isInitialized; }
    const LeaseState &state() const { return m_state; }

    /// Consecutive views, ending with the current one. Starts at version 0 if no view was dropped
    /// or replaced by a snapshot.
    const std::deque<DomainView> &views() const { return m_views; }

private:
    bool applyToState(const LeaseRecord &record);
    bool apply(const ClaimRecord &record);
    bool apply(const WitnessSetRecord &record);
    bool apply(const TakeoverIntentRecord &record);
    bool apply(const OperatorTakeoverRecord &record);
    bool apply(const ReleaseRecord &record);
    bool restore(const LeaseSnapshotRecord &snapshot);
    void setMembers(const Incarnation &holder, const std::vector<Incarnation> &witnesses,
                    const std::vector<Core::VmId> &releasedReservations,
                    const std::vector<MemberWeight> &weights);

    static constexpr std::size_t maximumViews = 64;

    bool m_isInitialized = false;
    std::uint64_t m_firstOffset = 0;
    LeaseState m_state;
    std::deque<DomainView> m_views;
    /// Records that were read before the first snapshot, with their offsets.
    std::vector<std::pair<std::uint64_t, LeaseRecord>> m_recordsBeforeSnapshot;
};

} // namespace Lease
