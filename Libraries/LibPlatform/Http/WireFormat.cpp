#include "Http/WireFormat.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <algorithm>
#include <limits>

namespace Platform::WireFormat {

using Core::Json::arrayMember;
using Core::Json::integerMember;
using Core::Json::stringMember;
using Json::Value;

std::string pathSegment(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isAlphanumeric = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z')
            || (byte >= 'a' && byte <= 'z');
        if (isAlphanumeric || byte == '-' || byte == '.' || byte == '_') {
            escaped += character;
            continue;
        }
        escaped += '%';
        escaped += digits[byte >> 4U];
        escaped += digits[byte & 15U];
    }
    return escaped;
}

template<typename Integer>
static Integer boundedMember(const Value &object, const char *name)
{
    const std::int64_t number = integerMember(object, name);
    if (std::cmp_less(number, 0) || std::cmp_greater(number, std::numeric_limits<Integer>::max()))
        throw Core::FormatError("read JSON", name, "the number is out of range");
    return static_cast<Integer>(number);
}

static Value encode(const Core::Resources &resources)
{
    Value value;
    value["milliCores"] = Json::Int64(resources.milliCores);
    value["mebibytes"] = Json::Int64(resources.mebibytes);
    value["accelerators"] = Json::Int64(resources.accelerators);
    return value;
}

static Core::Resources decodeResources(const Value &value)
{
    return { boundedMember<std::int64_t>(value, "milliCores"),
             boundedMember<std::int64_t>(value, "mebibytes"),
             boundedMember<std::int64_t>(value, "accelerators") };
}

static Value encode(const Task::AttemptId &attempt)
{
    Value value;
    value["task"] = attempt.task.text();
    value["number"] = attempt.number;
    return value;
}

static Task::AttemptId decodeAttemptId(const Value &value)
{
    return { Core::TaskId(stringMember(value, "task")),
             boundedMember<std::uint32_t>(value, "number") };
}

static Value encode(const std::vector<Task::AttemptId> &attempts)
{
    Value list(Json::arrayValue);
    for (const Task::AttemptId &attempt : attempts)
        list.append(encode(attempt));
    return list;
}

static Value encode(const Task::TaskSpec &spec)
{
    Value value;
    value["id"] = spec.id.text();
    value["team"] = spec.team.text();
    value["class"] = spec.taskClass.text();
    value["declared"] = encode(spec.declared);
    value["expectedRunMs"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(spec.expectedRunTime).count());
    value["payload"] = spec.payload;
    return value;
}

/// Rounds down, so that a lease never expires later than its holder assumes.
static Value encodeRelative(Core::Instant moment, Core::Instant now)
{
    const auto left = std::chrono::floor<std::chrono::milliseconds>(moment - now);
    return Json::Int64(std::max<std::int64_t>(left.count(), 0));
}

std::string encodeAppend(const std::vector<std::string> &bodies)
{
    Value value;
    value["bodies"] = Value(Json::arrayValue);
    for (const std::string &body : bodies)
        value["bodies"].append(body);
    return Core::Json::write(value);
}

std::string encodeStart(const StartCommand &command, Core::Instant now)
{
    Value value;
    value["spec"] = encode(command.spec);
    value["attempt"] = encode(command.attempt);
    value["epoch"] = Json::UInt64(command.epoch);
    value["checkpoint"] = command.checkpoint;
    value["leaseMs"] = encodeRelative(command.leaseDeadline, now);
    return Core::Json::write(value);
}

std::string encodeStop(const Task::AttemptId &attempt, StopMode mode)
{
    Value value;
    value["attempt"] = encode(attempt);
    value["mode"] = mode == StopMode::Checkpoint ? "checkpoint" : "kill";
    return Core::Json::write(value);
}

std::string encodeThrottle(const Task::AttemptId &attempt, int percent)
{
    Value value;
    value["attempt"] = encode(attempt);
    value["percent"] = percent;
    return Core::Json::write(value);
}

std::string encodeRenew(const std::vector<Task::AttemptId> &attempts, Core::Instant leaseDeadline,
                        const std::vector<Task::AttemptId> &acknowledged, Core::Instant now)
{
    Value value;
    value["attempts"] = encode(attempts);
    value["leaseMs"] = encodeRelative(leaseDeadline, now);
    value["acknowledged"] = encode(acknowledged);
    return Core::Json::write(value);
}

Offset decodeAppend(std::string_view text, const std::string &peer)
{
    return boundedMember<Offset>(Core::Json::parse(text, peer), "first");
}

LogPage decodeLogPage(std::string_view text, const std::string &peer)
{
    const Value value = Core::Json::parse(text, peer);
    LogPage page;
    page.firstRetained = boundedMember<Offset>(value, "firstRetained");
    page.end = boundedMember<Offset>(value, "end");
    for (const Value &record : arrayMember(value, "records"))
        page.records.push_back(
            { boundedMember<Offset>(record, "offset"), stringMember(record, "body") });
    return page;
}

static VmKind decodeKind(const std::string &text)
{
    if (text == "entry")
        return VmKind::EntryVm;
    if (text == "worker")
        return VmKind::Worker;
    throw Core::FormatError("read JSON", "kind", "unknown kind of VM " + text);
}

static VmState decodeState(const std::string &text)
{
    if (text == "live")
        return VmState::Live;
    if (text == "leaving")
        return VmState::Leaving;
    throw Core::FormatError("read JSON", "state", "unknown state of a VM " + text);
}

static VmEntry decodeVmEntry(const Value &value)
{
    VmEntry entry;
    entry.id = Core::VmId(stringMember(value, "id"));
    entry.kind = decodeKind(stringMember(value, "kind"));
    entry.state = decodeState(stringMember(value, "state"));
    entry.failureDomain = Core::FailureDomainId(stringMember(value, "failureDomain"));
    entry.rack = stringMember(value, "rack");
    entry.address = stringMember(value, "address");
    entry.port = boundedMember<std::uint16_t>(value, "port");
    if (entry.kind == VmKind::EntryVm) {
        entry.callerPort = boundedMember<std::uint16_t>(value, "callerPort");
        return entry;
    }
    entry.capacity = decodeResources(value["capacity"]);
    entry.slots = boundedMember<int>(value, "slots");
    entry.connections = boundedMember<int>(value, "connections");
    return entry;
}

VmListAnswer decodeVmList(std::string_view text, const std::string &peer)
{
    const Value value = Core::Json::parse(text, peer);
    VmListAnswer answer;
    if (value.isObject() && value.isMember("version"))
        answer.version = stringMember(value, "version");
    const bool isUnchanged = !answer.version.empty() && !value.isMember("vms");
    if (isUnchanged)
        return answer;
    answer.entries.emplace();
    for (const Value &entry : arrayMember(value, "vms"))
        answer.entries->push_back(decodeVmEntry(entry));
    return answer;
}

static Task::AttemptPhase decodePhase(const std::string &text)
{
    if (text == "running")
        return Task::AttemptPhase::Running;
    if (text == "finished")
        return Task::AttemptPhase::Finished;
    if (text == "failed")
        return Task::AttemptPhase::Failed;
    if (text == "stopped")
        return Task::AttemptPhase::Stopped;
    throw Core::FormatError("read JSON", "phase", "unknown phase of an attempt " + text);
}

static Task::AttemptReport decodeReport(const Value &value)
{
    Task::AttemptReport report;
    report.attempt = decodeAttemptId(value["attempt"]);
    report.phase = decodePhase(stringMember(value, "phase"));
    report.used = decodeResources(value["used"]);
    report.checkpoint = stringMember(value, "checkpoint");
    if (!value["slowdown"].isNumeric())
        throw Core::FormatError("read JSON", "slowdown", "the member is no number");
    report.slowdown = value["slowdown"].asDouble();
    report.detail = stringMember(value, "detail");
    return report;
}

std::vector<Task::AttemptReport> decodeReports(std::string_view text, const std::string &peer)
{
    const Value value = Core::Json::parse(text, peer);
    std::vector<Task::AttemptReport> reports;
    for (const Value &report : arrayMember(value, "reports"))
        reports.push_back(decodeReport(report));
    return reports;
}

} // namespace Platform::WireFormat
