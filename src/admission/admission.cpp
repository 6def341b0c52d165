#include "admission/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace monsoonledge {

const char *refusalReason(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::UnknownClass:
        return "unknown-class";
    case Refusal::QueueFull:
        return "queue-full";
    case Refusal::DeadlineUnreachable:
        return "deadline-unreachable";
    case Refusal::CallerShare:
        return "caller-share";
    }
    return "none";
}

void Admission::applySheet(const Sheet &sheet)
{
    for (const Service &service : sheet.services) {
        for (const RequestClass &definition : service.classes)
            addOrUpdateClass(definition);
    }
}

void Admission::addOrUpdateClass(const RequestClass &definition)
{
    const bool isNew = classes_.count(definition.id) == 0;
    ClassQueue &queue = classes_[definition.id];
    queue.definition = definition;
    if (!isNew)
        return;
    queue.serviceTime = settings_.initialServiceTime;
    services_[definition.service].push_back(definition.id);
}

void Admission::setSlots(const ServiceId &service, int slots)
{
    slots_[service] = slots;
}

Admission::ClassQueue *Admission::find(const ClassId &id)
{
    const auto found = classes_.find(id);
    return found == classes_.end() ? nullptr : &found->second;
}

const Admission::ClassQueue *Admission::find(const ClassId &id) const
{
    const auto found = classes_.find(id);
    return found == classes_.end() ? nullptr : &found->second;
}

double Admission::guaranteedSlots(const ClassQueue &queue) const
{
    const auto found = slots_.find(queue.definition.service);
    const double slots = found == slots_.end() ? 0 : found->second;
    double floors = 0;
    double weights = queue.definition.weight;
    for (const ClassId &id : services_.at(queue.definition.service)) {
        const ClassQueue &other = classes_.at(id);
        const bool active = other.queued > 0 || other.running > 0;
        if (&other == &queue || !active)
            continue;
        floors += other.definition.floor;
        weights += other.definition.weight;
    }
    const double unreserved = std::max(0.0, 1 - floors - queue.definition.floor);
    const double share = weights > 0 ? unreserved * queue.definition.weight / weights : 0;
    return slots * (queue.definition.floor + share);
}

Duration Admission::expectedWait(const ClassQueue &queue, double queuedAhead) const
{
    const double slots = guaranteedSlots(queue);
    const double ahead = queuedAhead + std::max(0.0, queue.running - slots + 1);
    if (ahead <= 0)
        return Duration::zero();
    if (slots <= 0)
        return minutes(1);
    const double serviceTime = static_cast<double>(queue.serviceTime.count());
    return Duration(static_cast<Duration::rep>(ahead * serviceTime / slots));
}

Duration Admission::minTimeToDeadline(const ClassQueue &queue) const
{
    // Without the bound of a quarter of the deadline, a period of slow answers could raise the mean
    // above every deadline. No request would run then, so the mean would never fall again.
    return std::min(queue.serviceTime, queue.definition.deadline / 4);
}

Duration Admission::predictedWait(const ClassId &id) const
{
    const ClassQueue *queue = find(id);
    return queue ? expectedWait(*queue, queue->queued) : Duration::zero();
}

Duration Admission::serviceTime(const ClassId &id) const
{
    const ClassQueue *queue = find(id);
    return queue ? queue->serviceTime : settings_.initialServiceTime;
}

Refusal Admission::check(const ClassId &id, const CallerId &caller, Time deadline, Time now) const
{
    const ClassQueue *queue = find(id);
    if (!queue)
        return Refusal::UnknownClass;
    if (queued_ >= settings_.maxQueued)
        return Refusal::QueueFull;
    // While there are no slots, as during startup, the request is queued and may wait until its
    // deadline.
    const auto slots = slots_.find(queue->definition.service);
    if (slots == slots_.end() || slots->second == 0)
        return Refusal::None;
    const auto callerEntry = queue->callers.find(caller);
    const int ownQueued = callerEntry == queue->callers.end()
                                  ? 0
                                  : static_cast<int>(callerEntry->second.waiting.size());
    const int otherCallers =
            static_cast<int>(queue->callers.size()) - (callerEntry == queue->callers.end() ? 0 : 1);
    // Callers take turns, so a request waits behind the earlier requests of its caller and, for
    // each of these and for itself, one request of every other caller.
    const int ahead = std::min(queue->queued, (ownQueued + 1) * (otherCallers + 1) - 1);
    const Duration wait = expectedWait(*queue, ahead);
    if (wait > Duration::zero() && now + wait + minTimeToDeadline(*queue) > deadline)
        return Refusal::DeadlineUnreachable;
    const double busyWaitMs = settings_.callerShareWaitFraction * toMilliseconds(deadline - now);
    const bool busy = toMilliseconds(expectedWait(*queue, queue->queued)) > busyWaitMs;
    const bool overShare = ownQueued + 1 > queue->definition.callerShare * (queue->queued + 1);
    if (otherCallers > 0 && busy && overShare)
        return Refusal::CallerShare;
    return Refusal::None;
}

Refusal Admission::offer(const QueuedRequest &request, Time now)
{
    const Refusal refusal = check(request.requestClass, request.caller, request.deadline, now);
    if (refusal != Refusal::None)
        return refusal;
    ClassQueue *queue = find(request.requestClass);
    queue->callers[request.caller].waiting.push_back(request);
    ++queue->queued;
    ++queued_;
    return Refusal::None;
}

void Admission::requeue(const QueuedRequest &request)
{
    ClassQueue *queue = find(request.requestClass);
    assert(queue);
    queue->callers[request.caller].waiting.push_front(request);
    ++queue->queued;
    ++queued_;
}

const Admission::ClassQueue *Admission::selectClass(const ServiceId &service) const
{
    const auto classes = services_.find(service);
    if (classes == services_.end())
        return nullptr;
    const auto slots = slots_.find(service);
    const double total = slots == slots_.end() ? 0 : slots->second;
    const ClassQueue *best = nullptr;
    bool bestBelowFloor = false;
    double bestRank = 0;
    for (const ClassId &id : classes->second) {
        const ClassQueue &queue = classes_.at(id);
        if (queue.queued == 0)
            continue;
        const double floorSlots = queue.definition.floor * total;
        const bool belowFloor = queue.running < floorSlots;
        const double slotsAboveFloor = queue.running - floorSlots + 1;
        const double rank = belowFloor ? queue.running / floorSlots
                                       : slotsAboveFloor / std::max(0.001, queue.definition.weight);
        if (!best || (belowFloor && !bestBelowFloor)
            || (belowFloor == bestBelowFloor && rank < bestRank)) {
            best = &queue;
            bestBelowFloor = belowFloor;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<QueuedRequest> Admission::peek(const ServiceId &service) const
{
    const ClassQueue *queue = selectClass(service);
    if (!queue)
        return std::nullopt;
    const CallerQueue *best = nullptr;
    for (const auto &item : queue->callers) {
        const CallerQueue &caller = item.second;
        if (caller.waiting.empty())
            continue;
        const bool fewer = !best || caller.running < best->running;
        const bool earlier = best && caller.running == best->running
                             && caller.waiting.front().deadline < best->waiting.front().deadline;
        if (fewer || earlier)
            best = &caller;
    }
    assert(best);
    return best->waiting.front();
}

void Admission::start(const QueuedRequest &request)
{
    ClassQueue *queue = find(request.requestClass);
    assert(queue);
    CallerQueue &caller = queue->callers.at(request.caller);
    assert(!caller.waiting.empty() && caller.waiting.front().token == request.token);
    caller.waiting.pop_front();
    ++caller.running;
    ++queue->running;
    --queue->queued;
    --queued_;
}

void Admission::removeIdleCaller(ClassQueue &queue, const CallerId &caller)
{
    const auto found = queue.callers.find(caller);
    if (found != queue.callers.end() && found->second.waiting.empty() && found->second.running == 0)
        queue.callers.erase(found);
}

void Admission::finish(const ClassId &id, const CallerId &caller,
                       std::optional<Duration> serviceTime)
{
    ClassQueue *queue = find(id);
    assert(queue && queue->running > 0);
    --queue->running;
    --queue->callers.at(caller).running;
    removeIdleCaller(*queue, caller);
    if (!serviceTime)
        return;
    const auto difference = static_cast<double>((*serviceTime - queue->serviceTime).count());
    queue->serviceTime += Duration(static_cast<Duration::rep>(settings_.smoothing * difference));
}

std::vector<RequestToken> Admission::expire(Time now)
{
    std::vector<RequestToken> expired;
    for (auto &item : classes_) {
        ClassQueue &queue = item.second;
        if (queue.queued == 0)
            continue;
        for (auto caller = queue.callers.begin(); caller != queue.callers.end();) {
            std::deque<QueuedRequest> &waiting = caller->second.waiting;
            const auto kept = std::stable_partition(
                    waiting.begin(), waiting.end(), [&](const QueuedRequest &request) {
                        return request.deadline > now + minTimeToDeadline(queue);
                    });
            for (auto request = kept; request != waiting.end(); ++request)
                expired.push_back(request->token);
            const int removed = static_cast<int>(waiting.end() - kept);
            waiting.erase(kept, waiting.end());
            queue.queued -= removed;
            queued_ -= removed;
            const bool idle = waiting.empty() && caller->second.running == 0;
            caller = idle ? queue.callers.erase(caller) : std::next(caller);
        }
    }
    return expired;
}

bool Admission::remove(const ClassId &id, const CallerId &caller, RequestToken token)
{
    ClassQueue *queue = find(id);
    if (!queue)
        return false;
    const auto found = queue->callers.find(caller);
    if (found == queue->callers.end())
        return false;
    std::deque<QueuedRequest> &waiting = found->second.waiting;
    const auto request = std::find_if(waiting.begin(), waiting.end(),
                                      [token](const auto &item) { return item.token == token; });
    if (request == waiting.end())
        return false;
    waiting.erase(request);
    --queue->queued;
    --queued_;
    removeIdleCaller(*queue, caller);
    return true;
}

int Admission::queued(const ClassId &id) const
{
    const ClassQueue *queue = find(id);
    return queue ? queue->queued : 0;
}

int Admission::running(const ClassId &id) const
{
    const ClassQueue *queue = find(id);
    return queue ? queue->running : 0;
}

std::vector<ServiceId> Admission::services() const
{
    std::vector<ServiceId> services;
    for (const auto &item : services_)
        services.push_back(item.first);
    return services;
}

void RetryBudget::recordFirstAttempt(const ClassId &id, const CallerId &caller)
{
    ClassBudget &budget = classes_[id];
    budget.tokens = std::min(settings_.burst, budget.tokens + settings_.ratio);
    // At the maximum, the budgets of all callers are discarded. This can only reduce the number of
    // retries.
    if (budget.callers.size() >= settings_.maxCallers && budget.callers.count(caller) == 0)
        budget.callers.clear();
    double &tokens = budget.callers[caller];
    tokens = std::min(settings_.burst, tokens + settings_.ratio);
}

bool RetryBudget::tryTakeRetry(const ClassId &id, const CallerId &caller)
{
    const auto budget = classes_.find(id);
    if (budget == classes_.end())
        return false;
    const auto callerEntry = budget->second.callers.find(caller);
    if (callerEntry == budget->second.callers.end() || callerEntry->second < 1
        || budget->second.tokens < 1)
        return false;
    callerEntry->second -= 1;
    budget->second.tokens -= 1;
    return true;
}

} // namespace monsoonledge
