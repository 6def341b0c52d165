// Links for forwarded requests. The connections themselves are in peerchannel.cpp. The process that
// sends a request opens the link; the other one only answers on it.
//
// Sections:
//   [1] Links that this process has opened
//   [2] Hello exchange and messages
#include "adapters/peerlistener_p.h"
#include "adapters/relaycodec_p.h"

#include <stdexcept>
#include <utility>

namespace monsoonledge {

namespace {

constexpr int ProtocolVersion = 1;
constexpr std::size_t MaxAcceptedChannels = 128; // a deployment has some 50 entry processes
constexpr Duration AcceptRetryDelay = milliseconds(200); // if there are no file descriptors

const char *lossName(LinkLoss loss)
{
    switch (loss) {
    case LinkLoss::Refused:
        return "connection refused";
    case LinkLoss::Closed:
        return "link closed";
    case LinkLoss::TimedOut:
        return "connection timed out";
    }
    return "";
}

PeerLinkSettings channelSettings(const RelayLinkSettings &settings)
{
    PeerLinkSettings result;
    result.self = settings.self;
    result.domain = settings.domain;
    result.listen = settings.listen;
    result.connectTimeout = settings.connectTimeout;
    // The side that has opened a link closes it, so that no request meets a link that is closing.
    result.silenceTimeout = 2 * settings.idleTimeout;
    return result;
}

class RelayLinks : public RelayPort
{
public:
    RelayLinks(EventLoop &loop, const RelayLinkSettings &settings);
    ~RelayLinks() override;
    RelayLinks(const RelayLinks &) = delete;
    RelayLinks &operator=(const RelayLinks &) = delete;

    void send(const RelayPeer &peer, const RelayRequest &request, Duration timeout,
              std::function<void(const RelayResult &, Time now)> done) override;
    void setReceiver(RelayReceiver receiver) override { receiver_ = std::move(receiver); }

private:
    struct Pending
    {
        RelayRequest request;
        Time deadline;
        std::function<void(const RelayResult &, Time now)> done;
        TimerId timer = 0;
        bool isSent = false;
    };
    struct Link
    {
        PeerChannelPtr channel;
        std::map<std::uint64_t, Pending> pending; // by correlation
        bool isOpen = false; // the peer's hello has arrived
        std::optional<TimerId> idleTimer; // set while nothing is pending
        // Set while a hello, or a message after a request, is awaited.
        std::optional<TimerId> silenceTimer;
    };

    Link &linkTo(const RelayPeer &peer);
    void sendPending(Link &link, const Address &address, Time now);
    void onTimeout(const Address &address, std::uint64_t correlation, Time now);
    void finish(Link &link, std::uint64_t correlation, const RelayResult &result,
                const Address &address, Time now);
    void closeAfter(std::optional<TimerId> &timer, Duration delay, const Address &address,
                    const char *cause);
    void stop(std::optional<TimerId> &timer);
    void stopTimers(Link &link);
    void closeLink(const Address &address, const std::string &cause, Time now);
    std::map<Address, Link>::iterator findLink(const PeerChannelPtr &channel);

    void sendHello(PeerChannel &channel);
    void received(const PeerChannelPtr &channel, const std::string &bytes, Time now);
    void receivedHello(const PeerChannelPtr &channel, const std::string &bytes, Time now);
    void receivedRequest(const PeerChannelPtr &channel, const std::string &bytes, Time now);
    void receivedAnswer(const PeerChannelPtr &channel, const std::string &bytes, Time now);
    template<typename Decode>
    auto decodeOrReject(PeerChannel &channel, Decode decode) -> std::optional<decltype(decode())>;
    void lost(const PeerChannelPtr &channel, Time now);

    RelayLinkSettings settings_;
    PeerChannelContext context_;
    RelayReceiver receiver_;
    PeerListener listener_; // owns the links that others have opened
    std::map<Address, Link> links_; // opened by this process
    std::uint64_t lastCorrelation_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

RelayLinks::RelayLinks(EventLoop &loop, const RelayLinkSettings &settings)
    : settings_(settings), context_(loop, channelSettings(settings)),
      listener_(context_, "forwarded requests", {MaxAcceptedChannels, AcceptRetryDelay})
{
    context_.opened = [this](PeerChannel &channel) { sendHello(channel); };
    context_.received = [this](const PeerChannelPtr &channel, const std::string &bytes, Time now) {
        received(channel, bytes, now);
    };
    context_.lost = [this](const PeerChannelPtr &channel, Time now) { lost(channel, now); };
}

RelayLinks::~RelayLinks()
{
    for (auto &[address, link] : links_) {
        stopTimers(link);
        link.channel->close();
    }
}

// [1] Links that this process has opened

RelayLinks::Link &RelayLinks::linkTo(const RelayPeer &peer)
{
    const auto [found, isNew] = links_.try_emplace(peer.address);
    Link &link = found->second;
    if (isNew) {
        link.channel = std::make_shared<PeerChannel>(context_, PeerChannelKind::Connector,
                                                     EntryId(peer.name));
        link.channel->connect(peer.address);
        closeAfter(link.silenceTimer, settings_.connectTimeout, peer.address,
                   "the link was not opened in time");
    }
    return link;
}

void RelayLinks::send(const RelayPeer &peer, const RelayRequest &request, Duration timeout,
                      std::function<void(const RelayResult &, Time now)> done)
{
    const Time now = context_.loop.now();
    const std::uint64_t correlation = ++lastCorrelation_;
    Link &link = linkTo(peer);
    stop(link.idleTimer);
    Pending &pending = link.pending[correlation];
    pending.request = request;
    pending.deadline = now + timeout;
    pending.done = std::move(done);
    pending.timer = context_.loop.after(
            timeout, [this, address = peer.address, correlation](Time eventTime) {
                onTimeout(address, correlation, eventTime);
            });
    if (link.isOpen)
        sendPending(link, peer.address, now);
}

/// Sends the requests that waited for the link. One that cannot be sent is reported at its timeout
/// or when the link is lost, whichever comes first.
void RelayLinks::sendPending(Link &link, const Address &address, Time now)
{
    for (auto &[correlation, pending] : link.pending) {
        if (pending.isSent)
            continue;
        pending.request.timeLeft = pending.deadline - now;
        try {
            if (!link.channel->write(encodeRelayRequest(correlation, pending.request)))
                continue;
            pending.isSent = true;
            if (!link.silenceTimer)
                closeAfter(link.silenceTimer, settings_.silenceTimeout, address, "no answer");
        } catch (const std::invalid_argument &) {
            // The message exceeds a limit. The peer would close the link each time it is sent.
        }
    }
}

void RelayLinks::onTimeout(const Address &address, std::uint64_t correlation, Time now)
{
    const auto found = links_.find(address);
    if (found == links_.end() || found->second.pending.count(correlation) == 0)
        return;
    Link &link = found->second;
    RelayResult result;
    result.delivery = RelayDelivery::NotSent;
    result.detail = link.isOpen ? "the request could not be sent" : "the link is not open yet";
    if (link.pending.at(correlation).isSent) {
        result.delivery = RelayDelivery::Lost;
        result.detail = "no answer";
    }
    result.isTimedOut = true;
    finish(link, correlation, result, address, now);
}

/// Reports the result of one request. May invalidate the link.
void RelayLinks::finish(Link &link, std::uint64_t correlation, const RelayResult &result,
                        const Address &address, Time now)
{
    const Pending pending = std::move(link.pending.at(correlation));
    link.pending.erase(correlation);
    context_.loop.cancel(pending.timer);
    if (link.pending.empty())
        closeAfter(link.idleTimer, settings_.idleTimeout, address, "idle");
    pending.done(result, now);
}

/// Closes the link after the delay, unless the timer is stopped.
void RelayLinks::closeAfter(std::optional<TimerId> &timer, Duration delay, const Address &address,
                            const char *cause)
{
    timer = context_.loop.after(
            delay, [this, address, cause](Time now) { closeLink(address, cause, now); });
}

void RelayLinks::stop(std::optional<TimerId> &timer)
{
    if (timer)
        context_.loop.cancel(*std::exchange(timer, std::nullopt));
}

void RelayLinks::stopTimers(Link &link)
{
    stop(link.idleTimer);
    stop(link.silenceTimer);
    for (const auto &[correlation, pending] : link.pending)
        context_.loop.cancel(pending.timer);
}

/// Closes the link and reports its requests as not answered or not sent.
void RelayLinks::closeLink(const Address &address, const std::string &cause, Time now)
{
    const auto found = links_.find(address);
    if (found == links_.end())
        return;
    Link link = std::move(found->second);
    links_.erase(found);
    stopTimers(link);
    link.channel->close();
    for (auto &[correlation, pending] : link.pending) {
        const RelayDelivery delivery =
                pending.isSent ? RelayDelivery::Lost : RelayDelivery::NotSent;
        pending.done({delivery, {}, cause}, now); // may open a new link
    }
}

std::map<Address, RelayLinks::Link>::iterator RelayLinks::findLink(const PeerChannelPtr &channel)
{
    auto it = links_.begin();
    while (it != links_.end() && it->second.channel != channel)
        ++it;
    return it;
}

void RelayLinks::lost(const PeerChannelPtr &channel, Time now)
{
    const std::string cause = lossName(channel->loss());
    channel->close();
    listener_.release(channel);
    const auto link = findLink(channel);
    if (link != links_.end())
        closeLink(Address(link->first), cause, now);
}

// [2] Hello exchange and messages

void RelayLinks::sendHello(PeerChannel &channel)
{
    channel.write(encodePeerMessage(PeerHello{settings_.self, settings_.domain, ProtocolVersion}));
}

void RelayLinks::received(const PeerChannelPtr &channel, const std::string &bytes, Time now)
{
    if (!channel->isEstablished())
        receivedHello(channel, bytes, now);
    else if (channel->kind() == PeerChannelKind::Acceptor)
        receivedRequest(channel, bytes, now);
    else
        receivedAnswer(channel, bytes, now);
}

/// Returns nothing, and makes the channel fail, if the message cannot be read.
template<typename Decode>
auto RelayLinks::decodeOrReject(PeerChannel &channel, Decode decode)
        -> std::optional<decltype(decode())>
{
    try {
        return decode();
    } catch (const std::runtime_error &error) {
        channel.reject();
        if (receiver_.invalid)
            receiver_.invalid(error.what());
        return std::nullopt;
    }
}

void RelayLinks::receivedHello(const PeerChannelPtr &channel, const std::string &bytes, Time now)
{
    const bool isAcceptor = channel->kind() == PeerChannelKind::Acceptor;
    const auto decode = [&] {
        EntryId entry;
        PeerMessageHandlers handlers;
        handlers.hello = [&](const PeerHello &hello) {
            // Another process may have the address by now.
            const bool isExpected = isAcceptor || hello.run.entry == channel->peer();
            if (isExpected && hello.protocol == ProtocolVersion)
                entry = hello.run.entry;
        };
        decodePeerMessage(bytes, handlers);
        if (entry.isEmpty())
            throw std::runtime_error("no hello of the expected process and protocol");
        return entry;
    };
    const std::optional<EntryId> entry = decodeOrReject(*channel, decode);
    if (!entry)
        return;
    channel->establish(*entry, now);
    if (isAcceptor) {
        sendHello(*channel);
        return;
    }
    const auto found = findLink(channel);
    if (found == links_.end())
        return;
    found->second.isOpen = true;
    stop(found->second.silenceTimer);
    sendPending(found->second, found->first, now);
}

void RelayLinks::receivedRequest(const PeerChannelPtr &channel, const std::string &bytes, Time now)
{
    const auto request = decodeOrReject(*channel, [&] { return decodeRelayRequest(bytes); });
    if (!request)
        return;
    const auto respond = [correlation = request->correlation,
                          weak = std::weak_ptr<PeerChannel>(channel),
                          alive = std::weak_ptr<int>(alive_)](const RelayAnswer &answer) {
        const PeerChannelPtr sender = weak.lock();
        if (!alive.expired() && sender)
            sender->write(encodeRelayAnswer(correlation, answer));
    };
    if (!receiver_.request || !receiver_.request(request->body, respond, now))
        channel->reject(); // the receiver has logged it
}

void RelayLinks::receivedAnswer(const PeerChannelPtr &channel, const std::string &bytes, Time now)
{
    const auto answer = decodeOrReject(*channel, [&] { return decodeRelayAnswer(bytes); });
    const auto found = findLink(channel);
    if (!answer || found == links_.end())
        return;
    Link &link = found->second;
    const Address address = found->first;
    stop(link.silenceTimer);
    const bool awaitsMore =
            std::any_of(link.pending.begin(), link.pending.end(), [&answer](const auto &entry) {
                return entry.second.isSent && entry.first != answer->correlation;
            });
    if (awaitsMore)
        closeAfter(link.silenceTimer, settings_.silenceTimeout, address, "no answer");
    if (link.pending.count(answer->correlation) > 0) // otherwise it is late
        finish(link, answer->correlation, {RelayDelivery::Answered, answer->body, {}}, address,
               now);
}

} // namespace

std::unique_ptr<RelayPort> makeRelayLinks(EventLoop &loop, const RelayLinkSettings &settings)
{
    return std::make_unique<RelayLinks>(loop, settings);
}

} // namespace monsoonledge
