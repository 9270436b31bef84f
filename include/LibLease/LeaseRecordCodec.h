#pragma once

#include <LibLease/LeaseRecords.h>

#include <json/value.h>

#include <optional>

namespace Lease {

/// Encodes the lease records in a failure domain's stream as JSON.
class LeaseRecordCodec
{
public:
    static Json::Value encode(const LeaseRecord &record);

    /// Returns std::nullopt if the record isn't a lease record.
    /// \throws Core::FormatError if the record is malformed or has a newer format version.
    static std::optional<LeaseRecord> decode(const Json::Value &value);
};

} // namespace Lease
