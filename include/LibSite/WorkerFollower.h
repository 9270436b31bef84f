#pragma once

#include <LibJob/WorkerInfo.h>
#include <LibSite/LogFollower.h>
#include <LibSite/SiteDecoder.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Site {

/// Keeps a list of the workers in step with the records that the workers publish.
class WorkerFollower final : private RecordSink
{
public:
    WorkerFollower(KeyedLog &log, const SiteDecoder &decoder);

    /// Reads one page. Unless it is a page of a snapshot, the store waits up to \p waitMs
    /// milliseconds for a first record. Returns true if the list may have changed.
    /// \throws Core::Error if the log can't be read.
    boost::asio::awaitable<bool> read(std::int64_t waitMs);
    std::vector<Jobs::WorkerInfo> workers() const;
    /// The list reflects every record that the workers had published at this instant of the
    /// suspend-aware clock. Empty before the first read to the end of the log.
    std::optional<Core::Instant> completeAsOf() const { return m_completeAsOf; }

private:
    void beginSnapshot() override;
    void endSnapshot() override { }
    void apply(const LoggedRecord &record) override;

    struct ListedWorker
    {
        /// The record that describes the worker, as it was read.
        std::string record;
        Jobs::WorkerInfo info;
    };

    const SiteDecoder &m_decoder;
    LogFollower m_follower;
    /// By the keys of their records. A record that can't be decoded isn't kept.
    std::map<std::string, ListedWorker> m_workers;
    bool m_isChanged = false;
    std::optional<Core::Instant> m_completeAsOf;
};

} // namespace Site
