#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>

namespace monsoonledge {

namespace {

constexpr int ListenBacklog = 1024;
// Connections over the limit still get a refusal in response to their first request, so that the
// caller knows that it was not run. Beyond this number of excess connections, they are closed
// without a response.
constexpr int MaxRefusedConnections = 256;
constexpr Duration MaxSweepInterval = seconds(1);

/// One accepted connection.
struct ServerConnection
{
    HttpServer::Private *server = nullptr;
    bufferevent *bev = nullptr;
    evhttp_connection *evcon = nullptr; // null until registerConnection()
    bool overLimit = false; // accepted while the connection limit was reached
    bool writingResponse = false; // HttpServer, not evhttp, is adding output
    bool requestActive = false; // a request is being handled, or its response is being sent
    Time readingSince{}; // start of the wait for the next complete request
};

/// One request, from the call of the handler until its response. If it is destroyed without a
/// response, the client gets a 500.
struct IncomingRequest
{
    ~IncomingRequest();

    std::weak_ptr<HttpServer::Private> server;
    evhttp_request *req = nullptr; // null once the response is sent
};

HttpResponse errorResponse(int status, const std::string &error, const std::string &field,
                           const char *outcome)
{
    const nlohmann::json body{{"error", error}, {"field", field}, {"outcome", outcome}};
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Outcome"] = outcome;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

/// Returns the response to a request that was not passed to the handler.
HttpResponse refusalResponse(int status, const std::string &error, const std::string &field)
{
    return errorResponse(status, error, field, "not-run");
}

/// Returns the response to a request whose handler failed, possibly after forwarding the request.
HttpResponse unknownOutcomeResponse(const std::string &error)
{
    return errorResponse(500, error, "", "unknown");
}

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return {};
    }
}

std::string percentDecode(const std::string &text, bool plusIsSpace)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(text.c_str(), plusIsSpace ? 1 : 0, &size);
    if (!decoded)
        return text;
    std::string result(decoded, size);
    std::free(decoded); // allocated by libevent with malloc()
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> result;
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string part = query.substr(begin, end - begin);
        const std::size_t equals = std::min(part.find('='), part.size());
        if (!part.empty()) {
            result[percentDecode(part.substr(0, equals), true)] =
                    equals < part.size() ? percentDecode(part.substr(equals + 1), true)
                                         : std::string();
        }
        begin = end + 1;
    }
    return result;
}

bool isVisibleAscii(const char *name)
{
    for (const char *c = name; *c; ++c) {
        if (*c <= ' ' || *c >= 127)
            return false;
    }
    return *name != 0;
}

/// Returns the name of the header that makes the end of the request ambiguous, or an empty string.
/// If two parsers, such as a load balancer's and this one, disagree about the end, a caller can
/// hide a second request inside a body (request smuggling).
std::string findAmbiguousHeader(evhttp_request *req)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(req);
    for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next) {
        // evhttp does not strip the space of "Transfer-Encoding :".
        if (!isVisibleAscii(header->key))
            return "header name";
    }
    if (!hasConsistentContentLength(headers))
        return "Content-Length";
    const HttpHeaders copy = copyHeaders(headers);
    const bool isChunked = copy.count("transfer-encoding") > 0;
    if (isChunked && headerValue(copy, "transfer-encoding") != "chunked")
        return "Transfer-Encoding";
    // evhttp parses the body of a GET, HEAD or DELETE request as the next request.
    const evhttp_cmd_type method = evhttp_request_get_command(req);
    if (method != EVHTTP_REQ_POST && method != EVHTTP_REQ_PUT) {
        if (isChunked)
            return "Transfer-Encoding";
        if (parseNumber(headerValue(copy, "content-length")).value_or(0) > 0)
            return "Content-Length";
    }
    return {};
}

HttpRequest copyRequest(evhttp_request *req)
{
    HttpRequest request;
    request.method = methodName(evhttp_request_get_command(req));
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    const char *query = uri ? evhttp_uri_get_query(uri) : nullptr;
    request.path = percentDecode(path ? path : "", false);
    request.query = parseQuery(query ? query : "");
    request.headers = copyHeaders(evhttp_request_get_input_headers(req));
    evbuffer *body = evhttp_request_get_input_buffer(req);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.body.data(), request.body.size());
    return request;
}

} // namespace

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    Private(EventLoop &eventLoop, HttpServerSettings serverSettings, Handler requestHandler)
        : loop(eventLoop), settings(std::move(serverSettings)), handler(std::move(requestHandler))
    { }
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    EventLoop &loop;
    HttpServerSettings settings;
    Handler handler;
    evhttp *http = nullptr;
    evhttp_bound_socket *boundSocket = nullptr; // null once the listening socket is closed
    bool stopping = false;
    event *deferredEvent = nullptr; // runs onDeferred() before the next poll for I/O
    TimerId sweepTimer = 0;
    // Accepted, but not yet passed to registerConnection().
    std::vector<std::unique_ptr<ServerConnection>> newConnections;
    std::unordered_map<evhttp_connection *, std::unique_ptr<ServerConnection>> connections;
    std::vector<ServerConnection *> errorPageConnections; // evhttp has started an error page
    std::set<evhttp_request *> pendingRequests; // passed to the handler, no response yet

    void start();
    void listen();
    void registerConnection(std::unique_ptr<ServerConnection> connection);
    void replaceErrorPage(ServerConnection &connection);
    void sendResponse(evhttp_request *req, HttpResponse response, bool close);
    void sweep();

    static void onAcceptError(evconnlistener *listener, void *);
    static bufferevent *onAccept(event_base *base, void *arg);
    static void onDeferred(evutil_socket_t, short, void *arg);
    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg);
    static void onClosed(evhttp_connection *evcon, void *arg);
    static void onResponseSent(evhttp_request *req, void *arg);
    static void onRequest(evhttp_request *req, void *arg);
};

namespace {

IncomingRequest::~IncomingRequest()
{
    const std::shared_ptr<HttpServer::Private> locked = server.lock();
    if (!req || !locked || locked->pendingRequests.erase(req) == 0)
        return;
    locked->sendResponse(req, unknownOutcomeResponse("the request was dropped"), true);
}

} // namespace

void HttpServer::Private::listen()
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    const bool isV6 = settings.address.ip.find(':') != std::string::npos;
    const std::string text =
            isV6 ? '[' + settings.address.ip + "]:" + std::to_string(settings.address.port)
                 : settings.address.str();
    auto *address = reinterpret_cast<sockaddr *>(&storage);
    if (evutil_parse_sockaddr_port(text.c_str(), address, &length) != 0)
        throw std::runtime_error("cannot listen on " + text + ": not an IP number and port");
    evconnlistener *listener = evconnlistener_new_bind(loop.base(), nullptr, nullptr,
                                                       LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC
                                                               | LEV_OPT_CLOSE_ON_FREE,
                                                       ListenBacklog, address, length);
    if (!listener)
        throw std::runtime_error("cannot listen on " + text + ": " + std::strerror(errno));
    boundSocket = evhttp_bind_listener(http, listener);
    if (!boundSocket) {
        evconnlistener_free(listener);
        throw std::bad_alloc();
    }
    evconnlistener_set_error_cb(listener, &onAcceptError);
}

void HttpServer::Private::onAcceptError(evconnlistener *listener, void *)
{
    // The process may be out of file descriptors, for example. The connection that cannot be
    // accepted keeps the listening socket readable, so the event loop would spin. sweep() enables
    // the listener again.
    evconnlistener_disable(listener);
}

/// Creates the bufferevent of an accepted connection for evhttp. evhttp gives no other notification
/// of a new connection, and the evhttp_connection does not exist yet.
bufferevent *HttpServer::Private::onAccept(event_base *base, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    bufferevent *bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (!bev)
        return nullptr;
    auto connection = std::make_unique<ServerConnection>();
    connection->server = server;
    connection->bev = bev;
    connection->readingSince = server->loop.now();
    evbuffer_add_cb(bufferevent_get_output(bev), &onOutput, connection.get());
    server->newConnections.push_back(std::move(connection));
    event_active(server->deferredEvent, EV_TIMEOUT, 0);
    return bev;
}

void HttpServer::Private::onDeferred(evutil_socket_t, short, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    std::vector<std::unique_ptr<ServerConnection>> accepted;
    accepted.swap(server->newConnections);
    for (std::unique_ptr<ServerConnection> &connection : accepted)
        server->registerConnection(std::move(connection));
    std::vector<ServerConnection *> affected;
    affected.swap(server->errorPageConnections);
    for (ServerConnection *connection : affected)
        server->replaceErrorPage(*connection);
}

void HttpServer::Private::registerConnection(std::unique_ptr<ServerConnection> connection)
{
    // evhttp sets its connection as the argument of the bufferevent's callbacks.
    void *arg = nullptr;
    bufferevent_getcb(connection->bev, nullptr, nullptr, nullptr, &arg);
    connection->evcon = static_cast<evhttp_connection *>(arg);
    setNoDelay(connection->bev);
    assert(connection->evcon
           && evhttp_connection_get_bufferevent(connection->evcon) == connection->bev);
    evhttp_connection_set_closecb(connection->evcon, &onClosed, this);
    evhttp_connection *evcon = connection->evcon;
    const int openCount = static_cast<int>(connections.size()) + 1;
    connection->overLimit = openCount > settings.maxConnections;
    connections.emplace(evcon, std::move(connection));
    if (openCount > settings.maxConnections + MaxRefusedConnections)
        evhttp_connection_free(evcon);
}

void HttpServer::Private::onClosed(evhttp_connection *evcon, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto it = server->connections.find(evcon);
    if (it == server->connections.end())
        return;
    auto &affected = server->errorPageConnections;
    affected.erase(std::remove(affected.begin(), affected.end(), it->second.get()), affected.end());
    server->connections.erase(it);
}

/// Detects output that HttpServer has not written, which is evhttp's own error page.
void HttpServer::Private::onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg)
{
    auto *connection = static_cast<ServerConnection *>(arg);
    if (info->n_added == 0 || info->orig_size > 0 || connection->writingResponse)
        return;
    connection->server->errorPageConnections.push_back(connection);
    event_active(connection->server->deferredEvent, EV_TIMEOUT, 0);
}

/// Replaces evhttp's HTML error page with a JSON refusal before it is sent, because callers rely on
/// X-Outcome. evhttp 2.1 has no hook for error pages.
void HttpServer::Private::replaceErrorPage(ServerConnection &connection)
{
    evbuffer *output = bufferevent_get_output(connection.bev);
    // The status line is like "HTTP/1.1 413 ...". evhttp repeats the version of the request, so the
    // position of the status code varies.
    std::string line(std::min<std::size_t>(evbuffer_get_length(output), 40), 0);
    evbuffer_copyout(output, line.data(), line.size());
    const std::size_t space = line.find(' ');
    if (space == std::string::npos)
        return;
    int status = static_cast<int>(parseNumber(line.substr(space + 1, 3)).value_or(400));
    if (status < 400) // "100 Continue" must be sent unchanged
        return;
    std::string error = "malformed request";
    std::string field;
    if (status == 413) {
        error = "body over " + std::to_string(settings.maxBodyBytes) + " bytes";
        field = "body";
    } else if (status == 400) {
        error = "malformed request, or headers over " + std::to_string(settings.maxHeaderBytes)
                + " bytes";
        field = "headers";
    } else if (status == 501) {
        status = 405; // an error of the caller, not of the server
        error = "unsupported method";
        field = "method";
    }
    const HttpResponse response = refusalResponse(status, error, field);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Refused\r\nConnection: close\r\n";
    for (const auto &[name, value] : response.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    // A bufferevent keeps the front of its output frozen. Nothing of the error page has been sent
    // yet, so it can be drained.
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
    connection.writingResponse = true;
    evbuffer_add(output, text.data(), text.size());
    connection.writingResponse = false;
}

void HttpServer::Private::onRequest(evhttp_request *req, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto it = server->connections.find(evhttp_request_get_connection(req));
    assert(it != server->connections.end());
    ServerConnection &connection = *it->second;
    connection.requestActive = true;
    if (connection.overLimit) {
        server->sendResponse(req, refusalResponse(503, "too many connections", "connections"),
                             true);
        return;
    }
    const std::string ambiguous = findAmbiguousHeader(req);
    if (!ambiguous.empty()) {
        server->sendResponse(
                req, refusalResponse(400, "the length of the request is ambiguous", ambiguous),
                true);
        return;
    }
    auto incoming = std::make_shared<IncomingRequest>();
    incoming->server = server->weak_from_this();
    incoming->req = req;
    server->pendingRequests.insert(req);
    const HttpResponder respond = [incoming](const HttpResponse &response) {
        const std::shared_ptr<Private> locked = incoming->server.lock();
        evhttp_request *answered = std::exchange(incoming->req, nullptr);
        if (answered && locked && locked->pendingRequests.erase(answered) > 0)
            locked->sendResponse(answered, response, false);
    };
    try {
        server->handler(copyRequest(req), respond, server->loop.now());
    } catch (const std::exception &error) {
        // An exception must not propagate through evhttp, which is C code.
        respond(unknownOutcomeResponse(error.what()));
    }
}

void HttpServer::Private::sendResponse(evhttp_request *req, HttpResponse response, bool close)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(req);
    for (const auto &[name, value] : response.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (close || stopping)
        evhttp_add_header(headers, "Connection", "close");
    evhttp_request_set_on_complete_cb(req, &onResponseSent, this);
    const auto it = connections.find(evhttp_request_get_connection(req));
    const std::unique_ptr<evbuffer, void (*)(evbuffer *)> body(evbuffer_new(), &evbuffer_free);
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    // If the client has closed the connection, the request is not attached to one, and evhttp only
    // frees it.
    if (it != connections.end())
        it->second->writingResponse = true;
    evhttp_send_reply(req, response.status, nullptr, body.get());
    if (it != connections.end())
        it->second->writingResponse = false;
}

void HttpServer::Private::onResponseSent(evhttp_request *req, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto it = server->connections.find(evhttp_request_get_connection(req));
    if (it == server->connections.end())
        return;
    it->second->requestActive = false;
    it->second->readingSince = server->loop.now();
}

/// Closes connections that have not delivered a complete request within the idle timeout, and
/// enables the listener again after an accept error. evhttp's own timeout restarts with each byte,
/// so a slow sender could keep a connection open indefinitely.
void HttpServer::Private::sweep()
{
    const Time now = loop.now();
    std::vector<evhttp_connection *> expired;
    for (const auto &[evcon, connection] : connections) {
        if (!connection->requestActive && now - connection->readingSince > settings.idleTimeout)
            expired.push_back(evcon);
    }
    for (evhttp_connection *evcon : expired)
        evhttp_connection_free(evcon);
    if (boundSocket)
        evconnlistener_enable(evhttp_bound_socket_get_listener(boundSocket));
    const Duration interval = std::min(settings.idleTimeout / 4, MaxSweepInterval);
    sweepTimer = loop.after(interval, [weak = weak_from_this()](Time) {
        if (const std::shared_ptr<Private> self = weak.lock())
            self->sweep();
    });
}

void HttpServer::Private::start()
{
    http = evhttp_new(loop.base());
    deferredEvent = event_new(loop.base(), -1, 0, &onDeferred, this);
    if (!http || !deferredEvent)
        throw std::bad_alloc();
    evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(settings.maxBodyBytes));
    evhttp_set_max_headers_size(http, static_cast<ev_ssize_t>(settings.maxHeaderBytes));
    // Makes evhttp read the rest of an oversized body before it responds. Closing a socket with
    // unread data resets the connection, and the caller may never receive the refusal.
    evhttp_set_flags(http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_default_content_type(http, nullptr);
    const timeval tv = toTimeval(settings.idleTimeout);
    evhttp_set_timeout_tv(http, &tv);
    evhttp_set_bevcb(http, &onAccept, this);
    evhttp_set_gencb(http, &onRequest, this);
    listen();
    sweep();
}

HttpServer::Private::~Private()
{
    loop.cancel(sweepTimer);
    // evhttp frees requests together with their connection. Those whose connection has already
    // failed must be freed here.
    for (evhttp_request *req : pendingRequests) {
        if (!evhttp_request_get_connection(req))
            evhttp_request_free(req);
    }
    pendingRequests.clear();
    if (http)
        evhttp_free(http);
    if (deferredEvent)
        event_free(deferredEvent);
}

HttpServer::HttpServer(EventLoop &loop, HttpServerSettings settings, Handler handler)
    : d_(std::make_shared<Private>(loop, std::move(settings), std::move(handler)))
{
    assert(d_->handler);
    d_->start();
}

HttpServer::~HttpServer() = default;

void HttpServer::stopAccepting()
{
    if (std::exchange(d_->stopping, true))
        return;
    // The poll that precedes this timer accepts the connections in the backlog. Closing the socket
    // immediately would reset them.
    d_->loop.after(Duration::zero(), [weak = d_->weak_from_this()](Time) {
        if (const std::shared_ptr<Private> self = weak.lock())
            evhttp_del_accept_socket(self->http, std::exchange(self->boundSocket, nullptr));
    });
}

int HttpServer::openConnections() const
{
    return static_cast<int>(d_->connections.size() + d_->newConnections.size());
}

} // namespace monsoonledge
