#pragma once

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Rules {

/// The number of a rule version; 0 is the empty rule set that every deployment begins with.
using Version = std::uint64_t;

enum class RuleRecordKind {
    /// A change by an operator. It is accepted if `baseVersion` is the newest version at its
    /// offset.
    Change,
    /// The newest version written again, so that retention doesn't take it.
    Snapshot,
};

/// One record of the stream `rules`.
struct RuleRecord
{
    RuleRecordKind kind = RuleRecordKind::Change;
    /// Made up by the writer; tells a repeated append from a new one.
    std::string id;
    /// Of a change: the version that it replaces. Of a snapshot: the version that it holds.
    Version baseVersion = 0;
    /// Of a snapshot: every record below this offset was known to its writer.
    std::uint64_t readThrough = 0;
    /// The whole rules file.
    std::string text;
    /// Who published it.
    std::string publishedBy;

    bool operator==(const RuleRecord &) const = default;

    Json::Value toJson() const;
    /// Nothing if \p value is a record of a type that we don't know.
    /// \throws Core::FormatError if it is malformed or of a newer format.
    static std::optional<RuleRecord> fromJson(const Json::Value &value);
};

} // namespace Rules
