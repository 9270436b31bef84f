#pragma once

#include "FlawedRouter.h"
#include "VirtualEntry.h"

#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace RoutingWorld {

/// Something that goes wrong at some moment.
struct Fault
{
    enum class Kind {
        FreezeServer,
        SlowServer,
        KillServer,
        SilenceConnections,
        FailFast,
        LeavingServer,
        FreezeEntry,
        DomainOut,
        LeavingEntry,
        CallerGone,
        KindCount,
    };

    Kind kind = Kind::FreezeServer;
    int target = 0;
    int atMilliseconds = 0;
    int durationMilliseconds = 0;
};

inline std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << "{kind " << static_cast<int>(fault.kind) << ", target " << fault.target
                  << ", at " << fault.atMilliseconds << " ms, for " << fault.durationMilliseconds
                  << " ms}";
}

enum class Violation {
    NotFinishedOnce,
    RefusedButWritten,
    RanTwice,
    WrongAnswer,
    TooManyInWork,
    TooManyConnections,
    SentToLeavingServer,
    FinishedLate,
    StuckWhenLeaving,
};

inline std::ostream &operator<<(std::ostream &stream, Violation violation)
{
    constexpr const char *names[] = { "not finished once",
                                      "refused but written",
                                      "ran twice",
                                      "wrong answer",
                                      "too many in work",
                                      "too many connections",
                                      "sent to a leaving server",
                                      "finished late",
                                      "stuck when leaving" };
    return stream << names[static_cast<int>(violation)];
}

/// Two failure domains, one with two entry VMs and three backend servers, one with one and two.
/// Callers ask more than the servers can do while faults come and go.
class FaultyWorld
{
public:
    FaultyWorld(std::uint64_t seed, Flaw flaw);
    FaultyWorld(const FaultyWorld &) = delete;
    FaultyWorld &operator=(const FaultyWorld &) = delete;

    void setReusingAbandoned(bool isReusing);
    /// Runs the load and the faults to their end and tells what was violated.
    std::set<Violation> run(const std::vector<Fault> &faults);

    /// How often each kind of thing happened, to show that a run wasn't idle.
    int answered() const { return m_answered; }
    int refused() const { return m_refused; }
    int unknown() const { return m_unknown; }

private:
    using Entry = VirtualEntry<FlawedRouter>;

    void addDomain(const std::string &name, int entries, int servers, Flaw flaw);
    Entry *doorOf(const Core::FailureDomainId &failureDomain);
    void shareOut(const std::string &domain);
    void startLoad();
    void makeRequest(int number);
    void schedule(const Fault &fault);
    void begin(const Fault &fault);
    void end(const Fault &fault);
    Entry &entryOf(const Fault &fault);
    VirtualServer &serverOf(const Fault &fault);
    void judge(const RequestRecord &record);
    void judgeServers();

    Routing::Random m_random;
    EventQueue m_events;
    Entry::Servers m_servers;
    RequestRecords m_records;
    std::map<std::string, std::vector<std::unique_ptr<Entry>>> m_entries;
    std::map<std::string, std::vector<Core::VmId>> m_serversOf;
    std::vector<Entry *> m_allEntries;
    std::vector<Core::VmId> m_allServers;
    std::set<Core::VmId> m_leaving;
    std::set<std::string> m_domainsOut;
    std::set<Entry *> m_leavingEntries;
    bool m_hasFrozenEntries = false;
    std::set<Violation> m_violations;
    int m_answered = 0;
    int m_refused = 0;
    int m_unknown = 0;
};

} // namespace RoutingWorld
