// What an entry process does to forward requests and to answer those of others: it publishes its
// relay address, reads those of the others, probes, and answers. Private to src/fleet.
#pragma once

#include "fleet/fleet.h"
#include "fleet/relay.h"

namespace monsoonledge {

class Handover
{
public:
    /// The process's own access to the store. None of these calls forwards a request.
    struct Hooks
    {
        std::function<Time()> lastStoreContact;
        std::function<bool(Time now)> isStoreStalled; // writes are not answered
        std::function<void(const JobSpec &, Time deadline, std::function<void(JobAnswer, Time)>,
                           Time now)>
                submit;
        std::function<void(const JobId &, Time deadline, std::function<void(JobAnswer, Time)>,
                           Time now)>
                cancel;
        std::function<void(const JobId &, FleetNode::StateCallback, Time now)> state;
    };

    Handover(const FleetSettings &settings, const FleetPorts &ports, Hooks hooks,
             std::uint64_t seed);
    ~Handover();
    Handover(const Handover &) = delete;
    Handover &operator=(const Handover &) = delete;

    void start();
    /// Removes the relay address from the store. Requests of others are still answered.
    void drain();

    bool hasPeers() const { return !relay_.peers().isEmpty(); }
    /// True if a request could be handed over within the last seconds.
    bool canForward(Time now) const { return relay_.canForward(now); }
    void forward(const RelayRequest &request, bool maybeStored, Time deadline, Relay::Done done,
                 Time now);

    /// Requests that this process forwarded, by outcome.
    const std::map<std::string, std::uint64_t> &forwarded() const { return relay_.counts(); }
    /// Requests of other processes, without probes.
    std::uint64_t answered() const { return answered_; }

private:
    void publish();
    void scheduleRead(Duration earliest, Duration spread);
    void readPage(const std::string &afterKey, std::vector<RelayPeer> peers);
    void scheduleCheck();
    void check(Time now);
    bool canAnswer(Time now) const;
    bool answer(const RelayRequest &request, const RelayRespond &respond, Time now);
    void log(LogLevel level, const std::string &event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {});

    FleetSettings settings_;
    FleetPorts ports_;
    Hooks hooks_;
    Random random_;
    Relay relay_;
    bool isDraining_ = false;
    bool isForwarding_ = false; // between the log lines of its begin and end
    std::uint64_t forwardedSince_ = 0; // requests since the begin
    Time forwardedAt_{}; // the last one
    Time forwardingSince_{};
    int answering_ = 0; // requests of other processes that are not answered yet
    std::uint64_t answered_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace monsoonledge
