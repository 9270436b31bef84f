#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibJob/JobTable.h>
#include <LibJob/LeaseSuspensions.h>
#include <LibJob/OwnerMonitor.h>
#include <LibSite/CopyFreshness.h>
#include <LibSite/KeyDirectory.h>
#include <LibSite/SiteMetrics.h>
#include <LibSite/SiteSettings.h>
#include <LibSite/StoreHealth.h>

#include <optional>
#include <set>

namespace Site {

class GroupCommit;

/// Is notified of changes in a node's view of its site.
class SiteObserver
{
public:
    SiteObserver() = default;
    SiteObserver(const SiteObserver &) = delete;
    SiteObserver &operator=(const SiteObserver &) = delete;
    virtual ~SiteObserver() = default;

    virtual void onJob(const Jobs::JobEntry &entry) = 0;
    virtual void onCancellation(const Jobs::JobId &id) = 0;
    virtual void onClaim() = 0;
    virtual void onOperatorChange() = 0;
};

/// Counts of jobs that callers get are at most this old.
inline constexpr Core::Duration maxCountAge = std::chrono::seconds(2);

/// What the operators publish must take effect on every node within 2 s in the strictest case: an
/// answer that a newer catalogue could forbid is given only from a copy that is at most this old.
inline constexpr Core::Duration maxCatalogueAge = std::chrono::milliseconds(1600);

/// State that the components of a node share.
struct SiteState
{
    explicit SiteState(const SiteSettings &siteSettings)
        : settings(siteSettings)
        , ownerMonitor(siteSettings.nodeName, siteSettings.ownerMonitor)
    {
    }

    const SiteSettings settings;
    /// The jobs according to the records that this node has read.
    Jobs::JobTable table;
    /// Freshness of `table`.
    CopyFreshness tableFreshness { maxCountAge };
    Jobs::OwnerMonitor ownerMonitor;
    Jobs::RecordedSuspensions leaseSuspensions;
    /// Empty until a version of the catalogue has been read.
    std::optional<Jobs::Catalogue> catalogue;
    /// The keys of the catalogue's customers.
    KeyDirectory keys;
    /// Freshness of `catalogue` and `outOfService`.
    CopyFreshness catalogueFreshness { maxCatalogueAge };
    std::set<Core::FailureDomainId> outOfService;
    StoreHealth health;
    SiteMetrics metrics;
    /// The node is shutting down and must not claim the jobs.
    bool isLeaving = false;
    /// The session that schedules the jobs; null unless this node owns them.
    SiteObserver *owner = nullptr;
    /// Writes all nodes' records with the owner's; null unless this node owns the jobs.
    GroupCommit *groupCommit = nullptr;
};

} // namespace Site
