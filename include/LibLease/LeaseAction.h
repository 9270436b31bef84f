#pragma once

#include <LibLease/LeaseMessages.h>
#include <LibLease/LeaseRecords.h>

#include <variant>

namespace Lease {

/// Append the record to the domain's stream and report the outcome by
/// LeaseManager::onAppendOutcome.
struct AppendRecord
{
    LeaseRecord record;

    bool operator==(const AppendRecord &) const = default;
};

/// Send the request and report the answer, if one comes. Never sent again by the shell.
struct SendPromiseRequest
{
    Incarnation to;
    PromiseRequest request;

    bool operator==(const SendPromiseRequest &) const = default;
};

using LeaseAction = std::variant<AppendRecord, SendPromiseRequest>;

enum class AppendOutcome {
    Appended,
    /// It certainly hasn't landed and never will.
    NotAppended,
    Unknown,
};

} // namespace Lease
