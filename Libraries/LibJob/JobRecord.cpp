#include <LibJob/JobRecord.h>

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <json/value.h>

#include <algorithm>
#include <iterator>

namespace Jobs {

// Member names are short because each record is stored for as long as its job. Keys: `c/JOB`
// (cancellation), `p/JOB` (progress), `q/JOB` (acceptance), `s/JOB` (submission), `w/JOB`
// (workers), `l/WORKER` (suspension of leases), `owner` and `beat` (heartbeat).

static constexpr const char *ownerKey = "owner";
static constexpr const char *heartbeatKey = "beat";
static const std::string suspensionPrefix = "l/";

/// Bounds the tasks of a job, and with them the memory that a record can make a node take.
static constexpr std::int64_t maxTasks = 1'000'000;
/// Bounds the resources of a task and the durations of a step in milliseconds, so that sums over
/// all tasks of a job don't overflow.
static constexpr std::int64_t maxAmount = 1'000'000'000'000;
/// Bounds run numbers and times of the wall clock in milliseconds: the next run, and the time in
/// microseconds, have to be representable too.
static constexpr std::int64_t maxNumber = 9'000'000'000'000'000;
/// Bounds the terms of owners. Run numbers are a multiple of the term.
static constexpr std::int64_t maxTerm = maxAmount;

/// Adds the customer of a job, if it has one.
static void encodeCustomer(const Core::CustomerId &customer, Json::Value &value)
{
    if (!customer.isEmpty())
        value["cu"] = customer.text();
}

static Core::CustomerId decodeCustomer(const Json::Value &value)
{
    return Core::CustomerId(value["cu"].asString());
}

/// The value of a whole number from 0 to \p max, or 0 if it is absent. \throws Core::FormatError
static std::int64_t numberUpTo(const Json::Value &value, std::int64_t max, const char *what)
{
    if (value.isNull())
        return 0;
    if (!value.isInt64() || value.asInt64() < 0 || value.asInt64() > max)
        throw Core::FormatError("decode record", what, "the number is out of range");
    return value.asInt64();
}

static std::int64_t requiredNumberUpTo(const Json::Value &object, const char *name,
                                       std::int64_t max)
{
    Core::Json::integerMember(object, name);
    return numberUpTo(object[name], max, name);
}

/// Returns processors, memory and accelerators in turn.
static Json::Value encodeAmount(const Core::Resources &amount)
{
    Json::Value value(Json::arrayValue);
    value.append(Json::Int64(amount.milliCores));
    value.append(Json::Int64(amount.mebibytes));
    value.append(Json::Int64(amount.accelerators));
    return value;
}

static Core::Resources decodeAmount(const Json::Value &value)
{
    if (value.isNull())
        return {};
    return { numberUpTo(value[0], maxNumber, "ru"), numberUpTo(value[1], maxNumber, "ru"),
             numberUpTo(value[2], maxNumber, "ru") };
}

static Json::Value encodeStep(const StepSpec &step)
{
    Json::Value value(Json::objectValue);
    value["n"] = step.taskCount;
    value["c"] = Json::Int64(step.need.milliCores);
    value["m"] = Json::Int64(step.need.mebibytes);
    if (step.need.accelerators != 0)
        value["g"] = Json::Int64(step.need.accelerators);
    value["e"] = Json::Int64(step.estimateMs);
    for (const int dependency : step.after)
        value["a"].append(dependency);
    if (step.isCheckpointing)
        value["cp"] = true;
    if (step.isGang)
        value["ga"] = true;
    if (step.isRackSensitive)
        value["rs"] = true;
    if (!step.requiredLabel.empty())
        value["rl"] = step.requiredLabel;
    if (!step.dataRack.empty())
        value["dr"] = step.dataRack;
    if (step.maxPerWorker != 0)
        value["mw"] = step.maxPerWorker;
    if (step.isSpeculative)
        value["sp"] = true;
    if (step.isLongRunning)
        value["lr"] = true;
    if (!step.image.empty())
        value["im"] = step.image;
    if (step.tailTargetMs != 0)
        value["tt"] = Json::Int64(step.tailTargetMs);
    if (step.isBestEffort)
        value["fi"] = true;
    if (step.maxUnavailable != 0)
        value["mm"] = step.maxUnavailable;
    return value;
}

/// The steps that must end before the step with index \p step; only earlier ones are valid.
static std::vector<int> decodeDependencies(const Json::Value &value, std::size_t step)
{
    std::vector<int> after;
    if (!value.isNull() && !value.isArray())
        throw Core::FormatError("decode record", "a", "the member is no array");
    for (const Json::Value &dependency : value) {
        const bool isEarlier = dependency.isInt() && dependency.asInt() >= 0
            && static_cast<std::size_t>(dependency.asInt()) < step;
        if (!isEarlier)
            throw Core::FormatError("decode record", "a", "no earlier step is named");
        after.push_back(dependency.asInt());
    }
    return after;
}

static StepSpec decodeStep(const Json::Value &value, std::size_t index)
{
    StepSpec step;
    step.taskCount = static_cast<int>(numberUpTo(value["n"], maxTasks, "n"));
    step.need.milliCores = numberUpTo(value["c"], maxAmount, "c");
    step.need.mebibytes = numberUpTo(value["m"], maxAmount, "m");
    step.need.accelerators = numberUpTo(value["g"], maxAmount, "g");
    step.estimateMs = numberUpTo(value["e"], maxAmount, "e");
    step.after = decodeDependencies(value["a"], index);
    step.isCheckpointing = value["cp"].asBool();
    step.isGang = value["ga"].asBool();
    step.isRackSensitive = value["rs"].asBool();
    step.requiredLabel = value["rl"].asString();
    step.dataRack = value["dr"].asString();
    step.maxPerWorker = value["mw"].asInt();
    step.isSpeculative = value["sp"].asBool();
    step.isLongRunning = value["lr"].asBool();
    step.image = value["im"].asString();
    step.tailTargetMs = numberUpTo(value["tt"], maxAmount, "tt");
    step.isBestEffort = value["fi"].asBool();
    step.maxUnavailable = value["mm"].asInt();
    return step;
}

static StoredRecord encode(const Submission &submission)
{
    Json::Value value(Json::objectValue);
    value["q"] = submission.queue.id.text();
    value["qs"] = submission.queue.service.text();
    value["qp"] = submission.queue.priority;
    value["qa"] = submission.queue.attemptLimit;
    value["qf"] = submission.queue.stretch;
    value["qx"] = Json::Int64(submission.queue.objectiveBaseMs);
    value["t"] = Json::Int64(submission.submittedUnixMs);
    encodeCustomer(submission.customer, value);
    value["p"] = submission.spec.payload;
    value["s"] = Json::Value(Json::arrayValue);
    for (const StepSpec &step : submission.spec.steps)
        value["s"].append(encodeStep(step));
    if (submission.spec.isScheduled()) {
        value["rc"] = Json::Int64(submission.spec.repeatCount);
        value["rf"] = Json::Int64(submission.spec.firstDueUnixMs);
        value["ri"] = Json::Int64(submission.spec.intervalMs);
    }
    return { "s/" + submission.id.text(), Core::Json::write(value) };
}

static Submission decodeSubmission(const JobId &id, const Json::Value &value)
{
    Submission submission;
    submission.id = id;
    submission.queue.id = QueueId(Core::Json::stringMember(value, "q"));
    submission.queue.service = ServiceId(Core::Json::stringMember(value, "qs"));
    submission.queue.priority = value["qp"].asInt();
    submission.queue.attemptLimit = value["qa"].asInt();
    submission.queue.stretch = value["qf"].asDouble();
    submission.queue.objectiveBaseMs = value["qx"].asInt64();
    submission.submittedUnixMs = requiredNumberUpTo(value, "t", maxNumber);
    submission.customer = decodeCustomer(value);
    submission.spec.payload = Core::Json::stringMember(value, "p");
    std::int64_t tasks = 0;
    for (const Json::Value &step : Core::Json::arrayMember(value, "s")) {
        submission.spec.steps.push_back(decodeStep(step, submission.spec.steps.size()));
        tasks += submission.spec.steps.back().taskCount;
    }
    if (tasks > maxTasks)
        throw Core::FormatError("decode record", id.text(), "the job has too many tasks");
    submission.spec.repeatCount = numberUpTo(value["rc"], JobSpec::maxRepeatCount, "rc");
    submission.spec.firstDueUnixMs = value["rf"].asInt64();
    submission.spec.intervalMs = value["ri"].asInt64();
    return submission;
}

static StoredRecord encode(const AcceptedJob &accepted)
{
    Json::Value value(Json::objectValue);
    value["q"] = accepted.queue.text();
    if (accepted.isScheduled)
        value["r"] = true;
    encodeCustomer(accepted.customer, value);
    return { "q/" + accepted.id.text(), Core::Json::write(value) };
}

static AcceptedJob decodeAcceptedJob(const JobId &id, const Json::Value &value)
{
    return { id, QueueId(Core::Json::stringMember(value, "q")), value["r"].asBool(),
             decodeCustomer(value) };
}

static Json::Value encodeRuns(const std::set<std::int64_t> &runs)
{
    Json::Value value(Json::arrayValue);
    for (const std::int64_t run : runs)
        value.append(Json::Int64(run));
    return value;
}

static std::set<std::int64_t> decodeRuns(const Json::Value &value)
{
    std::set<std::int64_t> runs;
    for (const Json::Value &run : value)
        runs.insert(run.asInt64());
    return runs;
}

/// Number of elements of a crash history without and with a run in doubt; the excused runs follow
/// if there are any.
static constexpr Json::ArrayIndex sizeWithoutRunInDoubt = 3;
static constexpr Json::ArrayIndex sizeWithRunInDoubt = 8;

static Json::Value encodeCrashHistory(int index, const CrashHistory &history)
{
    Json::Value value(Json::arrayValue);
    value.append(index);
    value.append(encodeRuns(history.lostRuns()));
    Json::Value crashes(Json::arrayValue);
    for (const SuspectedCrash &crash : history.crashes()) {
        crashes.append(crash.worker.text());
        crashes.append(Json::Int64(crash.run));
        crashes.append(crash.wasOnlySuspect);
    }
    value.append(crashes);
    if (const std::optional<RunInDoubt> &run = history.runInDoubt()) {
        value.append(run->worker.text());
        value.append(Json::Int64(run->run));
        value.append(run->isOnlySuspect);
        value.append(run->address);
        value.append(Json::Int64(run->processStartUnixMs));
    }
    if (!history.excusedRuns().empty())
        value.append(encodeRuns(history.excusedRuns()));
    return value;
}

static CrashHistory decodeCrashHistory(const Json::Value &value)
{
    std::vector<SuspectedCrash> crashes;
    const Json::Value &list = value[2];
    for (Json::ArrayIndex i = 0; i + 2 < list.size(); i += 3)
        crashes.push_back(
            { Core::VmId(list[i].asString()), list[i + 1].asInt64(), list[i + 2].asBool() });
    std::optional<RunInDoubt> runInDoubt;
    const bool hasRunInDoubt = value.size() >= sizeWithRunInDoubt;
    if (hasRunInDoubt)
        runInDoubt = RunInDoubt { value[4].asInt64(), Core::VmId(value[3].asString()),
                                  value[6].asString(), value[7].asInt64(), value[5].asBool() };
    const Json::Value &excused = value[hasRunInDoubt ? sizeWithRunInDoubt : sizeWithoutRunInDoubt];
    return { std::move(crashes), decodeRuns(value[1]), std::move(runInDoubt), decodeRuns(excused) };
}

/// Up to this many abandoned runs are written one by one, as all were formerly; nodes of an earlier
/// version read only these.
static constexpr std::size_t maxListedAbandoned = 64;

/// Returns index and run number of each task, in turn.
static Json::Value encodeAbandoned(const std::map<int, std::int64_t> &runs)
{
    Json::Value value(Json::arrayValue);
    for (const auto &[index, run] : runs) {
        value.append(index);
        value.append(Json::Int64(run));
    }
    return value;
}

/// Returns first index, last index and run number of each range of tasks that are abandoned up to
/// the same run, in turn. Where the fate of many runs is unknown, it is so for a whole step.
static Json::Value encodeAbandonedRanges(const std::map<int, std::int64_t> &runs)
{
    Json::Value value(Json::arrayValue);
    for (auto first = runs.begin(); first != runs.end();) {
        auto last = first;
        auto next = std::next(last);
        while (next != runs.end() && next->first == last->first + 1
               && next->second == first->second)
            last = next++;
        value.append(first->first);
        value.append(last->first);
        value.append(Json::Int64(first->second));
        first = next;
    }
    return value;
}

static void decodeAbandoned(const Json::Value &list, const Json::Value &ranges, StepProgress &step)
{
    for (Json::ArrayIndex i = 0; i + 1 < list.size(); i += 2)
        step.abandonedRuns[list[i].asInt()] = numberUpTo(list[i + 1], maxNumber, "run");
    for (Json::ArrayIndex i = 0; i + 2 < ranges.size(); i += 3) {
        const std::int64_t first = numberUpTo(ranges[i], maxTasks, "task");
        const std::int64_t last = numberUpTo(ranges[i + 1], maxTasks, "task");
        const std::int64_t run = numberUpTo(ranges[i + 2], maxNumber, "run");
        for (std::int64_t index = first; index <= last; ++index)
            step.abandonedRuns[static_cast<int>(index)] = run;
    }
}

/// Positions of the elements of an encoded step.
static constexpr Json::ArrayIndex abandonedElement = 2;
static constexpr Json::ArrayIndex crashHistoriesElement = 3;
static constexpr Json::ArrayIndex abandonedRangesElement = 4;

static Json::Value encodeStepProgress(const StepProgress &step)
{
    std::string bits;
    for (const bool isDone : step.isDone)
        bits += isDone ? '1' : '0';
    Json::Value value(Json::arrayValue);
    value.append(bits);
    Json::Value failures(Json::arrayValue);
    for (const auto &[index, runs] : step.failedRuns) {
        for (const std::int64_t run : runs) {
            failures.append(index);
            failures.append(Json::Int64(run));
        }
    }
    value.append(failures);
    const bool isListed = step.abandonedRuns.size() <= maxListedAbandoned;
    value.append(isListed ? encodeAbandoned(step.abandonedRuns) : Json::Value(Json::arrayValue));
    for (const auto &[index, history] : step.crashHistories)
        value[crashHistoriesElement].append(encodeCrashHistory(index, history));
    if (!isListed)
        value[abandonedRangesElement] = encodeAbandonedRanges(step.abandonedRuns);
    return value;
}

static StepProgress decodeStepProgress(const Json::Value &value)
{
    StepProgress step;
    for (const char bit : value[0].asString())
        step.isDone.push_back(bit == '1');
    const Json::Value &failures = value[1];
    for (Json::ArrayIndex i = 0; i + 1 < failures.size(); i += 2)
        step.failedRuns[failures[i].asInt()].insert(failures[i + 1].asInt64());
    decodeAbandoned(value[abandonedElement], value[abandonedRangesElement], step);
    for (const Json::Value &history : value[crashHistoriesElement])
        step.crashHistories.emplace(history[0].asInt(), decodeCrashHistory(history));
    return step;
}

/// Up to this many ended occurrences are written one by one, as all were formerly; nodes of an
/// earlier version read only these.
static constexpr std::int64_t maxListedEnded = 64;

static void encodeEnded(const OccurrenceSet &ended, Json::Value &value)
{
    const bool isListed = ended.count() <= maxListedEnded;
    for (const auto &[first, last] : ended.ranges()) {
        if (!isListed) {
            value["er"].append(first);
            value["er"].append(last);
            continue;
        }
        for (int occurrence = first; occurrence <= last; ++occurrence)
            value["eo"].append(occurrence);
    }
}

static OccurrenceSet decodeEnded(const Json::Value &value)
{
    OccurrenceSet ended;
    const auto number = [](const Json::Value &element) {
        return static_cast<int>(numberUpTo(element, JobSpec::maxRepeatCount, "occurrence"));
    };
    for (const Json::Value &occurrence : value["eo"])
        ended.insert(number(occurrence));
    const Json::Value &ranges = value["er"];
    for (Json::ArrayIndex i = 0; i + 1 < ranges.size(); i += 2) {
        const int first = number(ranges[i]);
        const int last = number(ranges[i + 1]);
        if (last < first)
            throw Core::FormatError("decode record", "er", "a range ends before it begins");
        ended.insert(first, last);
    }
    return ended;
}

static StoredRecord encode(const ProgressRecord &record)
{
    const JobProgress &progress = record.progress;
    Json::Value value(Json::objectValue);
    value["s"] = static_cast<int>(progress.state);
    if (progress.isFinal()) {
        value["t"] = Json::Int64(progress.endedUnixMs);
        encodeCustomer(record.customer, value);
        if (record.remainingUse != Core::Resources())
            value["ru"] = encodeAmount(record.remainingUse);
    }
    for (const auto &[occurrence, steps] : progress.occurrences) {
        Json::Value &list = value["o"][std::to_string(occurrence)];
        for (const StepProgress &step : steps)
            list.append(encodeStepProgress(step));
    }
    encodeEnded(progress.endedOccurrences, value);
    for (const Core::VmId &worker : record.workers)
        value["w"].append(worker.text());
    return { "p/" + record.id.text(), Core::Json::write(value) };
}

/// Begins the element of a list of workers that tells the numbers of started tasks. A node of an
/// earlier version takes the element for a worker that never answers, and so waits for all leases.
static constexpr char startedTasksMark = '#';

static std::string encodeStartedTasks(const std::vector<int> &startedTasks)
{
    std::string text;
    for (const int count : startedTasks)
        text += (text.empty() ? startedTasksMark : ',') + std::to_string(count);
    return text;
}

static std::vector<int> decodeStartedTasks(const std::string &text)
{
    std::vector<int> startedTasks;
    std::size_t begin = 1;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::int64_t count = std::stoll(text.substr(begin, end - begin));
        if (count < 0 || count > maxTasks)
            throw Core::FormatError("decode workers", text, "the number is out of range");
        startedTasks.push_back(static_cast<int>(count));
        begin = end + 1;
    }
    return startedTasks;
}

static StoredRecord encode(const JobWorkers &record)
{
    Json::Value value(Json::arrayValue);
    for (const Core::VmId &worker : record.workers)
        value.append(worker.text());
    if (!record.startedTasks.empty())
        value.append(encodeStartedTasks(record.startedTasks));
    return { "w/" + record.id.text(), Core::Json::write(value) };
}

static JobWorkers decodeWorkers(const JobId &id, const Json::Value &value)
{
    if (!value.isArray())
        throw Core::FormatError("decode workers", id.text(), "expected an array");
    JobWorkers record { id, {} };
    for (const Json::Value &element : value) {
        const std::string text = element.asString();
        if (text.starts_with(startedTasksMark))
            record.startedTasks = decodeStartedTasks(text);
        else
            record.workers.insert(Core::VmId(text));
    }
    return record;
}

static ProgressRecord decodeProgress(const JobId &id, const Json::Value &value)
{
    ProgressRecord record;
    record.id = id;
    JobProgress &progress = record.progress;
    const std::int64_t state = Core::Json::integerMember(value, "s");
    if (state < 0 || state > static_cast<int>(JobState::Cancelled))
        throw Core::FormatError("decode progress", id.text(), "the state is unknown");
    progress.state = static_cast<JobState>(state);
    progress.endedUnixMs = numberUpTo(value["t"], maxNumber, "t");
    const Json::Value &occurrences = value["o"];
    for (const std::string &name : occurrences.getMemberNames()) {
        std::vector<StepProgress> &steps = progress.occurrences[std::stoi(name)];
        for (const Json::Value &step : occurrences[name])
            steps.push_back(decodeStepProgress(step));
    }
    progress.endedOccurrences = decodeEnded(value);
    record.customer = decodeCustomer(value);
    record.remainingUse = decodeAmount(value["ru"]);
    for (const Json::Value &worker : value["w"])
        record.workers.insert(Core::VmId(worker.asString()));
    return record;
}

static StoredRecord encode(const OwnerClaim &claim)
{
    Json::Value value(Json::objectValue);
    value["n"] = claim.node;
    value["t"] = Json::Int64(claim.term);
    value["r"] = claim.isReleased;
    if (claim.maxLeaseAfterProofMs != 0)
        value["l"] = Json::Int64(claim.maxLeaseAfterProofMs);
    if (claim.areCommandsBound)
        value["b"] = true;
    if (!claim.address.empty())
        value["a"] = claim.address;
    return { ownerKey, Core::Json::write(value) };
}

static StoredRecord encode(const LeaseSuspension &suspension)
{
    const std::string key = suspensionPrefix + suspension.worker.text();
    if (suspension.isLifted)
        return { key, "" };
    Json::Value value(Json::objectValue);
    value["t"] = Json::Int64(suspension.term);
    value["m"] = Json::Int64(suspension.remainingMs);
    return { key, Core::Json::write(value) };
}

static LeaseSuspension decodeSuspension(const StoredRecord &record)
{
    LeaseSuspension suspension;
    suspension.worker = Core::VmId(record.key.substr(suspensionPrefix.size()));
    suspension.isLifted = record.value.empty();
    if (suspension.isLifted)
        return suspension;
    const Json::Value value = Core::Json::parse(record.value, record.key);
    suspension.term = requiredNumberUpTo(value, "t", maxTerm);
    suspension.remainingMs = requiredNumberUpTo(value, "m", maxAmount);
    return suspension;
}

/// The progress comes last: a node of an earlier version takes an empty value under any key of a
/// job for the deletion of the job, and then learns of its end.
static std::vector<StoredRecord> encode(const EndedJob &ended)
{
    const std::string &id = ended.id.text();
    ProgressRecord final { ended.id, {} };
    final.progress.state = ended.state;
    final.progress.endedUnixMs = ended.endedUnixMs;
    final.customer = ended.customer;
    final.remainingUse = ended.remainingUse;
    std::vector<StoredRecord> records { { "q/" + id, "" }, { "s/" + id, "" }, { "w/" + id, "" } };
    if (ended.state == JobState::Cancelled)
        records.push_back({ "c/" + id, "" });
    records.push_back(encode(final));
    return records;
}

std::vector<StoredRecord> encodeRecord(const JobRecord &record)
{
    if (const auto *ended = std::get_if<EndedJob>(&record))
        return encode(*ended);
    if (const auto *submission = std::get_if<Submission>(&record))
        return { encode(*submission),
                 encode(AcceptedJob { submission->id, submission->queue.id,
                                      submission->spec.isScheduled(), submission->customer }) };
    if (const auto *accepted = std::get_if<AcceptedJob>(&record))
        return { encode(*accepted) };
    if (const auto *cancellation = std::get_if<Cancellation>(&record))
        return { { "c/" + cancellation->id.text(), "{}" } };
    if (const auto *progress = std::get_if<ProgressRecord>(&record))
        return { encode(*progress) };
    if (const auto *workers = std::get_if<JobWorkers>(&record))
        return { encode(*workers) };
    if (const auto *claim = std::get_if<OwnerClaim>(&record))
        return { encode(*claim) };
    if (const auto *suspension = std::get_if<LeaseSuspension>(&record))
        return { encode(*suspension) };
    if (const auto *heartbeat = std::get_if<Heartbeat>(&record))
        return { { heartbeatKey, "{\"t\":" + std::to_string(heartbeat->term) + '}' } };
    const std::string &id = std::get<JobDeletion>(record).id.text();
    return { { "c/" + id, "" },
             { "p/" + id, "" },
             { "q/" + id, "" },
             { "s/" + id, "" },
             { "w/" + id, "" } };
}

JobRecord decodeRecord(const StoredRecord &record)
{
    const std::string &key = record.key;
    try {
        if (key.starts_with(suspensionPrefix))
            return decodeSuspension(record);
        const bool isJobKey = key.size() > 2 && key[1] == '/';
        const JobId id(isJobKey ? key.substr(2) : std::string());
        if (isJobKey && record.value.empty() && key[0] != 'p')
            return RecordRemoval { id };
        if (isJobKey && record.value.empty())
            return JobDeletion { id };
        const Json::Value value = Core::Json::parse(record.value, key);
        if (key == heartbeatKey)
            return Heartbeat { Core::Json::integerMember(value, "t") };
        if (key == ownerKey)
            return OwnerClaim { Core::Json::stringMember(value, "n"),
                                requiredNumberUpTo(value, "t", maxTerm),
                                Core::Json::booleanMember(value, "r"),
                                numberUpTo(value["l"], maxAmount, "l"),
                                value.isMember("b") && Core::Json::booleanMember(value, "b"),
                                value.isMember("a") ? Core::Json::stringMember(value, "a")
                                                    : std::string() };
        if (isJobKey && key[0] == 'q')
            return decodeAcceptedJob(id, value);
        if (isJobKey && key[0] == 's')
            return decodeSubmission(id, value);
        if (isJobKey && key[0] == 'c')
            return Cancellation { id };
        if (isJobKey && key[0] == 'p')
            return decodeProgress(id, value);
        if (isJobKey && key[0] == 'w')
            return decodeWorkers(id, value);
    } catch (const Core::FormatError &) {
        throw;
    } catch (const std::exception &error) {
        // A value has another type than expected, or the name of an occurrence isn't a number.
        throw Core::FormatError("decode record", key, error.what());
    }
    throw Core::FormatError("decode record", key, "the key is unknown");
}

bool isSchedulingDetail(const std::string &key)
{
    // Submissions and lists of workers; `q/`, from which nodes tell that a job was accepted, comes
    // before them.
    return key >= "s/";
}

} // namespace Jobs
