#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Jobs {

/// How much of a worker's processors the fillers of one image use.
struct FillerUse
{
    std::string image;
    /// From 0 to 1.
    double share = 0;

    bool operator==(const FillerUse &) const = default;
};

/// Learns how much fillers of an image slow serving tasks of another down, from what workers
/// report.
///
/// A tail latency is read as that of a queue: it grows with 1 / (1 - utilization). Utilization is a
/// serving task's own load times a slowdown, which is linear in what fillers use beside it and
/// fitted by normalized least mean squares.
class PressureModel
{
public:
    /// The utilization that a tail latency, as a multiple of its target, stands for.
    double utilization(const std::string &servingImage, double tailOfTarget) const;
    /// The utilization at which the target is just met.
    double utilizationAtTarget(const std::string &servingImage) const;

    void observe(const std::string &servingImage, double tailOfTarget,
                 const std::vector<FillerUse> &fillers);

    /// By how much \p fillers slow a serving task down; 1 for not at all.
    double slowdown(const std::string &servingImage, const std::vector<FillerUse> &fillers) const;
    /// What one filler image adds to the slowdown if it uses the whole worker.
    double pressure(const std::string &servingImage, const std::string &fillerImage) const;
    /// The mean load of serving tasks of an image without fillers.
    double meanLoad(const std::string &servingImage) const;

private:
    struct Serving
    {
        /// The least tail latency seen, as a multiple of the target: that of an idle task.
        double leastTail;
        double load;
    };

    const Serving &find(const std::string &servingImage) const;

    std::map<std::string, Serving> m_serving;
    std::map<std::pair<std::string, std::string>, double> m_pressure;
};

} // namespace Jobs
