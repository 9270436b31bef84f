#pragma once

#include <LibLease/LeaseMessages.h>
#include <LibLease/LeaseRecords.h>

#include <variant>

namespace Lease {

/// Append the record to the domain's stream, then call LeaseManager::onAppendOutcome.
struct AppendRecord
{
    LeaseRecord record;

    bool operator==(const AppendRecord &) const = default;
};

/// Send the request once, without retries, and pass on the response if one arrives.
struct SendPromiseRequest
{
    Incarnation to;
    PromiseRequest request;

    bool operator==(const SendPromiseRequest &) const = default;
};

using LeaseAction = std::variant<AppendRecord, SendPromiseRequest>;

enum class AppendOutcome {
    Appended,
    /// The record isn't in the log and can't be appended later.
    NotAppended,
    /// The record may be in the log, or may still be appended.
    Unknown,
};

} // namespace Lease
