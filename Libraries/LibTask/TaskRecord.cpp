#include <LibTask/TaskRecord.h>

#include <string>
#include <utility>

namespace Task {

namespace {

std::string attemptText(const AttemptId &attempt)
{
    return attempt.task.text() + "/" + std::to_string(attempt.number);
}

struct RecordIdBuilder
{
    std::string operator()(const Submitted &body) const
    {
        return "submitted/" + body.spec.id.text() + "/" + std::to_string(body.transferNumber);
    }
    std::string operator()(const AttemptPlanned &body) const
    {
        return "planned/" + attemptText(body.attempt);
    }
    std::string operator()(const AttemptAbandoned &body) const
    {
        return "abandoned/" + attemptText(body.attempt);
    }
    std::string operator()(const AttemptEnded &body) const
    {
        return "ended/" + attemptText(body.attempt);
    }
    std::string operator()(const CancelRequested &body) const
    {
        return "cancel-requested/" + body.task.text();
    }
    std::string operator()(const Cancelled &body) const { return "cancelled/" + body.task.text(); }
    std::string operator()(const Held &body) const { return "held/" + body.task.text(); }
    std::string operator()(const Refused &body) const { return "refused/" + body.task.text(); }
    std::string operator()(const TransferOut &body) const
    {
        return "transfer-out/" + body.task.text() + "/" + std::to_string(body.transferNumber);
    }
    std::string operator()(const TransferDone &body) const
    {
        return "transfer-done/" + body.task.text() + "/" + std::to_string(body.transferNumber);
    }
    std::string operator()(const SnapshotPart &body) const
    {
        return "snapshot/" + body.snapshotId + "/" + std::to_string(body.part);
    }
};

} // namespace

TaskRecord TaskRecord::create(std::uint64_t epoch, TaskRecordBody body)
{
    std::string id = std::visit(RecordIdBuilder {}, body);
    if (epoch > 0)
        id += "@" + std::to_string(epoch);
    return { std::move(id), epoch, std::move(body) };
}

} // namespace Task
