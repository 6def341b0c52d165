// Adapters: the ports on real connections, over one libevent loop on one thread.
//
// Sections:
//   [1] Event loop
//   [2] HTTP server
//   [3] HTTP client
//   [4] Clients of the platform
//   [5] Peer links
//   [6] Logger
#pragma once

#include "base/base.h"
#include "ports/ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace monsoonledge {

// [1] Event loop

class EventLoop : public TimerPort
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called. An exception thrown by a callback ends the run and is thrown
    /// again from here.
    void run();
    void stop();
    /// CLOCK_BOOTTIME: it goes on while the host is suspended.
    Time now() const;
    /// Time of day in milliseconds since 1970. It may jump.
    static std::uint64_t wallMilliseconds();

    TimerId after(Duration delay, std::function<void(Time now)> callback) override;
    void cancel(TimerId id) override;
    /// Calls back in the loop for each arrival of the signal.
    void onSignal(int signalNumber, std::function<void(Time now)> callback);

    /// Receives the warnings of libevent in this process. Without a hook they are dropped.
    static void setLogHook(LogHook hook);

    event_base *base() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

// [2] HTTP server

/// Header names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// The value of a header, or an empty string. `name` is in lower case.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

struct HttpRequest
{
    std::string method;
    std::string path; // decoded, without the query
    std::map<std::string, std::string> query; // decoded
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers; // Content-Length is added
    std::string body;
};

/// Sends the response of one request. May be called later, once; calling it after the client has
/// closed its connection has no effect.
using HttpRespond = std::function<void(const HttpResponse &)>;

struct HttpServerSettings
{
    Address address;
    std::size_t maxBodyBytes = MaxBodyBytes;
    std::size_t maxHeaderBytes = 16 * 1024;
    int maxConnections = 2000;
    Duration idleTimeout = seconds(30); // also bounds slow senders
};

/// Refuses by itself, with a JSON error {"error", "field", "outcome": "not-run"}: bodies and
/// headers over the limits, malformed requests, differing Content-Length headers and whatever else
/// makes the length of a request ambiguous, more connections than allowed. Such a refusal closes
/// the connection. A handler that throws, or drops the callback, gives 500 with outcome "unknown".
/// The server must not be destroyed from inside its handler.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, HttpRespond, Time now)>;

    /// Throws std::runtime_error that names the address if it cannot be bound.
    HttpServer(EventLoop &loop, HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Frees the listening socket in the next pass of the loop, after accepting connections that
    /// were made before. Requests on open connections are still served, each answered with
    /// "Connection: close".
    void stopAccepting();
    int openConnections() const;

    struct Private; // internal state, used by callbacks of evhttp

private:
    std::shared_ptr<Private> d_;
};

// [3] HTTP client

enum class HttpFailure {
    None,
    NotConnected, // no byte was sent
    Refused, // connection refused, no byte was sent
    Lost, // sent; the connection ended before the whole response arrived, or it is malformed
    TimedOut, // sent, and no whole response within the time
};

/// True if the failure guarantees that no byte of the request left this process.
bool isCertainlyUnsent(HttpFailure failure);

struct HttpResult
{
    HttpFailure failure = HttpFailure::None;
    HttpResponse response;
    std::string detail;
};

struct HttpClientSettings
{
    int maxConnectionsPerAddress = 16;
    Duration connectTimeout = seconds(1);
    std::size_t maxBodyBytes = 2 * 1024 * 1024;
};

/// Keeps connections to each address open between requests, and runs one request at a time on each.
/// Never sends a request twice, and never reuses a connection on which a request has failed.
/// Requests over the connection limit wait within their timeout. The client may be destroyed from
/// inside a callback; the callbacks of requests that are still open are not called then.
class HttpClient
{
public:
    HttpClient(EventLoop &loop, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Returns the reason why a response cannot be used, or an empty string.
    using Check = std::function<std::string(const HttpResponse &)>;

    /// `target` is the path with the query, already encoded. Calls back exactly once, unless the
    /// client is destroyed before. A response refused by `check` is Lost, with the reason as its
    /// detail, and closes the connection.
    void send(const Address &address, const std::string &method, const std::string &target,
              const HttpHeaders &headers, const std::string &body, Duration timeout,
              std::function<void(const HttpResult &, Time now)> done, Check check = {});

    struct Private; // internal state, used by callbacks of evhttp

private:
    std::shared_ptr<Private> d_;
};

/// Percent-encodes everything but unreserved characters, for use in a path or query.
std::string percentEncode(const std::string &text);

// [4] Clients of the platform

/// A watch waits 10 s in the store and has its own connections. `timeout` applies to each call, and
/// to a watch on top of its wait.
std::unique_ptr<StorePort> makeStoreClient(EventLoop &loop, const Address &address,
                                           Duration timeout = seconds(2));
/// A host that cannot be read from the list is left out. A host in an unknown state is Leaving.
std::unique_ptr<HostListPort> makeHostListClient(EventLoop &loop, const Address &address,
                                                 Duration timeout = seconds(2));
/// `maxConnections`: per endpoint, for requests; status samples use one more.
std::unique_ptr<EndpointPort> makeEndpointClient(EventLoop &loop, int maxConnections = 24);
/// Throttle orders carry {"percent"} as body; a response may carry {"checkpoint"}.
std::unique_ptr<WorkerPort> makeWorkerClient(EventLoop &loop, Duration timeout = seconds(2));

// [5] Peer links

struct PeerLinkSettings
{
    EntryRun self;
    DomainId domain;
    Address listen;
    Duration silence = seconds(5); // a link without any message for this long is closed
    Duration connectTimeout = seconds(1);
    Duration reconnectDelay = milliseconds(200); // between two attempts to connect
    std::size_t maxPendingBytes = 4 * 1024 * 1024; // unsent bytes at which a link is closed
};

/// Throws std::runtime_error that names the address if it cannot be bound. The process with the
/// smaller entry id connects and the other accepts; both may lose the link at any time. After a
/// loss the accepting side probes the peer's address, so that a refused connection shows on both
/// sides. A Refused that is reported after a call of addPeer() comes from a connect that started
/// after the call: call it again for each new incarnation that becomes known. send() also returns
/// false for a message that cannot be encoded. Ignores SIGPIPE in the whole process.
std::unique_ptr<PeerPort> makePeerLinks(EventLoop &loop, const PeerLinkSettings &settings);

/// Message codec, public for fuzzing and tests. A message is one CBOR map with a "type" field.
/// Encoding throws std::invalid_argument if a field is over the limits that decoding checks.
/// Durations are written as 0 to 24 hours, the nearest one if they are outside.
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

/// Receives decoded messages. Unset functions ignore their message.
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
/// Throws std::runtime_error if the bytes are no valid message.
void decodePeerMessage(const std::string &bytes, const PeerMessageHandlers &handlers);

// [6] Logger

struct LoggerSettings
{
    std::string level = "info"; // debug, info, warning or error
    DomainId domain;
    EntryId entry;
    HostId host;
    int repeatsPerMinute = 60; // lines of one event; the rest is counted and reported
};

/// Writes log events to standard output as JSON lines with the fields time (UTC, RFC 3339), level,
/// event, domain, entry, host, message and the event's own fields. Never waits for a slow reader: a
/// line for which the pipe has no room is left out and counted.
class Logger
{
public:
    explicit Logger(LoggerSettings settings);
    void write(const LogEvent &event, Time now);
    /// Throws std::invalid_argument if the name is no level.
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
    int dropped_ = 0; // lines since the last one that was written
    std::map<std::string, Suppression> suppressions_;
};

} // namespace monsoonledge
