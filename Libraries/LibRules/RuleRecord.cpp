#include <LibRules/RuleRecord.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Rules {

static constexpr int formatVersion = 1;
static constexpr const char *changeType = "rules-change";
static constexpr const char *snapshotType = "rules-snapshot";

Json::Value RuleRecord::toJson() const
{
    Json::Value value(Json::objectValue);
    value["v"] = formatVersion;
    value["type"] = kind == RuleRecordKind::Change ? changeType : snapshotType;
    value["id"] = id;
    value["base"] = Json::UInt64(baseVersion);
    value["readThrough"] = Json::UInt64(readThrough);
    value["text"] = text;
    value["by"] = publishedBy;
    return value;
}

static std::uint64_t countMember(const Json::Value &value, const char *name)
{
    const std::int64_t count = Core::Json::integerMember(value, name);
    if (count < 0)
        throw Core::FormatError("read rule record", name, "the number is negative");
    return static_cast<std::uint64_t>(count);
}

std::optional<RuleRecord> RuleRecord::fromJson(const Json::Value &value)
{
    if (Core::Json::integerMember(value, "v") > formatVersion)
        throw Core::FormatError("read rule record", "rules",
                                "the record's format is newer than supported");
    const std::string type = Core::Json::stringMember(value, "type");
    if (type != changeType && type != snapshotType)
        return std::nullopt;
    RuleRecord record;
    record.kind = type == changeType ? RuleRecordKind::Change : RuleRecordKind::Snapshot;
    record.id = Core::Json::stringMember(value, "id");
    record.baseVersion = countMember(value, "base");
    record.readThrough = countMember(value, "readThrough");
    record.text = Core::Json::stringMember(value, "text");
    record.publishedBy = Core::Json::stringMember(value, "by");
    return record;
}

} // namespace Rules
