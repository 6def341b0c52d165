// Calls of clients that this process cannot serve from the store and hands over to another one.
#include "fleet/handover_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

// Time that the repetition of a write without an answer leaves to other processes. It is longer
// than the timeout of a call to the store, so that the last repetition ends within the deadline.
constexpr Duration ForwardingReserve = milliseconds(1100);

RelayRequest relayRequest(RelayRequest::Kind kind, const JobId &id)
{
    RelayRequest request;
    request.kind = kind;
    request.job = id;
    return request;
}

using AnswerCallback = std::function<void(JobAnswer, Time)>;

/// A callback for two attempts at the same call. Passes on the first outcome that is certain, or
/// Unknown when neither is.
AnswerCallback firstCertain(AnswerCallback done)
{
    return [done = std::move(done), openAttempts = std::make_shared<int>(2)](JobAnswer outcome,
                                                                             Time now) {
        if (*openAttempts == 0)
            return;
        const bool isCertain = outcome == JobAnswer::Accepted || outcome == JobAnswer::NotFound;
        *openAttempts = isCertain ? 0 : *openAttempts - 1;
        if (*openAttempts == 0)
            done(isCertain ? outcome : JobAnswer::Unknown, now);
    };
}

/// The one of two states of a job that it reaches later.
JobState laterState(JobState a, JobState b)
{
    if (isFinal(a) || isFinal(b))
        return isFinal(a) ? a : b;
    return a == JobState::Active ? a : b;
}

} // namespace

void FleetNode::makeHandover()
{
    if (settings_.relayAddress.port == 0 || !ports_.relay)
        return;
    Handover::Hooks hooks;
    hooks.lastStoreContact = [this] { return lastStoreContact(); };
    hooks.isStoreStalled = [this](Time now) { return writer_.isStalled(now); };
    hooks.submit = [this](const JobSpec &spec, Time deadline,
                          std::function<void(JobAnswer, Time)> done,
                          Time now) { submitHere(spec, deadline, std::move(done), now); };
    hooks.cancel = [this](const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                          Time now) { cancelHere(id, deadline, std::move(done), now); };
    hooks.state = [this](const JobId &id, StateCallback done, Time now) {
        stateHere(id, std::move(done), now);
    };
    handover_ = std::make_unique<Handover>(settings_, ports_, std::move(hooks), random_.next());
}

bool FleetNode::hasRelayPeers() const
{
    return handover_ && handover_->hasPeers();
}

std::map<std::string, std::uint64_t> FleetNode::forwardedRequests() const
{
    return handover_ ? handover_->forwarded() : std::map<std::string, std::uint64_t>();
}

std::uint64_t FleetNode::answeredRequests() const
{
    return handover_ ? handover_->answered() : 0;
}

void FleetNode::submit(const JobSpec &spec, Time deadline,
                       std::function<void(JobAnswer, Time)> done, Time now)
{
    if (!hasRelayPeers()) {
        submitHere(spec, deadline, std::move(done), now);
        return;
    }
    // Without contact to the store, submitHere() answers at once.
    submitHere(
            spec, std::max(now, deadline - ForwardingReserve),
            [this, spec, deadline, done = std::move(done)](JobAnswer outcome, Time eventTime) {
                // The store would give another process the same shortage to decide by.
                if (outcome == JobAnswer::Accepted || outcome == JobAnswer::Overloaded)
                    done(outcome, eventTime);
                else if (outcome == JobAnswer::Unknown)
                    repeatSubmission(spec, deadline, done, eventTime);
                else
                    forwardSubmission(spec, false, deadline, done, eventTime);
            },
            now);
}

/// Repeats a submission without an answer here and through another process: the store may reject
/// this host, or be slow and lose answers for all.
void FleetNode::repeatSubmission(const JobSpec &spec, Time deadline,
                                 std::function<void(JobAnswer, Time)> done, Time now)
{
    const AnswerCallback onAnswer = firstCertain(std::move(done));
    forwardSubmission(spec, true, deadline, onAnswer, now);
    submitHere(spec, deadline, onAnswer, now);
}

void FleetNode::forwardSubmission(const JobSpec &spec, bool maybeStored, Time deadline,
                                  std::function<void(JobAnswer, Time)> done, Time now)
{
    RelayRequest request = relayRequest(RelayRequest::Kind::Submit, spec.id);
    request.spec = encodeSpec(withTerms(spec));
    handover_->forward(
            request, maybeStored, deadline,
            [this, id = spec.id, queue = spec.queue,
             done = std::move(done)](const RelayAnswer &answer, Time eventTime) {
                if (answer.kind == RelayAnswer::Kind::Stored) {
                    jobView_.setSpec(id, queue);
                    done(JobAnswer::Accepted, eventTime);
                    return;
                }
                if (answer.kind == RelayAnswer::Kind::Overloaded) {
                    done(JobAnswer::Overloaded, eventTime);
                    return;
                }
                done(answer.kind == RelayAnswer::Kind::NotStored ? JobAnswer::NotAccepted
                                                                 : JobAnswer::Unknown,
                     eventTime);
            },
            now);
}

void FleetNode::cancel(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                       Time now)
{
    if (!hasRelayPeers() || jobView_.isCancelled(id)) {
        cancelHere(id, deadline, std::move(done), now);
        return;
    }
    if (!reachesStore(now)) {
        forwardCancellation(id, deadline, std::move(done), now);
        return;
    }
    cancelHere(
            id, std::max(now, deadline - ForwardingReserve),
            [this, id, deadline, done = std::move(done)](JobAnswer outcome, Time eventTime) {
                if (outcome != JobAnswer::Unknown) {
                    done(outcome, eventTime);
                    return;
                }
                const AnswerCallback onAnswer = firstCertain(done);
                forwardCancellation(id, deadline, onAnswer, eventTime);
                cancelHere(id, deadline, onAnswer, eventTime);
            },
            now);
}

void FleetNode::forwardCancellation(const JobId &id, Time deadline,
                                    std::function<void(JobAnswer, Time)> done, Time now)
{
    handover_->forward(
            relayRequest(RelayRequest::Kind::Cancel, id), true, deadline,
            [this, id, done = std::move(done)](const RelayAnswer &answer, Time eventTime) {
                if (answer.kind == RelayAnswer::Kind::Stored) {
                    if (jobView_.contains(id))
                        jobView_.setCancelled(id);
                    done(JobAnswer::Accepted, eventTime);
                    return;
                }
                done(answer.kind == RelayAnswer::Kind::NoSuchJob ? JobAnswer::NotFound
                                                                 : JobAnswer::Unknown,
                     eventTime);
            },
            now);
}

void FleetNode::state(const JobId &id, StateCallback done, Time now, Time deadline)
{
    const std::optional<JobState> known = jobView_.state(id);
    const bool isCurrent = known && (isFinal(*known) || knowsAllProgress());
    if (!hasRelayPeers() || isCurrent) {
        stateHere(id, std::move(done), now);
        return;
    }
    if (!reachesStore(now) || writer_.isStalled(now)) {
        forwardStateQuery(id, deadline, std::move(done), now);
        return;
    }
    stateHere(
            id,
            [this, id, deadline, done = std::move(done)](JobAnswer outcome, JobState state,
                                                         Time eventTime) {
                if (outcome == JobAnswer::Unknown)
                    forwardStateQuery(id, deadline, done, eventTime);
                else
                    done(outcome, state, eventTime);
            },
            now);
}

/// If no other process knows the state either, the last known one is returned, as without peers.
void FleetNode::forwardStateQuery(const JobId &id, Time deadline, StateCallback done, Time now)
{
    handover_->forward(
            relayRequest(RelayRequest::Kind::State, id), true, deadline,
            [this, id, done = std::move(done)](const RelayAnswer &answer, Time eventTime) {
                if (answer.kind == RelayAnswer::Kind::NoSuchJob) {
                    done(JobAnswer::NotFound, JobState::Pending, eventTime);
                    return;
                }
                const std::optional<JobState> known = jobView_.state(id);
                if (answer.kind == RelayAnswer::Kind::State) {
                    // The other process shows its last known state if it cannot read the record.
                    const JobState state = laterState(answer.state, known.value_or(answer.state));
                    if (known && !coordinator_)
                        jobView_.setState(id, state);
                    done(JobAnswer::Accepted, state, eventTime);
                    return;
                }
                done(known ? JobAnswer::Accepted : JobAnswer::Unknown,
                     known.value_or(JobState::Pending), eventTime);
            },
            now);
}

} // namespace monsoonledge
