// Admission of requests in one entry process: bounded queues of request classes with guaranteed
// floors, fairness between callers, and retry budgets.
//
// Sections:
//   [1] Queue
//   [2] Admission
//   [3] Retry budget
#pragma once

#include "base/base.h"
#include "sheet/sheet.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Queue

/// Identifies one waiting or running request; chosen by the user of Admission.
using RequestToken = std::uint64_t;

struct QueuedRequest
{
    RequestToken token = 0;
    ClassId requestClass;
    CallerId caller;
    Time deadline{}; // the request is refused if it cannot be answered by then
};

enum class Refusal {
    None,
    UnknownClass,
    QueueFull,
    DeadlineUnreachable, // the predicted wait exceeds the time left
    CallerShare, // the caller has more than its share of a busy class's queue
};

/// The machine-readable reason of a refusal, such as "queue-full".
const char *refusalReason(Refusal refusal);

// [2] Admission

struct AdmissionSettings
{
    int maxQueued = 4000; // in all classes together
    double smoothing = 0.05; // weight of a new service time in the moving average
    Duration initialServiceTime = milliseconds(20); // estimate before the first request has ended
    /// callerShare applies if the predicted wait of the class exceeds this fraction of the time to
    /// the request's deadline.
    double callerShareWaitFraction = 0.5;
};

/// Divides this process's slots of each service among the service's classes. Classes below their
/// floor go first. The slots above the floors are divided by weight, and slots of a floor that is
/// not used are available to the other classes. Within a class the caller with the fewest running
/// requests goes first.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings) : settings_(settings) { }

    /// Adds and updates the classes of a sheet. Classes that the sheet no longer defines stay, with
    /// their waiting requests.
    void applySheet(const Sheet &sheet);
    /// Adds a class or updates its definition. A class that no sheet defines is added with floor 0
    /// and weight 1.
    void addOrUpdateClass(const RequestClass &definition);
    bool hasClass(const ClassId &id) const { return classes_.count(id) > 0; }
    std::size_t classCount() const { return classes_.size(); }
    /// Sets the number of slots of a service that this process may use now. With 0 slots, requests
    /// are queued without a check of their expected wait.
    void setSlots(const ServiceId &service, int slots);

    /// Whether a request would be queued now (None), or why not.
    Refusal check(const ClassId &id, const CallerId &caller, Time deadline, Time now) const;
    /// Queues a request, or says why not.
    Refusal offer(const QueuedRequest &request, Time now);
    /// Queues a request that was admitted before, ahead of the other requests of its caller.
    void requeue(const QueuedRequest &request);

    /// Returns the request that should run next in a free slot of the service, without removing it.
    std::optional<QueuedRequest> peek(const ServiceId &service) const;
    /// Removes the request that peek() returned and counts it as running.
    void start(const QueuedRequest &request);
    /// Counts a running request as ended. `serviceTime` is none if there was no whole answer.
    void finish(const ClassId &id, const CallerId &caller, std::optional<Duration> serviceTime);
    /// Removes and returns the waiting requests whose deadline has passed or cannot be met any
    /// more.
    std::vector<RequestToken> expire(Time now);
    /// Removes a waiting request; false if it is not waiting.
    bool remove(const ClassId &id, const CallerId &caller, RequestToken token);

    /// Expected queueing time of a new request of the class.
    Duration predictedWait(const ClassId &id) const;
    /// Moving average of the time that a request of the class occupies a slot.
    Duration serviceTime(const ClassId &id) const;
    int queued() const { return queued_; }
    int queued(const ClassId &id) const;
    int running(const ClassId &id) const;
    std::vector<ServiceId> services() const;

private:
    struct CallerQueue
    {
        std::deque<QueuedRequest> waiting;
        int running = 0;
    };
    struct ClassQueue
    {
        RequestClass definition;
        std::map<CallerId, CallerQueue> callers; // those with waiting or running requests
        int queued = 0;
        int running = 0;
        Duration serviceTime{};
    };

    ClassQueue *find(const ClassId &id);
    const ClassQueue *find(const ClassId &id) const;
    /// The class with waiting requests whose request should run next; null if there is none.
    const ClassQueue *selectClass(const ServiceId &service) const;
    /// Slots that the class gets in competition with the other active classes of its service.
    double guaranteedSlots(const ClassQueue &queue) const;
    /// Minimum time to the deadline at which a waiting request is still started.
    Duration minTimeToDeadline(const ClassQueue &queue) const;
    /// Expected wait of a request behind this number of queued requests of its class.
    Duration expectedWait(const ClassQueue &queue, double queuedAhead) const;
    static void removeIdleCaller(ClassQueue &queue, const CallerId &caller);

    AdmissionSettings settings_;
    std::map<ClassId, ClassQueue> classes_;
    std::map<ServiceId, std::vector<ClassId>> services_;
    std::map<ServiceId, int> slots_;
    int queued_ = 0;
};

// [3] Retry budget

struct RetryBudgetSettings
{
    double ratio = 0.1; // retries allowed per first attempt
    double burst = 5; // maximum number of unused retries that a budget keeps
    std::size_t maxCallers = 10000; // maximum number of callers remembered per class
};

/// Token buckets that limit retries to a share of the first attempts, for each class and for each
/// caller in it, so that a failing endpoint does not multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings) : settings_(settings) { }

    /// Adds the share of one first attempt to the budgets of the class and the caller.
    void recordFirstAttempt(const ClassId &id, const CallerId &caller);
    /// Takes one retry from both budgets; false if either is empty.
    bool tryTakeRetry(const ClassId &id, const CallerId &caller);

private:
    struct ClassBudget
    {
        double tokens = 0; // retries available to the class
        std::unordered_map<CallerId, double> callers; // retries available to each caller
    };

    RetryBudgetSettings settings_;
    std::map<ClassId, ClassBudget> classes_;
};

} // namespace monsoonledge
