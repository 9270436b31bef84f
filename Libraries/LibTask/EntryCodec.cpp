#include "EntryCodec.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <array>
#include <limits>

namespace Task {

namespace {

using Core::Json::booleanMember;
using Core::Json::integerMember;
using Core::Json::stringMember;

constexpr std::array allStates
    = { TaskState::Submitted, TaskState::Planned,    TaskState::Running,   TaskState::Evicted,
        TaskState::Finished,  TaskState::Failed,     TaskState::Cancelled, TaskState::Held,
        TaskState::Refused,   TaskState::Transferred };

constexpr std::array allPhases = { AttemptPhase::Running, AttemptPhase::Finished,
                                   AttemptPhase::Failed, AttemptPhase::Stopped };

TaskState decodeState(const std::string &name)
{
    for (TaskState state : allStates) {
        if (name == stateName(state))
            return state;
    }
    throw Core::FormatError("decode record", "state", "unknown state " + name);
}

std::int64_t nonNegativeMember(const Json::Value &object, const char *name)
{
    const std::int64_t amount = integerMember(object, name);
    if (amount < 0)
        throw Core::FormatError("decode record", name, "is negative");
    return amount;
}

Json::Value encodeOpenAttempt(const OpenAttempt &attempt)
{
    Json::Value value(Json::objectValue);
    value["number"] = attempt.number;
    value["worker"] = attempt.worker.text();
    value["epoch"] = Json::UInt64(attempt.epoch);
    return value;
}

OpenAttempt decodeOpenAttempt(const Json::Value &value)
{
    return { uint32Member(value, "number"), Core::VmId(stringMember(value, "worker")),
             counterMember(value, "epoch") };
}

} // namespace

Json::Value encodeSpec(const TaskSpec &spec)
{
    Json::Value value(Json::objectValue);
    value["id"] = spec.id.text();
    value["team"] = spec.team.text();
    value["class"] = spec.taskClass.text();
    value["milliCores"] = Json::Int64(spec.declared.milliCores);
    value["mebibytes"] = Json::Int64(spec.declared.mebibytes);
    value["accelerators"] = Json::Int64(spec.declared.accelerators);
    value["expectedRunTimeUs"] = Json::Int64(spec.expectedRunTime.count());
    value["payload"] = spec.payload;
    return value;
}

TaskSpec decodeSpec(const Json::Value &value)
{
    TaskSpec spec;
    spec.id = Core::TaskId(stringMember(value, "id"));
    if (spec.id.isEmpty())
        throw Core::FormatError("decode record", "id", "is empty");
    spec.team = Core::TeamId(stringMember(value, "team"));
    spec.taskClass = Core::TaskClassId(stringMember(value, "class"));
    spec.declared.milliCores = nonNegativeMember(value, "milliCores");
    spec.declared.mebibytes = nonNegativeMember(value, "mebibytes");
    spec.declared.accelerators = nonNegativeMember(value, "accelerators");
    spec.expectedRunTime = Core::Duration(nonNegativeMember(value, "expectedRunTimeUs"));
    spec.payload = stringMember(value, "payload");
    return spec;
}

Json::Value encodeEntry(const TaskEntry &entry)
{
    Json::Value value(Json::objectValue);
    value["spec"] = encodeSpec(entry.spec);
    value["state"] = stateName(entry.state);
    value["submittedAtUnixMs"] = Json::Int64(entry.submittedAtUnixMs);
    value["transferNumber"] = entry.transferNumber;
    value["lastAttempt"] = entry.lastAttempt;
    value["endedAttempts"] = entry.endedAttempts;
    value["lostAttempts"] = entry.lostAttempts;
    if (entry.openAttempt)
        value["openAttempt"] = encodeOpenAttempt(*entry.openAttempt);
    value["checkpoint"] = entry.checkpoint;
    value["isCancelRequested"] = entry.isCancelRequested;
    value["reason"] = entry.reason;
    value["toDomain"] = entry.toDomain.text();
    value["isTransferPending"] = entry.isTransferPending;
    value["endedAtOffset"] = Json::UInt64(entry.endedAtOffset);
    return value;
}

TaskEntry decodeEntry(const Json::Value &value)
{
    TaskEntry entry;
    entry.spec = decodeSpec(objectMember(value, "spec"));
    entry.state = decodeState(stringMember(value, "state"));
    entry.submittedAtUnixMs = integerMember(value, "submittedAtUnixMs");
    entry.transferNumber = uint32Member(value, "transferNumber");
    entry.lastAttempt = uint32Member(value, "lastAttempt");
    entry.endedAttempts = uint32Member(value, "endedAttempts");
    // Snapshots of earlier versions lack it.
    if (value.isMember("lostAttempts"))
        entry.lostAttempts = uint32Member(value, "lostAttempts");
    if (value.isMember("openAttempt"))
        entry.openAttempt = decodeOpenAttempt(objectMember(value, "openAttempt"));
    entry.checkpoint = stringMember(value, "checkpoint");
    entry.isCancelRequested = booleanMember(value, "isCancelRequested");
    entry.reason = stringMember(value, "reason");
    entry.toDomain = Core::FailureDomainId(stringMember(value, "toDomain"));
    entry.isTransferPending = booleanMember(value, "isTransferPending");
    entry.endedAtOffset = counterMember(value, "endedAtOffset");
    return entry;
}

const char *phaseName(AttemptPhase phase)
{
    switch (phase) {
    case AttemptPhase::Running:
        return "running";
    case AttemptPhase::Finished:
        return "finished";
    case AttemptPhase::Failed:
        return "failed";
    case AttemptPhase::Stopped:
        return "stopped";
    }
    return "unknown";
}

AttemptPhase decodePhase(const std::string &name)
{
    for (AttemptPhase phase : allPhases) {
        if (name == phaseName(phase))
            return phase;
    }
    throw Core::FormatError("decode record", "phase", "unknown phase " + name);
}

const Json::Value &objectMember(const Json::Value &object, const char *name)
{
    const Json::Value &member = object[name];
    if (!member.isObject())
        throw Core::FormatError("decode record", name, "not an object");
    return member;
}

Core::TaskId taskMember(const Json::Value &object)
{
    Core::TaskId task(stringMember(object, "task"));
    if (task.isEmpty())
        throw Core::FormatError("decode record", "task", "is empty");
    return task;
}

std::uint32_t uint32Member(const Json::Value &object, const char *name)
{
    const std::int64_t number = nonNegativeMember(object, name);
    if (number > std::numeric_limits<std::uint32_t>::max())
        throw Core::FormatError("decode record", name, "is too large");
    return static_cast<std::uint32_t>(number);
}

std::uint64_t counterMember(const Json::Value &object, const char *name)
{
    return static_cast<std::uint64_t>(nonNegativeMember(object, name));
}

} // namespace Task
