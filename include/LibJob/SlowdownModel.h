#pragma once

#include <cstddef>
#include <vector>

namespace Jobs {

/// Index of an image in an ImageTable.
using ImageIndex = std::size_t;

/// The part of a worker's processors that the best-effort tasks of one image use.
struct BestEffortUse
{
    ImageIndex image = 0;
    /// From 0 to 1.
    double share = 0;

    bool operator==(const BestEffortUse &) const = default;
};

/// Estimate of the load that a serving task has without best-effort tasks.
struct LoadEstimate
{
    /// From 0 to 1.
    double load = 0;
    double variance = 0;

    bool operator==(const LoadEstimate &) const = default;
};

/// Learns from workers' reports how much best-effort tasks of one image slow down serving tasks of
/// another.
///
/// Models a serving task as a queue whose tail latency grows with 1 / (1 - utilization). The
/// utilization is the serving task's own load times a slowdown, and the slowdown is linear in what
/// the best-effort tasks on the worker use. The interference of each pair of images is estimated by
/// a Kalman filter that treats the pairs as independent.
class SlowdownModel
{
public:
    /// Converts a tail latency, as a multiple of its target, to the utilization that explains it.
    double utilization(ImageIndex serving, double tailRatio) const;
    /// The utilization at which the tail latency equals its target.
    double utilizationAtTarget(ImageIndex serving) const;

    /// Updates the model with a tail latency that a serving task had beside \p bestEffortUses.
    /// If there are none, updates the mean load instead of the interference.
    void observe(ImageIndex serving, const LoadEstimate &load, double tailRatio,
                 const std::vector<BestEffortUse> &bestEffortUses);

    /// Assumed interference of a pair of images that hasn't been observed.
    static constexpr double initialInterference = 2.0;
    static constexpr double initialVariance = 9.0;

    /// Estimates the serving task's own load from a tail latency that it had beside \p
    /// bestEffortUses.
    LoadEstimate ownLoad(ImageIndex serving, double tailRatio,
                         const std::vector<BestEffortUse> &bestEffortUses) const;

    /// The factor by which \p bestEffortUses slow down a serving task; 1 for no slowdown.
    double slowdown(ImageIndex serving, const std::vector<BestEffortUse> &bestEffortUses) const;
    /// What a best-effort image adds to the slowdown if it uses the whole worker.
    double interference(ImageIndex serving, ImageIndex bestEffort) const
    {
        const std::vector<Interference> &interferences = find(serving).interferences;
        return bestEffort < interferences.size() ? interferences[bestEffort].value
                                                 : initialInterference;
    }
    /// Predicts the interference of unobserved pairs from the observed ones: an image that
    /// interferes with one serving image, or tolerates one best-effort image, is assumed to do so
    /// with others.
    void updatePriors();
    /// The mean load of the serving tasks of an image without best-effort tasks.
    double meanLoad(ImageIndex serving) const;

private:
    static constexpr double initialMinTailRatio = 0.22;
    static constexpr double initialLoad = 0.45;

    struct Interference
    {
        double value = initialInterference;
        double variance = initialVariance;
        bool isObserved = false;
    };
    struct ServingImage
    {
        /// The lowest observed ratio of tail latency to target: that of an idle task.
        double minTailRatio = initialMinTailRatio;
        double load = initialLoad;
        /// Indexed by best-effort image.
        std::vector<Interference> interferences;
    };

    double varianceOfSlowdown(ImageIndex serving,
                              const std::vector<BestEffortUse> &bestEffortUses) const;
    const ServingImage &find(ImageIndex serving) const
    {
        return serving < m_servingImages.size() ? m_servingImages[serving] : m_unknownImage;
    }
    ServingImage &make(ImageIndex serving);

    /// Indexed by serving image.
    std::vector<ServingImage> m_servingImages;
    /// Stands for each image that hasn't been observed.
    ServingImage m_unknownImage;
};

} // namespace Jobs
