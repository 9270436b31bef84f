#include <LibTask/TaskRecordCodec.h>

#include "EntryCodec.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Task {

namespace {

constexpr std::int64_t formatVersion = 1;

using Core::Json::stringMember;

struct BodyEncoder
{
    Json::Value &value;

    void operator()(const Submitted &body) const
    {
        value["type"] = "task.submitted";
        value["spec"] = encodeSpec(body.spec);
        value["submittedAtUnixMs"] = Json::Int64(body.submittedAtUnixMs);
        value["transferNumber"] = body.transferNumber;
        value["checkpoint"] = body.checkpoint;
        value["lastAttempt"] = body.lastAttempt;
        value["endedAttempts"] = body.endedAttempts;
        value["lostAttempts"] = body.lostAttempts;
    }
    void operator()(const AttemptPlanned &body) const
    {
        value["type"] = "task.attempt-planned";
        setAttempt(body.attempt);
        value["worker"] = body.worker.text();
    }
    void operator()(const AttemptAbandoned &body) const
    {
        value["type"] = "task.attempt-abandoned";
        setAttempt(body.attempt);
        value["reason"] = body.reason;
    }
    void operator()(const AttemptEnded &body) const
    {
        value["type"] = "task.attempt-ended";
        setAttempt(body.attempt);
        value["phase"] = phaseName(body.phase);
        value["checkpoint"] = body.checkpoint;
        value["detail"] = body.detail;
        value["isFinal"] = body.isFinal;
        value["wasLost"] = body.wasLost;
    }
    void operator()(const CancelRequested &body) const
    {
        value["type"] = "task.cancel-requested";
        value["task"] = body.task.text();
    }
    void operator()(const Cancelled &body) const
    {
        value["type"] = "task.cancelled";
        value["task"] = body.task.text();
    }
    void operator()(const Held &body) const
    {
        value["type"] = "task.held";
        value["task"] = body.task.text();
        value["reason"] = body.reason;
    }
    void operator()(const Refused &body) const
    {
        value["type"] = "task.refused";
        value["task"] = body.task.text();
        value["reason"] = body.reason;
    }
    void operator()(const TransferOut &body) const
    {
        value["type"] = "task.transfer-out";
        value["task"] = body.task.text();
        value["toDomain"] = body.toDomain.text();
        value["transferNumber"] = body.transferNumber;
    }
    void operator()(const TransferDone &body) const
    {
        value["type"] = "task.transfer-done";
        value["task"] = body.task.text();
        value["transferNumber"] = body.transferNumber;
    }
    void operator()(const SnapshotPart &body) const
    {
        value["type"] = "task.snapshot";
        value["snapshotId"] = body.snapshotId;
        value["coversUntil"] = Json::UInt64(body.coversUntil);
        value["tableEpoch"] = Json::UInt64(body.tableEpoch);
        value["part"] = body.part;
        value["parts"] = body.parts;
        Json::Value entries(Json::arrayValue);
        for (const TaskEntry &entry : body.entries)
            entries.append(encodeEntry(entry));
        value["entries"] = std::move(entries);
    }

    void setAttempt(const AttemptId &attempt) const
    {
        value["task"] = attempt.task.text();
        value["attempt"] = attempt.number;
    }
};

AttemptId decodeAttempt(const Json::Value &value)
{
    return { taskMember(value), uint32Member(value, "attempt") };
}

Submitted decodeSubmitted(const Json::Value &value)
{
    Submitted body;
    body.spec = decodeSpec(objectMember(value, "spec"));
    body.submittedAtUnixMs = Core::Json::integerMember(value, "submittedAtUnixMs");
    body.transferNumber = uint32Member(value, "transferNumber");
    body.checkpoint = stringMember(value, "checkpoint");
    body.lastAttempt = uint32Member(value, "lastAttempt");
    body.endedAttempts = uint32Member(value, "endedAttempts");
    // Records of earlier versions lack it.
    if (value.isMember("lostAttempts"))
        body.lostAttempts = uint32Member(value, "lostAttempts");
    return body;
}

AttemptEnded decodeAttemptEnded(const Json::Value &value)
{
    AttemptEnded body;
    body.attempt = decodeAttempt(value);
    body.phase = decodePhase(stringMember(value, "phase"));
    if (body.phase == AttemptPhase::Running)
        throw Core::FormatError("decode record", "phase", "an ended attempt isn't running");
    body.checkpoint = stringMember(value, "checkpoint");
    body.detail = stringMember(value, "detail");
    body.isFinal = Core::Json::booleanMember(value, "isFinal");
    // Records of earlier versions lack it.
    if (value.isMember("wasLost"))
        body.wasLost = Core::Json::booleanMember(value, "wasLost");
    return body;
}

SnapshotPart decodeSnapshotPart(const Json::Value &value)
{
    SnapshotPart body;
    body.snapshotId = stringMember(value, "snapshotId");
    body.coversUntil = counterMember(value, "coversUntil");
    body.tableEpoch = counterMember(value, "tableEpoch");
    body.part = uint32Member(value, "part");
    body.parts = uint32Member(value, "parts");
    if (body.part >= body.parts)
        throw Core::FormatError("decode record", "part", "must be below parts");
    for (const Json::Value &entry : Core::Json::arrayMember(value, "entries"))
        body.entries.push_back(decodeEntry(entry));
    return body;
}

std::optional<TaskRecordBody> decodeBody(std::string_view type, const Json::Value &value)
{
    if (type == "task.submitted")
        return decodeSubmitted(value);
    if (type == "task.attempt-planned")
        return AttemptPlanned { decodeAttempt(value), Core::VmId(stringMember(value, "worker")) };
    if (type == "task.attempt-abandoned")
        return AttemptAbandoned { decodeAttempt(value), stringMember(value, "reason") };
    if (type == "task.attempt-ended")
        return decodeAttemptEnded(value);
    if (type == "task.cancel-requested")
        return CancelRequested { taskMember(value) };
    if (type == "task.cancelled")
        return Cancelled { taskMember(value) };
    if (type == "task.held")
        return Held { taskMember(value), stringMember(value, "reason") };
    if (type == "task.refused")
        return Refused { taskMember(value), stringMember(value, "reason") };
    if (type == "task.transfer-out")
        return TransferOut { taskMember(value),
                             Core::FailureDomainId(stringMember(value, "toDomain")),
                             uint32Member(value, "transferNumber") };
    if (type == "task.transfer-done")
        return TransferDone { taskMember(value), uint32Member(value, "transferNumber") };
    if (type == "task.snapshot")
        return decodeSnapshotPart(value);
    return std::nullopt;
}

} // namespace

Json::Value encode(const TaskRecord &record)
{
    Json::Value value(Json::objectValue);
    value["v"] = Json::Int64(formatVersion);
    value["id"] = record.id;
    value["epoch"] = Json::UInt64(record.epoch);
    std::visit(BodyEncoder { value }, record.body);
    return value;
}

std::optional<TaskRecord> decode(const Json::Value &value)
{
    if (!value.isObject())
        throw Core::FormatError("decode record", "record", "not an object");
    const std::int64_t version = Core::Json::integerMember(value, "v");
    if (version < 1 || version > formatVersion) {
        throw Core::FormatError("decode record", "v",
                                "format version " + std::to_string(version) + " is unknown");
    }
    std::optional<TaskRecordBody> body = decodeBody(stringMember(value, "type"), value);
    if (!body)
        return std::nullopt;
    return TaskRecord { stringMember(value, "id"), counterMember(value, "epoch"),
                        std::move(*body) };
}

} // namespace Task
