#pragma once

#include "DaemonClient.h"
#include "ExitStatus.h"

#include <string>
#include <vector>

namespace Control {

/// The parsed command line.
struct Invocation
{
    std::vector<std::string> words;
    /// The person on whose behalf a change is made.
    std::string requestedBy;
    bool isJson = false;

    bool operator==(const Invocation &) const = default;
};

/// Describes the commands of `lagoonctl`, for `--help`.
extern const char *const commandSummary;

/// Executes one command and prints its result.
class Commands
{
public:
    Commands(const DaemonClient &daemon, Invocation invocation);

    /// \throws Core::Error if the daemon can't be reached or a file can't be read.
    ExitStatus run();

private:
    ExitStatus checkRules(const std::string &path);
    ExitStatus publishRules(const std::string &path);
    ExitStatus showRules();
    ExitStatus changeDomain(const std::string &name, bool isOut);
    ExitStatus takeOver();
    ExitStatus explain(const std::string &id);
    ExitStatus status();
    ExitStatus jobs();
    ExitStatus submit(const std::string &path);
    ExitStatus cancel(const std::string &id);

    ExitStatus publish(std::uint64_t base, const std::string &text);
    /// Prints the response as JSON if that was requested, and its message if it is an error.
    ExitStatus conclude(const DaemonAnswer &answer) const;
    ExitStatus usageError(const std::string &message) const;
    bool needsName() const { return m_invocation.requestedBy.empty(); }

    const DaemonClient &m_daemon;
    Invocation m_invocation;
};

} // namespace Control
