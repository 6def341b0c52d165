#include "jobs/jobs.h"

#include <cbor.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>

namespace monsoonledge {

namespace {

using Json = nlohmann::json;

// Records are arrays instead of maps: they are written many times a second, and their size costs
// processor time and traffic between failure domains.
constexpr int SpecFormat = 1;
constexpr int ProgressFormat = 1;
constexpr int BacklogFormat = 1;
constexpr std::uint64_t MaxCount = 1000000; // of lost starts
constexpr std::size_t MaxLosses = 64; // of one task
constexpr unsigned char CborArrayOfThree = 0x83; // first byte of a CBOR array of three items

enum LossFlag : unsigned {
    Confirmed = 1,
    Reachable = 2,
    OnlySuspect = 4,
    Correlated = 8,
};

enum StepFlag : unsigned {
    Checkpointing = 1,
    Gang = 2,
    Colocated = 4,
    Speculative = 8,
    LongRunning = 16,
    BestEffort = 32,
};

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/// Throws std::exception if the bytes are malformed.
Json parseRecord(const std::string &bytes)
{
    checkCbor(bytes); // from_cbor() recurses on nested items
    return Json::from_cbor(bytes);
}

unsigned stepFlags(const StepSpec &step)
{
    unsigned flags = 0;
    flags |= step.checkpointing ? Checkpointing : 0U;
    flags |= step.gang ? Gang : 0U;
    flags |= step.colocated ? Colocated : 0U;
    flags |= step.speculative ? Speculative : 0U;
    flags |= step.longRunning ? LongRunning : 0U;
    flags |= step.bestEffort ? BestEffort : 0U;
    return flags;
}

Json encodeStep(const StepSpec &step)
{
    return Json::array({step.count, step.cpu.value, step.memory.value, step.accelerators,
                        wholeMilliseconds(step.estimate), step.after, stepFlags(step),
                        step.requirement, step.affinity, step.antiAffinity, step.image,
                        wholeMilliseconds(step.tailLatencyTarget), step.maxUnavailable});
}

/// Throws std::out_of_range if the duration is out of range.
Duration decodeDuration(const Json &json)
{
    const auto count = json.get<std::int64_t>();
    if (count < 0 || count > MaxDurationMs)
        throw std::out_of_range("a duration is out of range");
    return milliseconds(count);
}

StepSpec decodeStep(const Json &json)
{
    StepSpec step;
    step.count = json.at(0).get<int>();
    step.cpu.value = json.at(1).get<std::uint64_t>();
    step.memory.value = json.at(2).get<std::uint64_t>();
    step.accelerators = json.at(3).get<int>();
    step.estimate = decodeDuration(json.at(4));
    step.after = json.at(5).get<std::vector<int>>();
    const auto flags = json.at(6).get<unsigned>();
    step.checkpointing = (flags & Checkpointing) != 0;
    step.gang = (flags & Gang) != 0;
    step.colocated = (flags & Colocated) != 0;
    step.speculative = (flags & Speculative) != 0;
    step.longRunning = (flags & LongRunning) != 0;
    step.bestEffort = (flags & BestEffort) != 0;
    step.requirement = json.at(7).get<std::string>();
    step.affinity = json.at(8).get<std::string>();
    step.antiAffinity = json.at(9).get<int>();
    step.image = json.at(10).get<std::string>();
    step.tailLatencyTarget = decodeDuration(json.at(11));
    step.maxUnavailable = json.at(12).get<int>();
    return step;
}

/// Appends CBOR items to a string. Progress records are written so often that building a tree of
/// values first would cost several times more.
class CborWriter
{
public:
    void beginArray(std::size_t size) { append(cbor_encode_array_start, size); }
    void add(std::uint64_t number) { append(cbor_encode_uint, number); }
    void add(const std::string &text)
    {
        append(cbor_encode_string_start, text.size());
        bytes_ += text;
    }
    std::string take() { return std::move(bytes_); }

private:
    template<typename Encode, typename Value> void append(Encode encode, Value value)
    {
        std::array<unsigned char, 9> head{}; // the longest one: a type and a number of 8 bytes
        const std::size_t size = encode(value, head.data(), head.size());
        bytes_.append(reinterpret_cast<const char *>(head.data()), size);
    }

    std::string bytes_;
};

void encodeLoss(const StartLoss &loss, CborWriter &out)
{
    unsigned flags = 0;
    flags |= loss.isConfirmed ? Confirmed : 0U;
    flags |= loss.wasReachable ? Reachable : 0U;
    flags |= loss.isOnlySuspect ? OnlySuspect : 0U;
    flags |= loss.isCorrelated ? Correlated : 0U;
    out.beginArray(8);
    out.add(loss.run.value);
    out.add(loss.worker.str());
    out.add(loss.incarnation.value);
    out.add(loss.address);
    out.add(loss.place);
    out.add(loss.orderedAt.value);
    out.add(static_cast<std::uint64_t>(loss.end));
    out.add(static_cast<std::uint64_t>(flags));
}

void encodeTask(const TaskProgress &task, CborWriter &out)
{
    if (task.phase == TaskPhase::Waiting && task.run.value == 0) {
        out.add(0); // short form; most tasks of a waiting job have it
        return;
    }
    const bool isSuspect = task.lostStarts > 0 || task.crashes > 0;
    const bool hasLosses = isSuspect && (!task.losses.empty() || task.orderedAt.value > 0);
    // 6 items are the form before losses were counted, 8 that before starts were confirmed, 9 that
    // before losses were described.
    const std::size_t items = hasLosses ? 11 : 9;
    out.beginArray(isSuspect ? items : 6);
    out.add(static_cast<std::uint64_t>(task.phase));
    out.add(task.run.value);
    out.add(static_cast<std::uint64_t>(task.failures));
    out.add(task.worker.str());
    out.add(task.incarnation.value);
    out.add(task.checkpoint);
    if (!isSuspect)
        return;
    out.add(static_cast<std::uint64_t>(task.lostStarts));
    out.add(static_cast<std::uint64_t>(task.crashes));
    out.add(static_cast<std::uint64_t>(task.startConfirmed ? 1 : 0));
    if (!hasLosses)
        return;
    out.add(task.orderedAt.value);
    out.beginArray(task.losses.size());
    for (const StartLoss &loss : task.losses)
        encodeLoss(loss, out);
}

Json encodeTerms(const QueueTerms &terms)
{
    return Json::array({terms.service.str(), terms.priority, terms.maxAttempts, terms.slackFactor,
                        wholeMilliseconds(terms.targetLatency)});
}

/// Throws std::exception if a value is not plausible.
QueueTerms decodeTerms(const Json &json)
{
    QueueTerms terms;
    terms.service = ServiceId(json.at(0).get<std::string>());
    terms.priority = json.at(1).get<int>();
    terms.maxAttempts = json.at(2).get<int>();
    terms.slackFactor = json.at(3).get<double>();
    terms.targetLatency = decodeDuration(json.at(4));
    const bool isPlausible = std::abs(terms.priority) <= MaxQueueNumber && terms.maxAttempts >= 1
                             && terms.maxAttempts <= MaxQueueNumber && terms.slackFactor >= 0
                             && terms.slackFactor <= MaxSlackFactor;
    if (!isPlausible)
        throw std::out_of_range("terms of the queue out of range");
    return terms;
}

/// Throws std::exception if the item is not a plausible count.
int decodeCount(const Json &json)
{
    const auto count = json.get<std::uint64_t>();
    if (!json.is_number_unsigned() || count > MaxCount)
        throw std::out_of_range("count out of range");
    return static_cast<int>(count);
}

/// Throws std::exception if the item is not a plausible time.
WallMilliseconds decodeTimestamp(const Json &json)
{
    const auto value = json.get<std::uint64_t>();
    if (!json.is_number_unsigned() || value > MaxTimestampMs)
        throw std::out_of_range("time out of range");
    return {value};
}

/// Throws std::exception if the item is not the record of a loss.
StartLoss decodeLoss(const Json &json)
{
    StartLoss loss;
    loss.run.value = json.at(0).get<std::uint64_t>();
    loss.worker = WorkerId(json.at(1).get<std::string>());
    loss.incarnation.value = json.at(2).get<std::uint64_t>();
    loss.address = json.at(3).get<std::string>();
    loss.place = json.at(4).get<std::string>();
    loss.orderedAt = decodeTimestamp(json.at(5));
    const int end = decodeCount(json.at(6));
    if (end > static_cast<int>(LossEnd::Removed))
        throw std::out_of_range("unknown end of a worker");
    loss.end = static_cast<LossEnd>(end);
    const auto flags = static_cast<unsigned>(decodeCount(json.at(7)));
    loss.isConfirmed = (flags & Confirmed) != 0;
    loss.wasReachable = (flags & Reachable) != 0;
    loss.isOnlySuspect = (flags & OnlySuspect) != 0;
    loss.isCorrelated = (flags & Correlated) != 0;
    return loss;
}

TaskProgress decodeTask(const Json &json)
{
    TaskProgress task;
    if (json.is_number())
        return task;
    const int phase = json.at(0).get<int>();
    if (phase < 0 || phase > static_cast<int>(TaskPhase::Failed))
        throw std::out_of_range("unknown task phase");
    task.phase = static_cast<TaskPhase>(phase);
    task.run.value = json.at(1).get<std::uint64_t>();
    task.failures = json.at(2).get<int>();
    task.worker = WorkerId(json.at(3).get<std::string>());
    task.incarnation.value = json.at(4).get<std::uint64_t>();
    task.checkpoint = json.at(5).get<std::string>();
    if (json.size() > 6) {
        task.lostStarts = decodeCount(json.at(6));
        task.crashes = decodeCount(json.at(7));
    }
    if (json.size() > 8)
        task.startConfirmed = decodeCount(json.at(8)) > 0;
    if (json.size() > 10) {
        task.orderedAt = decodeTimestamp(json.at(9));
        if (!json.at(10).is_array() || json.at(10).size() > MaxLosses)
            throw std::out_of_range("losses out of range");
        for (const Json &loss : json.at(10))
            task.losses.push_back(decodeLoss(loss));
    }
    return task;
}

} // namespace

std::string encodeSpec(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const StepSpec &step : spec.steps)
        steps.push_back(encodeStep(step));
    return toBytes(
            Json::array({SpecFormat, spec.id.str(), spec.queue.str(), spec.payload, steps,
                         spec.occurrences, spec.firstDue.value, wholeMilliseconds(spec.interval),
                         spec.submitted.value, encodeTerms(spec.terms)}));
}

std::optional<JobSpec> decodeSpec(const std::string &bytes)
{
    try {
        const Json json = parseRecord(bytes);
        if (json.at(0).get<int>() != SpecFormat)
            return std::nullopt;
        JobSpec spec;
        spec.id = JobId(json.at(1).get<std::string>());
        spec.queue = QueueId(json.at(2).get<std::string>());
        spec.payload = json.at(3).get<std::string>();
        for (const Json &step : json.at(4))
            spec.steps.push_back(decodeStep(step));
        spec.occurrences = json.at(5).get<int>();
        spec.firstDue.value = json.at(6).get<std::uint64_t>();
        spec.interval = decodeDuration(json.at(7));
        spec.submitted.value = json.at(8).get<std::uint64_t>();
        if (json.size() > 9)
            spec.terms = decodeTerms(json.at(9));
        else // the form before the terms were stored
            spec.terms.maxAttempts = 2; // tolerates one faulty worker
        // Another writer may have changed the record.
        const bool isValid = validateJob(spec).empty() && spec.submitted.value <= MaxTimestampMs;
        return isValid ? std::optional<JobSpec>(spec) : std::nullopt;
    } catch (const std::exception &) { // the caller logs the key of the record
        return std::nullopt;
    }
}

std::string encodeProgress(const JobProgress &progress)
{
    CborWriter out;
    out.beginArray(3);
    out.add(ProgressFormat);
    out.add(static_cast<std::uint64_t>(progress.state));
    out.beginArray(progress.tasks.size());
    for (const TaskProgress &task : progress.tasks)
        encodeTask(task, out);
    return out.take();
}

std::optional<JobState> decodeState(const std::string &progressBytes)
{
    // encodeProgress() begins with the head of an array of three items, the format, and the state
    // as a number below 24, which CBOR stores in one byte.
    if (progressBytes.size() < 4 || static_cast<unsigned char>(progressBytes[0]) != CborArrayOfThree
        || progressBytes[1] != ProgressFormat)
        return std::nullopt;
    const auto state = static_cast<unsigned char>(progressBytes[2]);
    if (state > static_cast<unsigned char>(JobState::Cancelled))
        return std::nullopt;
    return static_cast<JobState>(state);
}

std::optional<JobProgress> decodeProgress(const std::string &bytes)
{
    try {
        const Json json = parseRecord(bytes);
        const int state = json.at(1).get<int>();
        if (json.at(0).get<int>() != ProgressFormat || state < 0
            || state > static_cast<int>(JobState::Cancelled))
            return std::nullopt;
        JobProgress progress;
        progress.state = static_cast<JobState>(state);
        for (const Json &task : json.at(2))
            progress.tasks.push_back(decodeTask(task));
        return progress;
    } catch (const std::exception &) { // the caller logs the key of the record
        return std::nullopt;
    }
}

std::string encodeBacklog(const BacklogReport &report)
{
    Json jobs = Json::array();
    for (const auto &[queue, count] : report.jobs)
        jobs.push_back({queue.str(), count});
    Json record = Json::array({BacklogFormat, report.revision, jobs});
    // Code that does not know this item reads the first three only.
    if (!report.admission.empty())
        record.push_back(Json::binary({report.admission.begin(), report.admission.end()}));
    return toBytes(record);
}

std::optional<BacklogReport> decodeBacklog(const std::string &bytes)
{
    try {
        const Json json = parseRecord(bytes);
        if (json.at(0).get<int>() != BacklogFormat)
            return std::nullopt;
        BacklogReport report;
        report.revision = json.at(1).get<std::uint64_t>();
        for (const Json &row : json.at(2))
            report.jobs[QueueId(row.at(0).get<std::string>())] = row.at(1).get<int>();
        if (json.size() > 3 && json.at(3).is_binary()) {
            const auto &section = json.at(3).get_binary();
            report.admission.assign(section.begin(), section.end());
        }
        return report;
    } catch (const std::exception &) { // the caller logs the key of the record
        return std::nullopt;
    }
}

} // namespace monsoonledge
