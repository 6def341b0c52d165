// Admission of requests on one entry process: bounded class queues with guaranteed floors, fairness
// between callers, and retry budgets.
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

/// Names one waiting or running request; chosen by the caller of Admission.
using Token = std::uint64_t;

struct QueuedRequest
{
    Token token = 0;
    ClassId requestClass;
    CallerId caller;
    Time deadline{}; // refused if it cannot be answered by then
};

enum class Refusal {
    None,
    UnknownClass,
    QueueFull,
    DeadlineUnreachable, // the predicted wait exceeds the time left
    CallerShare, // the caller has more than its share of a busy class
};

/// The machine-readable word of a refusal, such as "queue-full".
const char *refusalWord(Refusal refusal);

// [2] Admission

struct AdmissionSettings
{
    int maxQueued = 4000; // over all classes
    double smoothing = 0.05; // weight of a new service time in the moving average
    Duration initialServiceTime = milliseconds(20); // estimate before the first request has ended
    double callerShareAbove = 0.5; // part of a class's queue bound above which callerShare counts
};

/// Divides the own slots of each service among its classes. A class below its floor goes first;
/// what the floors leave over is divided by weight; unused floors may be used by the others.
/// Within a class the caller with the fewest running requests goes first.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings) : settings_(settings) { }

    /// Takes the classes of a sheet over. Classes that are gone keep their waiting requests.
    void applySheet(const Sheet &sheet);
    /// Makes a class known that no sheet defines, with floor 0 and weight 1.
    void ensureClass(const RequestClass &definition);
    bool knows(const ClassId &id) const { return classes_.count(id) > 0; }
    std::size_t classCount() const { return classes_.size(); }
    /// Own slots of a service that may be used now; 0 makes every request of it wait.
    void setSlots(const ServiceId &service, int slots);

    /// Whether a request would be queued now.
    Refusal check(const ClassId &id, const CallerId &caller, Time deadline, Time now) const;
    /// Queues a request, or says why not.
    Refusal offer(const QueuedRequest &request, Time now);
    /// Queues a request that was admitted before, in front of its caller's others.
    void requeue(const QueuedRequest &request);

    /// The request that should run next when the service has a free slot, without removing it.
    std::optional<QueuedRequest> peek(const ServiceId &service) const;
    /// Removes the request that peek() returned and counts it as running.
    void start(const QueuedRequest &request);
    /// A running request ended. `serviceTime` is none if it did not run.
    void finish(const ClassId &id, const CallerId &caller, std::optional<Duration> serviceTime);
    /// Removes and returns the waiting requests whose deadline has passed or can no longer be met.
    std::vector<Token> expire(Time now);
    /// Removes a waiting request; false if it is not waiting.
    bool remove(const ClassId &id, const CallerId &caller, Token token);

    /// Expected time in the queue for a new request of the class.
    Duration predictedWait(const ClassId &id) const;
    /// The mean time that a request of the class occupies a slot.
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
        std::map<CallerId, CallerQueue> callers; // only those with waiting or running requests
        int queued = 0;
        int running = 0;
        Duration serviceTime{};
    };

    ClassQueue *find(const ClassId &id);
    const ClassQueue *find(const ClassId &id) const;
    const ClassQueue *nextClass(const ServiceId &service) const;
    double guaranteedSlots(const ClassQueue &queue) const;
    Duration waitBehind(const ClassQueue &queue, double queuedAhead) const;
    static void dropIdleCaller(ClassQueue &queue, const CallerId &caller);

    AdmissionSettings settings_;
    std::map<ClassId, ClassQueue> classes_;
    std::map<ServiceId, std::vector<ClassId>> services_;
    std::map<ServiceId, int> slots_;
    int queued_ = 0;
};

// [3] Retry budget

struct RetryBudgetSettings
{
    double ratio = 0.1; // retries per first attempt
    double burst = 5; // retries that may be saved up
    std::size_t maxCallers = 10000; // callers remembered for each class
};

/// Limits retries to a share of the first attempts, for each class and for each caller in it, so
/// that a failing endpoint does not multiply the load.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings) : settings_(settings) { }

    void firstAttempt(const ClassId &id, const CallerId &caller);
    /// Takes one retry from both budgets; false if either is empty.
    bool tryRetry(const ClassId &id, const CallerId &caller);

private:
    struct ClassBudget
    {
        double tokens = 0;
        std::unordered_map<CallerId, double> callers;
    };

    RetryBudgetSettings settings_;
    std::map<ClassId, ClassBudget> classes_;
};

} // namespace monsoonledge
