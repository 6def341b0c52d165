// Adapters: implementations of the ports over real connections. All of them run on one libevent
// loop in one thread.
//
// Sections:
//   [1] Event loop
//   [2] HTTP server
//   [3] HTTP client
//   [4] Clients of the platform
//   [5] Peer links
//   [6] Links for forwarded requests
//   [7] Logger
#pragma once

#include "base/base.h"
#include "ports/ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct event_base;

namespace monsoonledge {

class RelayPort; // fleet/relay.h

// [1] Event loop

class EventLoop : public TimerPort
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called. An exception thrown by a callback stops the loop and is
    /// rethrown from here.
    void run();
    void stop();
    /// Returns the time of CLOCK_BOOTTIME, which keeps advancing while the host is suspended.
    Time now() const;
    /// Returns the wall clock time in milliseconds since 1970 (Unix time). It may jump.
    static std::uint64_t wallMilliseconds();

    TimerId after(Duration delay, std::function<void(Time now)> callback) override;
    void cancel(TimerId id) override;
    /// Calls `callback` from the loop each time the signal is received.
    void onSignal(int signalNumber, std::function<void(Time now)> callback);

    /// Sets the receiver of libevent's warnings and errors, for the whole process. Without a hook
    /// they are dropped.
    static void setLogHook(LogHook hook);

    event_base *base() const;
    /// Measures the work of the loop's thread by the steady clock.
    WorkMeter &workMeter();
    /// The processor time that this process has used.
    static Duration processorTime();

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

// [2] HTTP server

/// Header names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// Returns the value of a header, or an empty string if it is absent. `name` is in lower case.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

struct HttpRequest
{
    std::string method;
    std::string path; // percent-decoded, without the query
    std::map<std::string, std::string> query; // percent-decoded; values may be empty
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers; // Content-Length is added
    std::string body;
};

/// Sends the response to one request, also after the handler has returned. A second call, or a call
/// after the client has closed its connection, has no effect.
using HttpResponder = std::function<void(const HttpResponse &)>;

struct HttpServerSettings
{
    Address address;
    std::size_t maxBodyBytes = MaxBodyBytes;
    std::size_t maxHeaderBytes = 16 * 1024;
    int maxConnections = 2000;
    Duration idleTimeout = seconds(30); // for a whole request to arrive; also bounds slow senders
};

/// HTTP server. It refuses the following without calling the handler, with the JSON body
/// {"error", "field", "outcome": "not-run"}, and closes the connection: bodies and headers over the
/// limits, malformed requests, differing Content-Length headers and anything else that makes the
/// length of a request ambiguous, and connections over the limit. If a handler throws, or destroys
/// its callback without calling it, the response is 500 with the outcome "unknown". The server must
/// not be destroyed from inside its handler.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, HttpResponder, Time now)>;

    /// Throws std::runtime_error, naming the address, if the address cannot be bound.
    HttpServer(EventLoop &loop, HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes the listening socket in the next pass of the event loop, after accepting the
    /// connections in its backlog. Requests on open connections are still served, each response
    /// with "Connection: close".
    void stopAccepting();
    int openConnections() const;

    struct Private; // internal state, accessed by the callbacks of evhttp

private:
    std::shared_ptr<Private> d_;
};

// [3] HTTP client

enum class HttpFailure {
    None,
    NotSent, // no byte was sent: invalid request, no time left, or no connection
    Refused, // the connection was refused; no byte was sent
    NoValidResponse, // sent; the response was incomplete, malformed or rejected
    TimedOut, // sent; no complete response arrived within the timeout
};

/// Returns true if the failure guarantees that no byte of the request was sent.
bool isCertainlyUnsent(HttpFailure failure);

/// One TCP connection of an HttpClient. All that is sent on it goes to the same process.
using ConnectionId = Number<struct ConnectionTag>;

struct HttpResult
{
    HttpFailure failure = HttpFailure::None;
    HttpResponse response; // set if failure is None
    ConnectionId connection; // that carried the response; set if failure is None
    std::string detail; // reason of the failure
};

struct HttpClientSettings
{
    int maxConnectionsPerAddress = 16;
    Duration connectTimeout = seconds(1);
    std::size_t maxBodyBytes = 2 * 1024 * 1024; // of a response
    // If set, a response that has begun to arrive within the timeout of its request may take longer
    // as a whole: the request then fails when nothing has arrived for this long.
    Duration stallTimeout{};
    Duration maxResponseTime = seconds(10); // limit for a whole request with a stall timeout
    WorkKind workKind = WorkKind::WorkerCalls; // that the time of calls counts for
};

/// HTTP client with persistent connections, on each of which one request runs at a time. Never
/// sends a request twice, and never reuses a connection on which a request has failed. Requests
/// over the connection limit are queued; the time in the queue counts towards their timeout. The
/// client may be destroyed from inside a callback; the callbacks of unfinished requests are then
/// not called.
class HttpClient
{
public:
    HttpClient(EventLoop &loop, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Returns the reason to reject a response, or an empty string to accept it.
    using ResponseValidator = std::function<std::string(const HttpResponse &)>;

    /// `target` is the path with the query, already percent-encoded. Calls `done` exactly once,
    /// unless the client is destroyed first. A response that `validator` rejects is reported as
    /// NoValidResponse with the reason as its detail, and its connection is closed.
    void send(const Address &address, const std::string &method, const std::string &target,
              const HttpHeaders &headers, const std::string &body, Duration timeout,
              std::function<void(const HttpResult &, Time now)> done,
              ResponseValidator validator = {});
    /// The same on this connection, which findIdleConnection() has just returned. The request is
    /// sent on no other one: if the connection fails, so does the request.
    void sendOn(ConnectionId connection, const Address &address, const std::string &method,
                const std::string &target, const HttpHeaders &headers, const std::string &body,
                Duration timeout, std::function<void(const HttpResult &, Time now)> done);
    /// One of these connections to the address that is open and idle, or nothing.
    std::optional<ConnectionId> findIdleConnection(const Address &address,
                                                   const std::set<ConnectionId> &among) const;

    struct Private; // internal state, accessed by the callbacks of evhttp

private:
    std::shared_ptr<Private> d_;
};

/// Percent-encodes all but the unreserved characters of RFC 3986, for use in a path or query.
std::string percentEncode(const std::string &text);

// [4] Clients of the platform

/// A watch is a long poll of 10 s and has its own connections. `timeout` applies to each call; for
/// a watch it is added to the 10 s.
std::unique_ptr<StorePort> makeStoreClient(EventLoop &loop, const Address &address,
                                           Duration timeout = seconds(2));
/// Hosts that cannot be parsed are left out of the list. A host in an unknown state is reported as
/// Leaving.
std::unique_ptr<HostListPort> makeHostListClient(EventLoop &loop, const Address &address,
                                                 Duration timeout = seconds(2));
/// `maxConnections` limits the connections to each endpoint for requests; status samples use one
/// more.
std::unique_ptr<EndpointPort> makeEndpointClient(EventLoop &loop, int maxConnections = 24);
/// A Throttle order has the body {"percent"}; a response may have the body {"checkpoint"}.
std::unique_ptr<WorkerPort> makeWorkerClient(EventLoop &loop, Duration timeout = seconds(2));

// [5] Peer links

struct PeerLinkSettings
{
    EntryRun self;
    DomainId domain;
    Address listen;
    Duration silenceTimeout = seconds(5); // a link that receives nothing for this long is closed
    Duration connectTimeout = seconds(1);
    Duration reconnectDelay = milliseconds(200); // from a loss to the next connection attempt
    std::size_t maxPendingBytes = 4 * 1024 * 1024; // a link with more unsent bytes is closed
};

/// Throws std::runtime_error, naming the address, if it cannot be bound. The process with the
/// smaller entry id connects and the other accepts; a link may be lost at any time. After a loss
/// the accepting side probes the peer's address, so that both sides detect a refused connection.
/// A loss reported as Refused after a call of addPeer() comes from a connect that started after the
/// call: call addPeer() again for each new incarnation that becomes known. send() also returns
/// false for a message that cannot be encoded. Ignores SIGPIPE in the whole process.
std::unique_ptr<PeerPort> makePeerLinks(EventLoop &loop, const PeerLinkSettings &settings);

/// Message codec, public for fuzzing and tests. A message is one CBOR map with a "type" field.
/// Encoding throws std::invalid_argument if a field is over the limits that decoding checks.
/// Durations are clamped to the range from 0 to 24 hours.
struct PeerHello
{
    EntryRun run;
    DomainId domain;
    int protocol = 1;
};
std::string encodePeerMessage(const PeerHello &message);
std::string encodePeerMessage(const Heartbeat &message);
std::string encodePeerMessage(const ForwardMessage &message);
std::string encodePeerMessage(const AnswerMessage &message);
std::string encodePeerMessage(const ClaimMessage &message);
std::string encodePeerMessage(const ClaimAckMessage &message);
std::string encodePeerMessage(const SheetMessage &message);
std::string encodePeerMessage(const SheetRequestMessage &message);

/// Receives decoded messages. A message whose function is not set is decoded and ignored.
struct PeerMessageHandlers
{
    std::function<void(const PeerHello &)> hello;
    std::function<void(const Heartbeat &)> heartbeat;
    std::function<void(const ForwardMessage &)> forward;
    std::function<void(const AnswerMessage &)> answer;
    std::function<void(const ClaimMessage &)> claim;
    std::function<void(const ClaimAckMessage &)> claimAck;
    std::function<void(const SheetMessage &)> sheet;
    std::function<void(const SheetRequestMessage &)> sheetRequest;
};
/// Throws std::runtime_error if the bytes are not a valid message.
void decodePeerMessage(const std::string &bytes, const PeerMessageHandlers &handlers);

// [6] Links for forwarded requests

struct RelayLinkSettings
{
    EntryRun self;
    DomainId domain;
    Address listen; // where other entry processes connect
    Duration idleTimeout = seconds(10); // a link without requests for this long is closed
    // A link that is not open, with the hellos exchanged, after this is closed.
    Duration connectTimeout = milliseconds(400);
    // A link on which nothing arrives for this long after a request is closed.
    Duration silenceTimeout = milliseconds(400);
};

/// Links to other entry processes for the requests of fleet/relay.h, opened on demand. Throws
/// std::runtime_error, naming the address, if it cannot be bound. Ignores SIGPIPE in the whole
/// process.
std::unique_ptr<RelayPort> makeRelayLinks(EventLoop &loop, const RelayLinkSettings &settings);

// [7] Logger

struct LoggerSettings
{
    std::string level = "info"; // debug, info, warning or error
    DomainId domain;
    EntryId entry;
    HostId host;
    int maxLinesPerMinute = 60; // lines per event name; further lines are counted and reported
};

/// Writes log events to standard output as JSON lines with the fields time (UTC, RFC 3339), level,
/// event, domain, entry, host, message and the event's own fields. Never blocks on a slow reader: a
/// line for which the pipe has no room is dropped and counted.
class Logger
{
public:
    explicit Logger(LoggerSettings settings);
    void write(const LogEvent &event, Time now);
    /// Throws std::invalid_argument if `level` is not the name of a level.
    void setLevel(const std::string &level);

private:
    struct Suppression
    {
        Time windowStart{};
        int written = 0;
        int suppressed = 0;
    };

    bool writeLine(const LogEvent &event);

    LoggerSettings settings_;
    LogLevel level_ = LogLevel::Info;
    int droppedLines_ = 0; // lines dropped since the last one that was written
    std::map<std::string, Suppression> suppressions_;
};

} // namespace monsoonledge
