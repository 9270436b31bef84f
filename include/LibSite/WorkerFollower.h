#pragma once

#include <LibJob/WorkerInfo.h>
#include <LibSite/LogFollower.h>
#include <LibSite/SiteDecoder.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Site {

/// Keeps the list of workers in step with what they publish.
class WorkerFollower final : private RecordSink
{
public:
    WorkerFollower(KeyedLog &log, const SiteDecoder &decoder);

    /// True if the list may have changed. \throws Core::Error
    boost::asio::awaitable<bool> read(std::int64_t waitMs);
    std::vector<Jobs::WorkerInfo> workers() const;
    /// All that the workers had published by this moment is in the list. Nothing before the first
    /// read to the end.
    std::optional<Core::Instant> completeAsOf() const { return m_completeAsOf; }

private:
    void beginSnapshot() override;
    void endSnapshot() override { }
    void apply(const LoggedRecord &record) override;

    const SiteDecoder &m_decoder;
    LogFollower m_follower;
    std::map<std::string, Jobs::WorkerInfo> m_workers;
    bool m_isChanged = false;
    /// On the clock that counts suspension.
    std::optional<Core::Instant> m_completeAsOf;
};

} // namespace Site
