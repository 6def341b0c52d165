#include "fleet/handover_p.h"

#include "fleet/keys_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration CheckInterval = milliseconds(500);
// A process that the store serves hears from it at least each 1.2 s, the longest wait of its
// watches. After this time it probes the
// others, so that it knows before 2.6 s, when it would report not ready, whether it can forward.
constexpr Duration MaxContactAge = milliseconds(1500);
constexpr Duration ProbeTimeout = milliseconds(900); // two attempts
constexpr Duration ForwardingEnd = seconds(5); // without a forwarded request
constexpr Duration PublishRetryDelay = seconds(1);
// Processes that start at the same time have written their keys by the end of the spread.
constexpr Duration FirstReadDelay = milliseconds(500);
constexpr Duration FirstReadSpread = seconds(2);
constexpr Duration ReadRetryDelay = seconds(2);
constexpr Duration ReadInterval = seconds(18); // 20 s with half of the spread
constexpr Duration ReadSpread = seconds(4);
constexpr Duration MaxAnswerTime = seconds(1); // limit for what a sender may ask for
constexpr int MaxAnswering = 256; // requests of other processes at the same time

/// Reads a value of the form "ADDRESS DOMAIN". Returns nothing if it is malformed.
std::optional<RelayPeer> decodePeer(const KeyValue &item)
{
    RelayPeer peer;
    peer.name = item.key.substr(keys::EntryPrefix.size());
    const std::size_t space = item.value.find(' ');
    if (space != std::string::npos)
        peer.domain = DomainId(item.value.substr(space + 1));
    try {
        peer.address = parseAddress(item.value.substr(0, space));
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
    return peer.name.empty() || peer.address.port == 0 ? std::nullopt
                                                       : std::optional<RelayPeer>(peer);
}

RelayAnswer::Kind submissionAnswer(JobAnswer outcome)
{
    switch (outcome) {
    case JobAnswer::Accepted:
        return RelayAnswer::Kind::Stored;
    case JobAnswer::NotAccepted:
        return RelayAnswer::Kind::NotStored;
    case JobAnswer::Overloaded:
        return RelayAnswer::Kind::Overloaded;
    default:
        return RelayAnswer::Kind::Unknown;
    }
}

RelayAnswer::Kind cancellationAnswer(JobAnswer outcome)
{
    if (outcome == JobAnswer::NotFound)
        return RelayAnswer::Kind::NoSuchJob;
    return outcome == JobAnswer::Accepted ? RelayAnswer::Kind::Stored : RelayAnswer::Kind::Unknown;
}

RelayAnswer::Kind stateAnswer(JobAnswer outcome)
{
    if (outcome == JobAnswer::NotFound)
        return RelayAnswer::Kind::NoSuchJob;
    return outcome == JobAnswer::Accepted ? RelayAnswer::Kind::State : RelayAnswer::Kind::Unknown;
}

} // namespace

Handover::Handover(const FleetSettings &settings, const FleetPorts &ports, Hooks hooks,
                   std::uint64_t seed)
    : settings_(settings), ports_(ports), hooks_(std::move(hooks)), random_(seed),
      relay_(RelayPeers(settings.name, settings.domain), *ports.relay, ports.log)
{
    ports_.relay->setReceiver(
            {[this](const RelayRequest &request, const RelayRespond &respond, Time now) {
                 return answer(request, respond, now);
             },
             [this](const std::string &detail) {
                 log(LogLevel::Warning, "relay-message-invalid",
                     "a message of another process cannot be read; its link is closed",
                     {{"error", detail}});
             }});
}

Handover::~Handover()
{
    ports_.relay->setReceiver({});
}

void Handover::log(LogLevel level, const std::string &event, const std::string &message,
                   std::vector<std::pair<std::string, std::string>> fields)
{
    ports_.log({level, event, message, std::move(fields)});
}

void Handover::start()
{
    publish();
    scheduleRead(FirstReadDelay, FirstReadSpread);
    scheduleCheck();
}

void Handover::drain()
{
    isDraining_ = true;
    Transaction transaction;
    transaction.removals.push_back(keys::entry(settings_.name));
    // If this call fails, the others skip this process once it no longer answers.
    ports_.store.commit(transaction, [](const KeyValueResult &, Time) {});
}

// Discovery

void Handover::publish()
{
    if (isDraining_)
        return;
    Transaction transaction;
    transaction.puts.push_back({keys::entry(settings_.name),
                                settings_.relayAddress.str() + ' ' + settings_.domain.str(),
                                LeaseId{}});
    ports_.store.commit(transaction, [this, alive = std::weak_ptr<int>(alive_)](
                                             const KeyValueResult &result, Time) {
        if (alive.expired() || result.status == KeyValueStatus::Ok)
            return;
        ports_.timers.after(PublishRetryDelay, [this, alive](Time) {
            if (!alive.expired())
                publish();
        });
    });
}

/// Reads the other processes' addresses after the earliest delay and a random part of the spread.
void Handover::scheduleRead(Duration earliest, Duration spread)
{
    const Duration delay = earliest
                           + Duration(static_cast<std::int64_t>(
                                   random_.below(static_cast<std::uint64_t>(spread.count()))));
    ports_.timers.after(delay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        if (canAnswer(now))
            readPage({}, {});
        else
            scheduleRead(ReadRetryDelay, ReadRetryDelay);
    });
}

void Handover::readPage(const std::string &afterKey, std::vector<RelayPeer> peers)
{
    ports_.store.range(keys::EntryPrefix, afterKey,
                       [this, peers = std::move(peers), alive = std::weak_ptr<int>(alive_)](
                               const KeyValueResult &result, Time) mutable {
                           if (alive.expired())
                               return;
                           if (result.status != KeyValueStatus::Ok) {
                               scheduleRead(ReadRetryDelay, ReadRetryDelay);
                               return;
                           }
                           for (const KeyValue &item : result.items) {
                               if (const std::optional<RelayPeer> peer = decodePeer(item))
                                   peers.push_back(*peer);
                               else
                                   log(LogLevel::Warning, "relay-address-unreadable",
                                       "the relay address of a process is malformed; it gets no "
                                       "requests",
                                       {{"key", item.key}});
                           }
                           if (result.hasMore && !result.items.empty()) {
                               readPage(result.items.back().key, std::move(peers));
                               return;
                           }
                           relay_.peers().replace(std::move(peers));
                           scheduleRead(ReadInterval, ReadSpread);
                       });
}

// Forwarding

void Handover::scheduleCheck()
{
    ports_.timers.after(CheckInterval, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        check(now);
        scheduleCheck();
    });
}

void Handover::check(Time now)
{
    if (!isDraining_ && hasPeers() && now - hooks_.lastStoreContact() >= MaxContactAge)
        relay_.forward(
                {}, false, now + ProbeTimeout, [](const RelayAnswer &, Time) {}, now);
    if (isForwarding_ && now - forwardedAt_ >= ForwardingEnd) {
        isForwarding_ = false;
        log(LogLevel::Info, "relay-ended", "no request was handed over for 5 s",
            {{"requests", std::to_string(forwardedSince_)},
             {"forMs", std::to_string(wholeMilliseconds(forwardedAt_ - forwardingSince_))}});
    }
}

void Handover::forward(const RelayRequest &request, bool maybeStored, Time deadline,
                       Relay::Done done, Time now)
{
    if (!isForwarding_) {
        isForwarding_ = true;
        forwardingSince_ = now;
        forwardedSince_ = 0;
        const Duration contactAge = now - hooks_.lastStoreContact();
        log(LogLevel::Info, "relay-began",
            "the store does not serve this host; requests are handed over to other processes",
            {{"peers", std::to_string(relay_.peers().size())},
             {"contactAgoMs", std::to_string(wholeMilliseconds(contactAge))}});
    }
    ++forwardedSince_;
    forwardedAt_ = now;
    relay_.forward(request, maybeStored, deadline, std::move(done), now);
}

// Requests of other processes

bool Handover::canAnswer(Time now) const
{
    return now - hooks_.lastStoreContact() < MaxContactAge && !hooks_.isStoreStalled(now);
}

/// Answers from the store, or that it cannot be reached. Never forwards the request again.
bool Handover::answer(const RelayRequest &request, const RelayRespond &respond, Time now)
{
    std::optional<JobSpec> spec;
    if (request.kind == RelayRequest::Kind::Submit) {
        spec = decodeSpec(request.spec);
        if (!spec || spec->id != request.job) {
            log(LogLevel::Warning, "relay-message-invalid",
                "a message of another process cannot be read; its link is closed",
                {{"error", "malformed specification"}, {"job", request.job.str()}});
            return false;
        }
    }
    if (!canAnswer(now) || answering_ >= MaxAnswering) {
        respond({RelayAnswer::Kind::NotReachable});
        return true;
    }
    if (request.kind == RelayRequest::Kind::Probe) {
        respond({RelayAnswer::Kind::Reachable});
        return true;
    }
    ++answering_;
    ++answered_;
    const auto reply = [this, respond, alive = std::weak_ptr<int>(alive_)](
                               RelayAnswer::Kind kind, JobState state = JobState::Pending) {
        if (!alive.expired())
            --answering_;
        respond({kind, state});
    };
    const Time deadline = now + std::min<Duration>(request.timeLeft, MaxAnswerTime);
    if (spec)
        hooks_.submit(
                *spec, deadline,
                [reply](JobAnswer outcome, Time) { reply(submissionAnswer(outcome)); }, now);
    else if (request.kind == RelayRequest::Kind::Cancel)
        hooks_.cancel(
                request.job, deadline,
                [reply](JobAnswer outcome, Time) { reply(cancellationAnswer(outcome)); }, now);
    else
        hooks_.state(
                request.job,
                [reply](JobAnswer outcome, JobState state, Time) {
                    reply(stateAnswer(outcome), state);
                },
                now);
    return true;
}

} // namespace monsoonledge
