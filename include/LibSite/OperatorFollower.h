#pragma once

#include <LibSite/LogFollower.h>
#include <LibSite/SiteDecoder.h>
#include <LibSite/SiteState.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

namespace Site {

/// Keeps a node's catalogue and its list of failure domains out of service up to date.
class OperatorFollower final : public Supervision::Part, private RecordSink
{
public:
    OperatorFollower(SiteState &state, KeyedLog &log, const SiteDecoder &decoder,
                     const boost::asio::any_io_executor &executor);

    std::string name() const override { return "operators"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

private:
    void beginSnapshot() override;
    void endSnapshot() override;
    void apply(const LoggedRecord &record) override;
    void applyCatalogue(const Jobs::Catalogue &catalogue);
    void notifyOwner();

    SiteState &m_state;
    const SiteDecoder &m_decoder;
    LogFollower m_follower;
    Supervision::Wakeup m_wakeup;
    bool m_isStopping = false;
    bool m_isInSnapshot = false;
};

} // namespace Site
