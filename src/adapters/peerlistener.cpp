#include "adapters/peerlistener_p.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <stdexcept>

namespace monsoonledge {

PeerListener::PeerListener(PeerChannelContext &context, const std::string &purpose, Limits limits)
    : context_(context), limits_(limits)
{
    // libevent writes without MSG_NOSIGNAL. With SIGPIPE ignored, a write to a closed connection
    // returns an error.
    std::signal(SIGPIPE, SIG_IGN);
    SocketAddress address(context_.settings.listen);
    errno = EINVAL;
    if (address.length != 0)
        listener_.reset(evconnlistener_new_bind(
                context_.loop.base(), onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, SOMAXCONN,
                address.get(), static_cast<int>(address.length)));
    if (!listener_)
        throw std::runtime_error("cannot listen for " + purpose + " on "
                                 + context_.settings.listen.str() + ": " + std::strerror(errno));
    evconnlistener_set_error_cb(listener_.get(), onAcceptError);
}

PeerListener::~PeerListener()
{
    if (acceptRetryTimer_)
        context_.loop.cancel(*acceptRetryTimer_);
    for (const PeerChannelPtr &channel : channels_)
        channel->close();
}

void PeerListener::onAccept(evconnlistener * /*listener*/, evutil_socket_t socket,
                            sockaddr * /*from*/, int /*fromLength*/, void *self)
{
    auto *listener = static_cast<PeerListener *>(self);
    if (listener->channels_.size() >= listener->limits_.maxChannels) {
        evutil_closesocket(socket);
        return;
    }
    const auto channel =
            std::make_shared<PeerChannel>(listener->context_, PeerChannelKind::Acceptor, EntryId());
    listener->channels_.insert(channel);
    channel->accept(socket);
}

/// Out of file descriptors: the event loop would spin, as the pending connection keeps the socket
/// readable. The socket keeps listening, so that connections are not refused in the meantime.
void PeerListener::onAcceptError(evconnlistener * /*listener*/, void *self)
{
    auto *listener = static_cast<PeerListener *>(self);
    evconnlistener_disable(listener->listener_.get());
    listener->acceptRetryTimer_ =
            listener->context_.loop.after(listener->limits_.acceptRetryDelay, [listener](Time) {
                listener->acceptRetryTimer_.reset();
                evconnlistener_enable(listener->listener_.get());
            });
}

} // namespace monsoonledge
