// Links between entry processes in virtual time, with cuts, deaths and suspensions.
//
// A dead process refuses connections at once; a suspended one accepts and stays silent; a cut link
// delivers nothing and times out.
#pragma once

#include "fakes/faketimers.h"
#include "ports/ports.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace monsoonledge {

class FakePeerPort;

class FakeNetwork
{
public:
    using Pair = std::pair<EntryId, EntryId>;

    explicit FakeNetwork(FakeClock &clock) : clock_(clock) { }

    static Pair pairOf(const EntryId &a, const EntryId &b) { return std::minmax(a, b); }

    void cut(const EntryId &a, const EntryId &b, bool isCut)
    {
        if (isCut)
            cuts_.insert(pairOf(a, b));
        else
            cuts_.erase(pairOf(a, b));
    }
    void healAll() { cuts_.clear(); }

private:
    friend class FakePeerPort;
    struct Connection
    {
        std::uint64_t number = 0; // 0: not connected
        std::map<EntryId, Time> lastDelivery; // by receiver, keeps the order
        std::map<EntryId, Time> lastReceived;
        std::map<EntryId, std::vector<std::function<void(Time)>>> held; // by receiver, while cut
    };

    FakeClock &clock_;
    std::map<EntryId, FakePeerPort *> ports_; // processes that listen
    std::set<Pair> cuts_;
    std::map<Pair, Connection> connections_;
    std::uint64_t lastConnection_ = 0;
};

class FakePeerPort : public PeerPort
{
public:
    FakePeerPort(FakeNetwork &network, FakeTimers &timers, EntryRun self, Duration delay)
        : network_(network), timers_(timers), self_(std::move(self)), delay_(delay)
    {
        network_.ports_[self_.entry] = this;
        poll(timers_.clock().now());
    }
    ~FakePeerPort() override
    {
        network_.ports_.erase(self_.entry);
        for (auto &[pair, connection] : network_.connections_) {
            if (pair.first == self_.entry || pair.second == self_.entry)
                close(pair.first == self_.entry ? pair.second : pair.first, LinkLoss::Closed);
        }
    }
    FakePeerPort(const FakePeerPort &) = delete;
    FakePeerPort &operator=(const FakePeerPort &) = delete;

    void addPeer(const EntryId &entry, const Address &) override { peers_.insert(entry); }
    void removePeer(const EntryId &entry) override { peers_.erase(entry); }

    bool send(const EntryId &to, const Heartbeat &m) override
    {
        return deliver(to, m, &PeerPort::heartbeatReceived);
    }
    bool send(const EntryId &to, const ForwardMessage &m) override
    {
        return deliver(to, m, &PeerPort::forwardReceived);
    }
    bool send(const EntryId &to, const AnswerMessage &m) override
    {
        return deliver(to, m, &PeerPort::answerReceived);
    }
    bool send(const EntryId &to, const ClaimMessage &m) override
    {
        return deliver(to, m, &PeerPort::claimReceived);
    }
    bool send(const EntryId &to, const ClaimAckMessage &m) override
    {
        return deliver(to, m, &PeerPort::claimAckReceived);
    }
    bool send(const EntryId &to, const SheetMessage &m) override
    {
        return deliver(to, m, &PeerPort::sheetReceived);
    }
    bool send(const EntryId &to, const SheetRequestMessage &m) override
    {
        return deliver(to, m, &PeerPort::sheetRequested);
    }

private:
    using Connection = FakeNetwork::Connection;

    Connection &connection(const EntryId &other)
    {
        return network_.connections_[FakeNetwork::pairOf(self_.entry, other)];
    }
    bool isCut(const EntryId &other) const
    {
        return network_.cuts_.count(FakeNetwork::pairOf(self_.entry, other)) > 0;
    }
    FakePeerPort *port(const EntryId &other) const
    {
        const auto found = network_.ports_.find(other);
        return found == network_.ports_.end() ? nullptr : found->second;
    }

    template<typename Message, typename Signal>
    bool deliver(const EntryId &to, const Message &message, Signal PeerPort::*signal)
    {
        Connection &link = connection(to);
        FakePeerPort *receiver = port(to);
        if (link.number == 0)
            return false;
        if (!receiver)
            return true; // sent, and lost
        const auto arrive = [receiver, from = self_.entry, message, signal,
                             number = link.number](Time at) {
            Connection &used = receiver->connection(from);
            if (used.number != number)
                return;
            used.lastReceived[receiver->self_.entry] = at;
            (receiver->*signal).emit(from, message, at);
        };
        std::vector<std::function<void(Time)>> &held = link.held[to];
        if (isCut(to) || !held.empty())
            held.push_back(arrive); // TCP sends it again until the link is given up
        else
            schedule(link, to, *receiver, arrive);
        return true;
    }

    void schedule(Connection &link, const EntryId &to, FakePeerPort &receiver,
                  std::function<void(Time)> arrive)
    {
        const Time now = timers_.clock().now();
        Time &last = link.lastDelivery[to];
        last = std::max(last, now + delay_);
        receiver.timers_.after(last - now, std::move(arrive));
    }

    void releaseHeld(Connection &link, const EntryId &to, FakePeerPort &receiver)
    {
        for (std::function<void(Time)> &arrive : std::exchange(link.held[to], {}))
            schedule(link, to, receiver, std::move(arrive));
    }

    /// Ends the connection and tells the other side, after what is in flight to it.
    void close(const EntryId &other, LinkLoss otherSees)
    {
        Connection &link = connection(other);
        const std::uint64_t number = std::exchange(link.number, 0);
        link.held.clear();
        FakePeerPort *receiver = port(other);
        if (number == 0 || !receiver)
            return;
        receiver->timers_.after(Duration::zero(),
                                [receiver, from = self_.entry, otherSees](Time at) {
                                    receiver->linkDown.emit(from, otherSees, at);
                                });
    }

    void connect(const EntryId &other, FakePeerPort &receiver, Time now)
    {
        Connection &link = connection(other);
        link = Connection();
        link.number = ++network_.lastConnection_;
        link.lastReceived[self_.entry] = link.lastReceived[other] = now;
        const auto announce = [number = link.number](FakePeerPort *to, const EntryRun &from,
                                                     Duration delay) {
            to->connection(from.entry).lastDelivery[to->self_.entry] =
                    to->timers_.clock().now() + delay;
            to->timers_.after(delay, [to, from, number](Time at) {
                if (to->connection(from.entry).number == number)
                    to->linkUp.emit(from.entry, from.incarnation, at);
            });
        };
        announce(this, receiver.self_, 2 * delay_);
        announce(&receiver, self_, 2 * delay_);
    }

    /// Connects to missing peers and closes silent links, every 200 ms.
    void poll(Time now)
    {
        const std::set<EntryId> peers = peers_;
        for (const EntryId &other : peers) {
            Connection &link = connection(other);
            FakePeerPort *receiver = port(other);
            if (link.number != 0) {
                if (!isCut(other) && receiver)
                    releaseHeld(link, other, *receiver);
                if (now - link.lastReceived[self_.entry] >= seconds(5)) {
                    close(other, LinkLoss::Closed);
                    linkDown.emit(other, LinkLoss::TimedOut, now);
                }
            } else if (!isCut(other) && !receiver) {
                linkDown.emit(other, LinkLoss::Refused, now);
            } else if (!isCut(other) && !receiver->timers_.isSuspended()
                       && receiver->peers_.count(self_.entry) > 0) {
                connect(other, *receiver, now);
            }
        }
        timers_.after(milliseconds(200), [this](Time later) { poll(later); });
    }

    FakeNetwork &network_;
    FakeTimers &timers_;
    EntryRun self_;
    Duration delay_;
    std::set<EntryId> peers_;
};

} // namespace monsoonledge
