#pragma once

#include <LibCore/Time.h>
#include <LibJob/SlowdownModel.h>

namespace Jobs {

/// Predicts the load of a serving job, which changes within seconds and is the same for all its
/// tasks, from noisy readings of several tasks. Fits a line by least squares in which the weight of
/// a reading decays exponentially with its age.
class LoadPredictor
{
public:
    /// Adds a reading of one task's load at the time \p at.
    void observe(const LoadEstimate &reading, Core::Instant at);
    /// Predicts the load at \p when. The smaller the total weight of the readings, the closer the
    /// prediction is to \p priorLoad.
    LoadEstimate predict(Core::Instant when, double priorLoad) const;

private:
    void decayTo(Core::Instant at);

    /// Reference time of the sums, which count time in seconds relative to it.
    Core::Instant m_origin = {};
    double m_weightSum = 0;
    double m_timeSum = 0;
    double m_timeSquaredSum = 0;
    double m_loadSum = 0;
    double m_timeLoadSum = 0;
};

} // namespace Jobs
