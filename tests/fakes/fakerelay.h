// Links between the entry processes in virtual time, for forwarded requests.
//
// All processes of a test share one FakeRelayNet. Each has a FakeRelayPort, through which faults of
// that process's side are injected.
#pragma once

#include "fakes/faketimers.h"
#include "fleet/relay.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace monsoonledge {

class FakeRelayPort;

struct FakeRelayNet
{
    std::map<std::string, FakeRelayPort *> ports; // by address, of running processes
};

class FakeRelayPort : public RelayPort
{
public:
    FakeRelayPort(FakeRelayNet &net, Address address, FakeTimers &timers)
        : net_(net), address_(std::move(address)), timers_(timers)
    {
        net_.ports[address_.str()] = this;
    }
    ~FakeRelayPort() override { disconnect(); }

    /// The process is gone: connections to it are refused.
    void disconnect()
    {
        const auto found = net_.ports.find(address_.str());
        if (found != net_.ports.end() && found->second == this)
            net_.ports.erase(found);
    }

    Duration latency = milliseconds(1); // each way
    bool silent = false; // connections to this process stay open, nothing arrives
    bool losesAnswers = false; // requests are handled, the answers are lost
    Duration answerDelay{}; // answers arrive so much later
    bool garblesRequests = false; // what this process sends cannot be read
    int requestsSent = 0; // without probes
    int requestsReceived = 0; // without probes

    void send(const RelayPeer &peer, const RelayRequest &request, Duration timeout,
              std::function<void(const RelayResult &, Time now)> done) override
    {
        requestsSent += request.kind == RelayRequest::Kind::Probe ? 0 : 1;
        auto finish = [done = std::move(done), isDone = std::make_shared<bool>(false)](
                              const RelayResult &result, Time now) {
            if (!std::exchange(*isDone, true))
                done(result, now);
        };
        timers_.after(timeout, [finish](Time now) {
            finish({RelayDelivery::Lost, {}, "no answer"}, now);
        });
        const auto target = net_.ports.find(peer.address.str());
        if (target == net_.ports.end()) {
            timers_.after(latency, [finish](Time now) {
                finish({RelayDelivery::NotSent, {}, "refused"}, now);
            });
            return;
        }
        RelayRequest sent = request;
        if (garblesRequests)
            sent.spec = "garbled";
        timers_.clock().after(latency, [this, address = peer.address.str(), sent, finish] {
            const auto found = net_.ports.find(address);
            if (found != net_.ports.end())
                found->second->deliver(sent, *this, finish);
        });
    }

    void setReceiver(RelayReceiver receiver) override { receiver_ = std::move(receiver); }

private:
    using Finish = std::function<void(const RelayResult &, Time now)>;

    /// Delivers through the process's own timers, so that a suspended process handles it later.
    void deliver(const RelayRequest &request, FakeRelayPort &sender, const Finish &finish)
    {
        if (silent)
            return;
        timers_.after(Duration::zero(), [this, request, &sender, finish](Time now) {
            requestsReceived += request.kind == RelayRequest::Kind::Probe ? 0 : 1;
            const auto respond = [this, &sender, finish](const RelayAnswer &answer) {
                if (losesAnswers || silent)
                    return;
                sender.timers_.after(latency + answerDelay, [finish, answer](Time later) {
                    finish({RelayDelivery::Answered, answer, {}}, later);
                });
            };
            if (receiver_.request && receiver_.request(request, respond, now))
                return;
            sender.timers_.after(latency, [finish](Time later) {
                finish({RelayDelivery::Lost, {}, "link closed"}, later);
            });
        });
    }

    FakeRelayNet &net_;
    Address address_;
    FakeTimers &timers_;
    RelayReceiver receiver_;
};

} // namespace monsoonledge
