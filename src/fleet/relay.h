// Forwarding of clients' requests to another entry process while the store rejects this host.
//
// A request is never forwarded twice in a row: the process that receives it answers it from the
// store, or answers that it does not reach the store either. The sender may then send it to one
// other process.
//
// Sections:
//   [1] Messages and port
//   [2] Order of the peers
//   [3] Requests in flight
#pragma once

#include "jobs/jobs.h"
#include "ports/ports.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Messages and port

/// An entry process that answers forwarded requests.
struct RelayPeer
{
    std::string name;
    Address address; // of its relay port
    DomainId domain; // empty: not known
};

struct RelayRequest
{
    enum class Kind {
        Submit,
        Cancel,
        State,
        Probe, // asks only whether the receiver reaches the store
    };
    Kind kind = Kind::Probe;
    JobId job; // empty for a probe
    std::string spec; // of a submission: the encoded specification of the job
    Duration timeLeft{}; // until the sender stops waiting, at the time of sending
};

struct RelayAnswer
{
    enum class Kind {
        Stored, // of a submission or a cancellation
        NotStored, // and never will be by this request
        Unknown, // may be stored
        NoSuchJob,
        State, // `state` is the job's state
        Reachable, // answers a probe
        NotReachable, // the receiver does not reach the store and has not tried it
        Overloaded, // of a submission: not stored, and never will be, for lack of capacity
    };
    Kind kind = Kind::Unknown;
    JobState state = JobState::Pending;
};

enum class RelayDelivery {
    Answered,
    NotSent, // no byte of the request was sent
    Lost, // may have been received; no answer within the timeout, or the link was lost
};

struct RelayResult
{
    RelayDelivery delivery = RelayDelivery::Lost;
    RelayAnswer answer; // set if Answered
    std::string detail; // cause of a failure, for logs
    bool isTimedOut = false; // the timeout has passed; other failures may show earlier
};

using RelayRespond = std::function<void(const RelayAnswer &)>;

/// Receives what other processes send to this one.
struct RelayReceiver
{
    /// Returns false if the request cannot be read; its link is then closed. `respond` may be
    /// called later, at most once.
    std::function<bool(const RelayRequest &, RelayRespond respond, Time now)> request;
    /// A message could not be read; its link is being closed.
    std::function<void(const std::string &detail)> invalid;
};

/// Sends requests to other entry processes and receives theirs. Links are opened on demand.
class RelayPort
{
public:
    virtual ~RelayPort() = default;
    /// Calls `done` once, after `timeout` at the latest. Never sends a request twice.
    virtual void send(const RelayPeer &peer, const RelayRequest &request, Duration timeout,
                      std::function<void(const RelayResult &, Time now)> done) = 0;
    /// Without a receiver, links of other processes are closed at their first request.
    virtual void setReceiver(RelayReceiver receiver) = 0;
};

// [2] Order of the peers

/// The peers of one process and what their last answers were.
class RelayPeers
{
public:
    /// `self` is the name of this process, which is left out of its own peers.
    RelayPeers(std::string self, DomainId domain)
        : self_(std::move(self)), domain_(std::move(domain))
    { }

    /// Replaces all peers. Failures of those that stay are kept.
    void replace(std::vector<RelayPeer> peers);
    bool isEmpty() const { return peers_.empty(); }
    std::size_t size() const { return peers_.size(); }

    /// The peer to try next, or nothing if all have failed recently. Peers whose last request has
    /// failed come last, then those of this failure domain first. A second attempt prefers another
    /// domain than that of `tried`, because the store may reject a whole domain. The rest of the
    /// order differs by process, so that processes do not all choose the same peer.
    std::optional<RelayPeer> choose(const std::optional<RelayPeer> &tried, Time now) const;

    /// Returns true if it is the first failure since the last success.
    bool onFailed(const std::string &name, Time now);
    void onSucceeded(const std::string &name);

private:
    struct Peer
    {
        RelayPeer peer;
        std::uint64_t rank = 0; // place among peers that are otherwise equal
        std::optional<Time> failedAt; // last request, if it failed
    };

    std::string self_;
    DomainId domain_;
    std::map<std::string, Peer> peers_; // by name
};

// [3] Requests in flight

/// Forwards requests: chooses the peers, limits the number of requests, and derives from the
/// answers what may be told to the caller.
class Relay
{
public:
    /// The answer is Stored, NoSuchJob, State or Reachable if a peer has said so. For a submission,
    /// NotStored means that it was certainly not stored. Everything else is Unknown.
    using Done = std::function<void(const RelayAnswer &, Time now)>;

    Relay(RelayPeers peers, RelayPort &port, LogHook log);
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// `maybeStored`: an earlier attempt to store this submission was not answered.
    void forward(const RelayRequest &request, bool maybeStored, Time deadline, Done done, Time now);
    /// True if a peer has recently answered as one that reaches the store.
    bool canForward(Time now) const;
    RelayPeers &peers() { return peers_; }
    const RelayPeers &peers() const { return peers_; }
    /// Requests by outcome, without probes.
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    struct Pending
    {
        RelayRequest request;
        Time deadline;
        Done done;
        bool maybeStored = false;
        int attempts = 0;
        std::optional<RelayPeer> tried; // the last peer
    };

    void attempt(const std::shared_ptr<Pending> &pending, Time now);
    void onResult(const std::shared_ptr<Pending> &pending, const RelayResult &result,
                  Duration timeout, Time now);
    void noteFailure(const RelayPeer &peer, const std::string &cause, Time now);
    void finish(const Pending &pending, const RelayAnswer &answer, Time now);
    void count(const RelayRequest &request, const std::string &outcome);

    RelayPeers peers_;
    RelayPort &port_;
    LogHook log_;
    int inFlight_ = 0;
    int failuresInARow_ = 0; // attempts since a peer last proved that it reaches the store
    Time nextTrialAt_{}; // of a request, while there are many of them
    std::optional<Time> lastReachedAt_; // when a peer last proved that it reaches the store
    std::map<std::string, std::uint64_t> counts_;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace monsoonledge
