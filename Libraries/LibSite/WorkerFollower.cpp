#include <LibSite/WorkerFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <utility>

namespace Site {

namespace asio = boost::asio;

static const auto partLogger = Log::logger("workers");

static std::string joinLabels(const std::vector<std::string> &labels)
{
    std::string text;
    for (const std::string &label : labels)
        text += (text.empty() ? "" : ",") + label;
    return text;
}

WorkerFollower::WorkerFollower(KeyedLog &log, const SiteDecoder &decoder)
    : m_decoder(decoder)
    , m_follower(log, Topic::Workers, *this)
{
}

asio::awaitable<bool> WorkerFollower::read(std::int64_t waitMs)
{
    const Core::Instant sentAt = Core::suspendAwareNow();
    const bool isAtEnd = co_await m_follower.readOnce(waitMs);
    if (isAtEnd)
        m_completeAsOf = sentAt;
    co_return std::exchange(m_isChanged, false);
}

std::vector<Jobs::WorkerInfo> WorkerFollower::workers() const
{
    std::vector<Jobs::WorkerInfo> list;
    for (const auto &[key, worker] : m_workers)
        list.push_back(worker.info);
    return list;
}

void WorkerFollower::beginSnapshot()
{
    m_workers.clear();
    m_isChanged = true;
}

void WorkerFollower::apply(const LoggedRecord &logged)
{
    const std::string &key = logged.record.key;
    try {
        if (logged.record.value.empty()) {
            m_isChanged |= m_workers.erase(key) > 0;
            LOG4CXX_INFO(partLogger, "event=unlisted worker=" << key);
            return;
        }
        // Workers publish their records again and again without a change.
        const auto listed = m_workers.find(key);
        if (listed != m_workers.end() && listed->second.record == logged.record.value)
            return;
        const Jobs::WorkerInfo worker = m_decoder.decodeWorkerRecord(logged.record);
        m_workers[key].record = logged.record.value;
        Jobs::WorkerInfo &known = m_workers[key].info;
        if (known == worker)
            return;
        if (known.isDraining != worker.isDraining
            || known.processStartUnixMs != worker.processStartUnixMs)
            LOG4CXX_INFO(partLogger,
                         "event=listed worker=" << key << " draining=" << worker.isDraining
                                                << " born=" << worker.processStartUnixMs
                                                << " domain=" << worker.failureDomain
                                                << " labels=" << joinLabels(worker.labels));
        known = worker;
        m_isChanged = true;
    } catch (const Core::FormatError &error) {
        // A record that can't be decoded describes no usable worker.
        m_isChanged |= m_workers.erase(key) > 0;
        LOG4CXX_WARN(partLogger,
                     "event=unreadable-record key=" << key << " reason=\"" << error.what() << '"');
    }
}

} // namespace Site
