#include "app/serve.h"

#include "adapters/adapters.h"
#include "app/exitcodes.h"
#include "app/httpapi.h"
#include "app/metricsapi.h"
#include "node/node.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>

namespace monsoonledge {

namespace {

constexpr Duration DrainPoll = milliseconds(20);
// Time for the last responses to leave the process before it ends.
constexpr Duration FlushTime = milliseconds(100);

Incarnation makeIncarnation()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    return Incarnation{static_cast<std::uint64_t>(count)};
}

/// Everything that one entry process consists of.
class Server
{
public:
    explicit Server(const Settings &settings)
        : settings_(settings),
          logger_({settings.logLevel, settings.domain, settings.entry, settings.host}),
          log_([this](const LogEvent &event) { logger_.write(event, loop_.now()); }),
          store_(makeStoreClient(loop_, settings.store)),
          hosts_(makeHostListClient(loop_, settings.hostList)),
          endpoints_(makeEndpointClient(loop_)), workers_(makeWorkerClient(loop_))
    {
        const Incarnation incarnation = makeIncarnation();
        PeerLinkSettings links;
        links.self = {settings.entry, incarnation};
        links.domain = settings.domain;
        links.listen = settings.peer;
        peers_ = makePeerLinks(loop_, links);
        node_ = std::make_unique<Node>(
                settings, incarnation,
                NodePorts{*store_, loop_, *hosts_, *endpoints_, *workers_, *peers_, log_},
                std::random_device()());
        connectMetrics(*node_, metrics_, loop_);
        api_ = std::make_unique<HttpApi>(*node_, metrics_, log_);
        HttpServerSettings http;
        http.address = settings.listen;
        http.maxConnections = settings.limits.maxConnections;
        http.maxHeaderBytes = static_cast<std::size_t>(settings.limits.maxHeaderBytes);
        http.idleTimeout = settings.limits.callerIdle;
        http_ = std::make_unique<HttpServer>(
                loop_, http, [this](const HttpRequest &request, HttpResponder respond, Time now) {
                    api_->handle(request, std::move(respond), now);
                });
    }

    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        loop_.onSignal(SIGTERM, [this](Time now) { beginStop(now); });
        loop_.onSignal(SIGINT, [this](Time now) { beginStop(now); });
        node_->expelled.connect([this](Time) { stopWith(ExitExpelled); });
        log_({LogLevel::Info,
              "started",
              "the entry process is listening",
              {{"listen", settings_.listen.str()}, {"peer", settings_.peer.str()}}});
        node_->start(loop_.now());
        loop_.run();
        return status_;
    }

private:
    void beginStop(Time now)
    {
        if (stopping_)
            return;
        stopping_ = true;
        stopLimit_ = now + settings_.timing.drainLimit;
        node_->drain(now);
        loop_.after(settings_.timing.drainGrace, [this](Time later) {
            http_->stopAccepting();
            awaitDrained(later);
        });
    }

    void awaitDrained(Time now)
    {
        const bool drained = node_->drained();
        if (!drained && now < stopLimit_) {
            loop_.after(DrainPoll, [this](Time later) { awaitDrained(later); });
            return;
        }
        log_({drained ? LogLevel::Info : LogLevel::Error,
              "stopped",
              drained ? "all requests ended and all units are released"
                      : "the drain limit passed with requests in flight",
              {{"pending", std::to_string(node_->pendingCount())}}});
        loop_.after(FlushTime,
                    [this, drained](Time) { stopWith(drained ? ExitSuccess : ExitFailed); });
    }

    void stopWith(int status)
    {
        status_ = status;
        loop_.stop();
    }

    Settings settings_;
    EventLoop loop_;
    Logger logger_;
    LogHook log_;
    std::unique_ptr<StorePort> store_;
    std::unique_ptr<HostListPort> hosts_;
    std::unique_ptr<EndpointPort> endpoints_;
    std::unique_ptr<WorkerPort> workers_;
    std::unique_ptr<PeerPort> peers_;
    Metrics metrics_;
    std::unique_ptr<Node> node_;
    std::unique_ptr<HttpApi> api_;
    std::unique_ptr<HttpServer> http_;
    bool stopping_ = false;
    Time stopLimit_{};
    int status_ = ExitSuccess;
};

} // namespace

int serve(const Settings &settings)
{
    std::unique_ptr<Server> server;
    try {
        server = std::make_unique<Server>(settings);
    } catch (const std::runtime_error &error) {
        std::cerr << "monsoonledge: " << error.what() << '\n';
        return ExitAddressInUse;
    }
    return server->run();
}

} // namespace monsoonledge
