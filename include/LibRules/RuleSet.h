#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Rules {

enum class TaskKind {
    LatencyCritical,
    Batch,
};

/// How a running task is treated while its failure domain can't be reached.
enum class CutOffPolicy {
    /// The task is started elsewhere only once it is proven to have stopped.
    Stay,
    /// The task's lease expires after `cutOffAfter`; another failure domain may then start it.
    Move,
};

/// `team NAME cores=N memory=NG accelerators=N weight=N`
struct TeamRule
{
    Core::TeamId team;
    /// What the team may use in all failure domains together before it counts as borrowing.
    Core::Resources quota;
    /// The team's share of contended capacity and of the request path, relative to the others.
    int weight = 1;
    std::string requestedBy;

    bool operator==(const TeamRule &) const = default;
};

/// `class NAME kind=latency-critical|batch priority=N cut-off=stay|move after=DURATION
/// idempotent=yes|no`
struct TaskClassRule
{
    Core::TaskClassId taskClass;
    TaskKind kind = TaskKind::Batch;
    /// 0 to 1000; tasks of a higher priority are placed first.
    int priority = 0;
    CutOffPolicy cutOffPolicy = CutOffPolicy::Stay;
    Core::Duration cutOffAfter {};
    std::string requestedBy;

    bool operator==(const TaskClassRule &) const = default;
};

/// `place CLASS in DOMAIN[,DOMAIN...]`
struct PlaceRule
{
    Core::TaskClassId taskClass;
    std::set<Core::FailureDomainId> failureDomains;
    std::string requestedBy;

    bool operator==(const PlaceRule &) const = default;
};

/// `slots limit=N connections=N`: lowers, never raises, each backend server's limits.
struct SlotRule
{
    int slots = 0;
    int connections = 0;
    std::string requestedBy;

    bool operator==(const SlotRule &) const = default;
};

/// `domain NAME out`: nothing starts there, and its tasks move to other failure domains.
struct DomainOutRule
{
    Core::FailureDomainId failureDomain;
    std::string requestedBy;

    bool operator==(const DomainOutRule &) const = default;
};

/// All rules of one version.
struct RuleSet
{
    std::map<Core::TeamId, TeamRule> teams;
    std::map<Core::TaskClassId, TaskClassRule> classes;
    std::map<Core::TaskClassId, PlaceRule> places;
    std::optional<SlotRule> slots;
    std::map<Core::FailureDomainId, DomainOutRule> domainsOut;

    bool operator==(const RuleSet &) const = default;

    bool isOut(const Core::FailureDomainId &failureDomain) const;
    /// True if tasks of \p taskClass may run in \p failureDomain, whether or not it is out.
    bool mayRunIn(const Core::TaskClassId &taskClass,
                  const Core::FailureDomainId &failureDomain) const;
};

} // namespace Rules
