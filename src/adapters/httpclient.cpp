#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <strings.h>
#include <sys/socket.h>

namespace monsoonledge {

namespace {

// Connections are not reused after they have been idle for this time. It is shorter than the idle
// timeout of HttpServer (30 s), so that no request is sent while the server closes the connection.
constexpr Duration MaxIdleTime = seconds(20);
// evhttp's own timeout is only a fallback, because each request has its own timer.
constexpr Duration FallbackTimeout = std::chrono::hours(1);
constexpr ev_ssize_t MaxResponseHeaderBytes = 64 * 1024;
// libevent reads at most this much from a socket in one pass of the event loop. While the loop is
// busy, a large response would take hundreds of passes, so the client reads on by itself.
constexpr std::size_t LibeventReadBytes = 4096;
constexpr std::size_t DrainChunkBytes = 64 * 1024;
constexpr std::size_t MaxDrainedBytes = 256 * 1024; // per pass, to be fair to other connections

using ResultCallback = std::function<void(const HttpResult &, Time now)>;

struct Connection;

/// One request, from send() until its callback has been called.
struct OutgoingRequest
{
    Address address;
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target;
    HttpHeaders headers;
    std::string body;
    ResultCallback done;
    HttpClient::ResponseValidator validator;
    TimerId timer = 0;
    TimerId connectTimer = 0;
    Time latestEnd{}; // when the request fails even if its response is still arriving
    std::optional<Time> lastReceivedAt; // when a part of the response last arrived
    std::weak_ptr<Connection> connection; // empty while the request is queued
    bool maybeSent = false; // bytes are in the socket's output buffer and may have been sent
    HttpResult result;
};

/// One TCP connection. It is never reconnected, because evhttp would then send queued requests
/// again. Each new connection is a new object instead.
struct Connection
{
    ~Connection()
    {
        evhttp_connection_set_closecb(evcon, nullptr, nullptr);
        evhttp_connection_free(evcon);
    }

    HttpClient::Private *client = nullptr;
    ConnectionId id;
    std::weak_ptr<Connection> self;
    Address address;
    evhttp_connection *evcon = nullptr;
    std::shared_ptr<OutgoingRequest> request; // empty while idle
    bool completed = false; // the result is set and the callback is scheduled
    bool unusable = false; // closed by the peer, or a request has failed on it
    bool isDraining = false; // drainSocket() is adding to the input buffer
    Time idleSince{};
    int connectErrno = 0; // errno of a failed connect, 0 if none
    const char *evhttpError = nullptr; // evhttp's reason for a failed request, or null
    // evhttp's callbacks, saved while onConnectEvent() takes the place of its event callback.
    bufferevent_data_cb originalRead = nullptr;
    bufferevent_data_cb originalWrite = nullptr;
    bufferevent_event_cb originalEvent = nullptr;
    void *originalArg = nullptr;
};

/// The connections to one address, and the requests that wait for one of them.
struct ConnectionPool
{
    std::vector<std::shared_ptr<Connection>> connections;
    std::deque<std::shared_ptr<OutgoingRequest>> queuedRequests;
};

evhttp_cmd_type parseMethod(const std::string &method)
{
    static const std::map<std::string, evhttp_cmd_type> methods{{"GET", EVHTTP_REQ_GET},
                                                                {"POST", EVHTTP_REQ_POST},
                                                                {"PUT", EVHTTP_REQ_PUT},
                                                                {"DELETE", EVHTTP_REQ_DELETE},
                                                                {"HEAD", EVHTTP_REQ_HEAD}};
    const auto it = methods.find(method);
    assert(it != methods.end());
    return it->second;
}

const char *errorText(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "no progress on the connection within the fallback timeout";
    case EVREQ_HTTP_EOF:
        return "connection closed before the response was complete";
    case EVREQ_HTTP_INVALID_HEADER:
        return "malformed response header";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "connection failed";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "request cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "response body exceeds the size limit";
    }
    return "connection failed";
}

bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 127;
    });
}

bool isIpAddress(const std::string &ip)
{
    std::array<unsigned char, 16> buffer{};
    return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1
           || inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

/// Returns the reason why the request cannot be sent, or an empty string.
std::string findRequestError(const OutgoingRequest &request, Duration timeout)
{
    if (timeout <= Duration::zero())
        return "the timeout expired before the request was sent";
    // evhttp would resolve a host name synchronously, which would block the event loop.
    if (!isIpAddress(request.address.ip))
        return "the address is not an IP address";
    for (const auto &[name, value] : request.headers) {
        // A line break would inject headers, and a NUL would truncate the value, such as a request
        // id to the id of another request.
        if (hasControlCharacter(value))
            return "header " + name + " contains a control character";
    }
    return {};
}

std::string hostHeader(const Address &address)
{
    if (address.ip.find(':') == std::string::npos)
        return address.str();
    return '[' + address.ip + "]:" + std::to_string(address.port);
}

/// Returns the reason why the response may be incomplete or ambiguous, or an empty string.
std::string findResponseError(const Connection &connection, evhttp_request *req,
                              const HttpResponse &response)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(req);
    if (response.status < 200)
        return "unexpected status " + std::to_string(response.status);
    if (!hasConsistentContentLength(headers))
        return "conflicting or invalid Content-Length headers";
    const bool hasLength = response.headers.count("content-length") > 0;
    const std::string encoding = headerValue(response.headers, "transfer-encoding");
    if (!encoding.empty() && (strcasecmp(encoding.c_str(), "chunked") != 0 || hasLength))
        return "unsupported Transfer-Encoding, or one together with Content-Length";
    const bool hasBody = response.status != 204 && response.status != 304
                         && connection.request->method != EVHTTP_REQ_HEAD;
    // Without a length, a body truncated by a lost connection cannot be told from a complete one.
    if (hasBody && !hasLength && encoding.empty())
        return "response has neither Content-Length nor chunked encoding";
    bufferevent *bev = evhttp_connection_get_bufferevent(connection.evcon);
    if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
        return "unexpected data after the response";
    return {};
}

} // namespace

struct HttpClient::Private : std::enable_shared_from_this<HttpClient::Private>
{
    Private(EventLoop &eventLoop, HttpClientSettings clientSettings)
        : loop(eventLoop), settings(clientSettings)
    { }

    EventLoop &loop;
    HttpClientSettings settings;
    std::map<Address, ConnectionPool> pools;
    ConnectionId lastConnection;

    std::shared_ptr<OutgoingRequest> makeRequest(const Address &address, const std::string &method,
                                                 const std::string &target,
                                                 const HttpHeaders &headers,
                                                 const std::string &body, Duration timeout,
                                                 ResultCallback done);
    void failLater(const std::shared_ptr<OutgoingRequest> &request, const std::string &detail);
    std::shared_ptr<Connection> idleConnection(const Address &address, ConnectionId id) const;
    void dispatch(const Address &address);
    std::shared_ptr<Connection> takeIdleConnection(ConnectionPool &pool);
    bool isReusable(const Connection &connection) const;
    std::shared_ptr<Connection> openConnection(ConnectionPool &pool, const Address &address);
    void startRequest(const std::shared_ptr<Connection> &connection,
                      const std::shared_ptr<OutgoingRequest> &request);
    void monitorConnect(const std::shared_ptr<Connection> &connection);
    void removeConnection(const std::shared_ptr<Connection> &connection);
    void removeConnectionLater(const std::weak_ptr<Connection> &connection);
    void failRequest(Connection &connection, const std::string &detail);
    void scheduleFinish(Connection &connection);
    void finishRequest(const std::shared_ptr<Connection> &connection);
    void abortRequest(const std::shared_ptr<OutgoingRequest> &request, const std::string &detail);
    void invokeCallback(const std::shared_ptr<OutgoingRequest> &request);
    void cancelTimers(OutgoingRequest &request);
    void scheduleTimeout(const std::shared_ptr<OutgoingRequest> &request, Duration delay);
    void onTimeout(const std::shared_ptr<OutgoingRequest> &request, Time now);

    static void onInput(evbuffer *input, const evbuffer_cb_info *info, void *arg);
    static void drainSocket(Connection &connection, evbuffer *input);
    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg);
    static void onConnectEvent(bufferevent *bev, short what, void *arg);
    static void onClosed(evhttp_connection *, void *arg);
    static void onError(evhttp_request_error error, void *arg);
    static void onResponse(evhttp_request *req, void *arg);
};

/// Starts queued requests on idle or new connections, up to the connection limit.
void HttpClient::Private::dispatch(const Address &address)
{
    const auto it = pools.find(address);
    if (it == pools.end())
        return;
    ConnectionPool &pool = it->second;
    while (!pool.queuedRequests.empty()) {
        std::shared_ptr<Connection> connection = takeIdleConnection(pool);
        if (!connection) {
            if (pool.connections.size()
                >= static_cast<std::size_t>(settings.maxConnectionsPerAddress))
                return;
            connection = openConnection(pool, address);
        }
        const std::shared_ptr<OutgoingRequest> request = pool.queuedRequests.front();
        pool.queuedRequests.pop_front();
        startRequest(connection, request);
    }
    if (pool.connections.empty())
        pools.erase(it);
}

/// Returns the most recently used idle connection, or null. Closes those that cannot be reused.
std::shared_ptr<Connection> HttpClient::Private::takeIdleConnection(ConnectionPool &pool)
{
    for (;;) {
        std::shared_ptr<Connection> mostRecent;
        for (const std::shared_ptr<Connection> &c : pool.connections) {
            if (!c->request && (!mostRecent || mostRecent->idleSince < c->idleSince))
                mostRecent = c;
        }
        if (!mostRecent || isReusable(*mostRecent))
            return mostRecent;
        removeConnection(mostRecent);
    }
}

bool HttpClient::Private::isReusable(const Connection &connection) const
{
    if (connection.unusable || loop.now() - connection.idleSince > MaxIdleTime)
        return false;
    // The peer may have closed the connection without the event loop having noticed it yet. Data
    // that arrives while no request is pending is not a response, so it rules out reuse as well.
    char byte = 0;
    bufferevent *bev = evhttp_connection_get_bufferevent(connection.evcon);
    const ssize_t n = recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::shared_ptr<Connection> HttpClient::Private::openConnection(ConnectionPool &pool,
                                                                const Address &address)
{
    bufferevent *bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    evhttp_connection *evcon = bev ? evhttp_connection_base_bufferevent_new(
                                       loop.base(), nullptr, bev, address.ip.c_str(), address.port)
                                   : nullptr;
    if (!evcon)
        throw std::bad_alloc();
    auto connection = std::make_shared<Connection>();
    connection->client = this;
    connection->id.value = ++lastConnection.value;
    connection->self = connection;
    connection->address = address;
    connection->evcon = evcon;
    const timeval tv = toTimeval(FallbackTimeout);
    evhttp_connection_set_timeout_tv(evcon, &tv);
    evhttp_connection_set_retries(evcon, 0);
    evhttp_connection_set_max_headers_size(evcon, MaxResponseHeaderBytes);
    evhttp_connection_set_max_body_size(evcon, static_cast<ev_ssize_t>(settings.maxBodyBytes));
    evhttp_connection_set_closecb(evcon, &onClosed, connection.get());
    evbuffer_add_cb(bufferevent_get_input(bev), &onInput, connection.get());
    evbuffer_add_cb(bufferevent_get_output(bev), &onOutput, connection.get());
    pool.connections.push_back(connection);
    return connection;
}

void HttpClient::Private::startRequest(const std::shared_ptr<Connection> &connection,
                                       const std::shared_ptr<OutgoingRequest> &request)
{
    connection->request = request;
    connection->completed = false;
    connection->evhttpError = nullptr;
    request->connection = connection;
    evhttp_request *req = evhttp_request_new(&onResponse, connection.get());
    if (!req)
        throw std::bad_alloc();
    evhttp_request_set_error_cb(req, &onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", hostHeader(request->address).c_str());
    for (const auto &[name, value] : request->headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(req), request->body.data(), request->body.size());
    const bool isNew = bufferevent_getfd(evhttp_connection_get_bufferevent(connection->evcon)) < 0;
    errno = 0;
    const int status =
            evhttp_make_request(connection->evcon, req, request->method, request->target.c_str());
    // On loopback, connect() may fail immediately with ECONNREFUSED; errno is overwritten by the
    // time evhttp's event callback runs.
    if (isNew && errno == ECONNREFUSED)
        connection->connectErrno = ECONNREFUSED;
    if (status != 0 && !connection->completed)
        failRequest(*connection, "evhttp could not start the request");
    if (isNew && !connection->completed)
        monitorConnect(connection);
}

/// Takes the place of evhttp's event callback until the connection is established, to learn the
/// errno of a failure, and starts the connect timeout.
void HttpClient::Private::monitorConnect(const std::shared_ptr<Connection> &connection)
{
    Connection &c = *connection;
    bufferevent *bev = evhttp_connection_get_bufferevent(c.evcon);
    bufferevent_getcb(bev, &c.originalRead, &c.originalWrite, &c.originalEvent, &c.originalArg);
    bufferevent_setcb(bev, c.originalRead, c.originalWrite, &onConnectEvent, &c);
    c.request->connectTimer =
            loop.after(settings.connectTimeout,
                       [weak = weak_from_this(),
                        weakRequest = std::weak_ptr<OutgoingRequest>(c.request)](Time) {
                           const std::shared_ptr<Private> self = weak.lock();
                           const std::shared_ptr<OutgoingRequest> request = weakRequest.lock();
                           if (self && request && !request->maybeSent)
                               self->abortRequest(request, "time-out while connecting");
                       });
}

void HttpClient::Private::onConnectEvent(bufferevent *bev, short what, void *arg)
{
    auto *connection = static_cast<Connection *>(arg);
    const int error = errno;
    if (what & BEV_EVENT_CONNECTED)
        setNoDelay(bev);
    if ((what & BEV_EVENT_ERROR) && connection->connectErrno == 0)
        connection->connectErrno = error;
    bufferevent_setcb(bev, connection->originalRead, connection->originalWrite,
                      connection->originalEvent, connection->originalArg);
    errno = error; // evhttp's callback reads errno
    connection->originalEvent(bev, what, connection->originalArg);
}

void HttpClient::Private::onInput(evbuffer *input, const evbuffer_cb_info *info, void *arg)
{
    auto *connection = static_cast<Connection *>(arg);
    if (info->n_added == 0)
        return;
    if (connection->request)
        connection->request->lastReceivedAt = connection->client->loop.now();
    if (info->n_added >= LibeventReadBytes && !connection->isDraining)
        drainSocket(*connection, input);
}

/// Moves what else has arrived into the input buffer, while libevent is reading into it. Errors and
/// the end of the stream are left to libevent's next read, which reports them.
void HttpClient::Private::drainSocket(Connection &connection, evbuffer *input)
{
    connection.isDraining = true;
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection.evcon));
    std::array<char, DrainChunkBytes> chunk;
    std::size_t drained = 0;
    while (drained < MaxDrainedBytes) {
        const ssize_t n = recv(fd, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (n <= 0)
            break;
        evbuffer_add(input, chunk.data(), static_cast<std::size_t>(n));
        drained += static_cast<std::size_t>(n);
    }
    connection.isDraining = false;
}

void HttpClient::Private::onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg)
{
    auto *connection = static_cast<Connection *>(arg);
    if (info->n_added > 0 && connection->request)
        connection->request->maybeSent = true;
}

void HttpClient::Private::onClosed(evhttp_connection *, void *arg)
{
    auto *connection = static_cast<Connection *>(arg);
    connection->unusable = true;
    if (!connection->request)
        connection->client->removeConnectionLater(connection->self);
}

void HttpClient::Private::onError(evhttp_request_error error, void *arg)
{
    static_cast<Connection *>(arg)->evhttpError = errorText(error);
}

void HttpClient::Private::onResponse(evhttp_request *req, void *arg)
{
    auto *connection = static_cast<Connection *>(arg);
    Private *client = connection->client;
    if (!connection->request || connection->completed)
        return;
    if (!req || evhttp_request_get_response_code(req) == 0) {
        client->failRequest(*connection, connection->evhttpError ? connection->evhttpError
                                                                 : "connection failed");
        return;
    }
    HttpResponse response;
    response.status = evhttp_request_get_response_code(req);
    response.headers = copyHeaders(evhttp_request_get_input_headers(req));
    evbuffer *body = evhttp_request_get_input_buffer(req);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, response.body.data(), response.body.size());
    std::string responseError = findResponseError(*connection, req, response);
    if (responseError.empty() && connection->request->validator)
        responseError = connection->request->validator(response);
    if (!responseError.empty()) {
        client->failRequest(*connection, responseError);
        return;
    }
    connection->request->result.response = std::move(response);
    connection->request->result.connection = connection->id;
    client->scheduleFinish(*connection);
}

void HttpClient::Private::failRequest(Connection &connection, const std::string &detail)
{
    HttpResult &result = connection.request->result;
    result.detail = detail;
    if (connection.request->maybeSent) {
        result.failure = HttpFailure::NoValidResponse;
    } else if (connection.connectErrno == ECONNREFUSED) {
        result.failure = HttpFailure::Refused;
        result.detail = "connection refused";
    } else {
        result.failure = HttpFailure::NotSent;
        if (connection.connectErrno != 0)
            result.detail = std::strerror(connection.connectErrno);
    }
    connection.unusable = true;
    scheduleFinish(connection);
}

/// Defers finishRequest() to the next pass of the event loop, because evhttp still uses the
/// connection when this is called.
void HttpClient::Private::scheduleFinish(Connection &connection)
{
    connection.completed = true;
    cancelTimers(*connection.request);
    loop.after(Duration::zero(), [weak = weak_from_this(), weakConnection = connection.self](Time) {
        const std::shared_ptr<Private> self = weak.lock();
        const std::shared_ptr<Connection> c = weakConnection.lock();
        if (!self || !c)
            return;
        const WorkMeter::Scope scope(&self->loop.workMeter(), self->settings.workKind);
        self->finishRequest(c);
    });
}

void HttpClient::Private::finishRequest(const std::shared_ptr<Connection> &connection)
{
    const std::shared_ptr<OutgoingRequest> request = std::move(connection->request);
    connection->request.reset();
    connection->idleSince = loop.now();
    if (connection->unusable)
        removeConnection(connection);
    dispatch(request->address);
    invokeCallback(request);
}

/// Ends a queued or running request with a failure. The connection of a running request is closed.
void HttpClient::Private::abortRequest(const std::shared_ptr<OutgoingRequest> &request,
                                       const std::string &detail)
{
    cancelTimers(*request);
    request->result.failure = request->maybeSent ? HttpFailure::TimedOut : HttpFailure::NotSent;
    request->result.detail = detail;
    if (const std::shared_ptr<Connection> connection = request->connection.lock()) {
        connection->request.reset();
        removeConnection(connection);
    } else {
        auto &queuedRequests = pools[request->address].queuedRequests;
        queuedRequests.erase(std::remove(queuedRequests.begin(), queuedRequests.end(), request),
                             queuedRequests.end());
    }
    dispatch(request->address);
    invokeCallback(request);
}

/// Calls the callback, which may destroy the client. Callers must hold a reference to *this.
void HttpClient::Private::invokeCallback(const std::shared_ptr<OutgoingRequest> &request)
{
    const ResultCallback done = std::move(request->done);
    done(request->result, loop.now());
}

void HttpClient::Private::scheduleTimeout(const std::shared_ptr<OutgoingRequest> &request,
                                          Duration delay)
{
    request->timer =
            loop.after(delay, [weak = weak_from_this(),
                               weakRequest = std::weak_ptr<OutgoingRequest>(request)](Time now) {
                const std::shared_ptr<Private> self = weak.lock();
                const std::shared_ptr<OutgoingRequest> expired = weakRequest.lock();
                if (self && expired)
                    self->onTimeout(expired, now);
            });
}

/// Fails the request, unless its response is still arriving and may take longer.
void HttpClient::Private::onTimeout(const std::shared_ptr<OutgoingRequest> &request, Time now)
{
    if (request->lastReceivedAt && settings.stallTimeout > Duration::zero()) {
        const Time end =
                std::min(*request->lastReceivedAt + settings.stallTimeout, request->latestEnd);
        if (now < end) {
            scheduleTimeout(request, end - now);
            return;
        }
    }
    abortRequest(request, "time-out");
}

void HttpClient::Private::cancelTimers(OutgoingRequest &request)
{
    loop.cancel(request.timer);
    loop.cancel(request.connectTimer);
}

void HttpClient::Private::removeConnection(const std::shared_ptr<Connection> &connection)
{
    const auto it = pools.find(connection->address);
    if (it == pools.end())
        return;
    auto &connections = it->second.connections;
    connections.erase(std::remove(connections.begin(), connections.end(), connection),
                      connections.end());
    if (connections.empty() && it->second.queuedRequests.empty())
        pools.erase(it);
}

void HttpClient::Private::removeConnectionLater(const std::weak_ptr<Connection> &connection)
{
    loop.after(Duration::zero(), [weak = weak_from_this(), connection](Time) {
        const std::shared_ptr<Private> self = weak.lock();
        const std::shared_ptr<Connection> c = connection.lock();
        if (self && c && !c->request)
            self->removeConnection(c);
    });
}

HttpClient::HttpClient(EventLoop &loop, HttpClientSettings settings)
    : d_(std::make_shared<Private>(loop, settings))
{
    assert(settings.maxConnectionsPerAddress > 0);
}

HttpClient::~HttpClient()
{
    for (auto &[address, pool] : d_->pools) {
        for (const std::shared_ptr<OutgoingRequest> &request : pool.queuedRequests)
            d_->cancelTimers(*request);
        for (const std::shared_ptr<Connection> &connection : pool.connections) {
            if (connection->request)
                d_->cancelTimers(*connection->request);
        }
    }
    d_->pools.clear();
}

/// Returns the request, or null if it cannot be sent: it then fails in the next pass of the event
/// loop.
std::shared_ptr<OutgoingRequest> HttpClient::Private::makeRequest(
        const Address &address, const std::string &method, const std::string &target,
        const HttpHeaders &headers, const std::string &body, Duration timeout, ResultCallback done)
{
    assert(done);
    auto request = std::make_shared<OutgoingRequest>();
    request->address = address;
    request->method = parseMethod(method);
    request->target = target;
    request->headers = headers;
    request->body = body;
    request->done = std::move(done);
    const std::string requestError = findRequestError(*request, timeout);
    if (!requestError.empty()) {
        failLater(request, requestError);
        return nullptr;
    }
    request->latestEnd = loop.now() + std::max(timeout, settings.maxResponseTime);
    scheduleTimeout(request, timeout);
    return request;
}

void HttpClient::Private::failLater(const std::shared_ptr<OutgoingRequest> &request,
                                    const std::string &detail)
{
    loop.after(Duration::zero(), [weak = weak_from_this(), request, detail](Time) {
        if (const std::shared_ptr<Private> self = weak.lock())
            self->abortRequest(request, detail);
    });
}

/// The connection if it is open and idle, or null.
std::shared_ptr<Connection> HttpClient::Private::idleConnection(const Address &address,
                                                                ConnectionId id) const
{
    const auto pool = pools.find(address);
    if (pool == pools.end())
        return nullptr;
    for (const std::shared_ptr<Connection> &connection : pool->second.connections) {
        if (connection->id == id)
            return !connection->request && isReusable(*connection) ? connection : nullptr;
    }
    return nullptr;
}

void HttpClient::send(const Address &address, const std::string &method, const std::string &target,
                      const HttpHeaders &headers, const std::string &body, Duration timeout,
                      std::function<void(const HttpResult &, Time now)> done,
                      ResponseValidator validator)
{
    const WorkMeter::Scope scope(&d_->loop.workMeter(), d_->settings.workKind);
    const std::shared_ptr<OutgoingRequest> request =
            d_->makeRequest(address, method, target, headers, body, timeout, std::move(done));
    if (!request)
        return;
    request->validator = std::move(validator);
    d_->pools[address].queuedRequests.push_back(request);
    d_->dispatch(address);
}

void HttpClient::sendOn(ConnectionId connection, const Address &address, const std::string &method,
                        const std::string &target, const HttpHeaders &headers,
                        const std::string &body, Duration timeout,
                        std::function<void(const HttpResult &, Time now)> done)
{
    const WorkMeter::Scope scope(&d_->loop.workMeter(), d_->settings.workKind);
    const std::shared_ptr<OutgoingRequest> request =
            d_->makeRequest(address, method, target, headers, body, timeout, std::move(done));
    if (!request)
        return;
    if (const std::shared_ptr<Connection> idle = d_->idleConnection(address, connection))
        d_->startRequest(idle, request);
    else
        d_->failLater(request, "the connection is not idle any more");
}

std::optional<ConnectionId> HttpClient::findIdleConnection(
        const Address &address, const std::set<ConnectionId> &among) const
{
    for (const ConnectionId id : among) {
        if (d_->idleConnection(address, id))
            return id;
    }
    return std::nullopt;
}

} // namespace monsoonledge
