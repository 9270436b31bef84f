#pragma once

#include <LibLease/LeaseRecords.h>

#include <json/value.h>

#include <optional>

namespace Lease {

/// The JSON form of our records in a failure domain's stream.
class LeaseRecordCodec
{
public:
    static Json::Value encode(const LeaseRecord &record);

    /// Returns nothing for a record of another type.
    /// \throws Core::FormatError if the record is newer than this format or malformed.
    static std::optional<LeaseRecord> decode(const Json::Value &value);
};

} // namespace Lease
