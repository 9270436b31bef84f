#pragma once

#include <LibCore/Time.h>
#include <LibJob/JobRecord.h>

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace Site {

enum class ForwardOutcome {
    Written,
    /// Not written, and never will be: the owner can't write the records in time.
    Refused,
    /// Not written: the node that was asked doesn't own the jobs.
    NotOwner,
    /// Not written: nothing was sent, or the request wasn't understood.
    NotSent,
    /// The owner has answered that it doesn't know.
    Unknown,
    /// The records may have been written, or may still be.
    NoAnswer,
};

/// The outcome's name in logs and metrics.
constexpr const char *forwardOutcomeText(ForwardOutcome outcome)
{
    switch (outcome) {
    case ForwardOutcome::Written:
        return "written";
    case ForwardOutcome::Refused:
        return "refused";
    case ForwardOutcome::NotOwner:
        return "not-owner";
    case ForwardOutcome::NotSent:
        return "not-sent";
    case ForwardOutcome::Unknown:
        return "unknown";
    case ForwardOutcome::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

struct ForwardResult
{
    ForwardOutcome outcome = ForwardOutcome::NoAnswer;
    /// Latency of the owner's appends; meaningful if the owner has answered.
    Core::Duration latency = {};
    /// When the owner will have written what it has; meaningful if it has refused.
    Core::Duration drainTime = {};

    bool operator==(const ForwardResult &) const = default;
};

/// Sends records to the owner of the jobs, which writes them.
class RecordForwarder
{
public:
    RecordForwarder() = default;
    RecordForwarder(const RecordForwarder &) = delete;
    RecordForwarder &operator=(const RecordForwarder &) = delete;
    virtual ~RecordForwarder() = default;

    /// Writes all the records or none. \p address is that of the owner's claim. Returns soon after
    /// \p deadline (steady clock) at the latest.
    virtual boost::asio::awaitable<ForwardResult>
    forward(std::string address, std::vector<Jobs::StoredRecord> records, Core::Instant deadline)
        = 0;
};

} // namespace Site
