#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <nlohmann/json.hpp>

namespace monsoonledge {

namespace {

constexpr Duration ConnectTimeout = seconds(1);
constexpr Duration StatusTimeout = seconds(2);
constexpr std::size_t MaxStatusBytes = 64 * 1024;

/// Returns the request target /run/<service>/<class>. A ClassId has the form "service/class", of
/// which only the part after the slash goes into the second segment.
std::string runTarget(const Request &request)
{
    std::string className = request.requestClass.str();
    const std::string prefix = request.service.str() + '/';
    if (className.compare(0, prefix.size(), prefix) == 0)
        className.erase(0, prefix.size());
    return "/run/" + percentEncode(request.service.str()) + '/' + percentEncode(className);
}

RunResult parseRunResult(const HttpResult &result)
{
    RunResult run;
    run.detail = result.detail;
    if (result.failure != HttpFailure::None) {
        run.status = isCertainlyUnsent(result.failure) ? RunStatus::NotRun : RunStatus::Unknown;
        return run;
    }
    const HttpResponse &response = result.response;
    run.leaving = headerValue(response.headers, "x-leaving") == "1";
    if (response.status == 503 && headerValue(response.headers, "x-not-run") == "1") {
        run.status = RunStatus::NotRun;
        run.detail = "the endpoint refused the request without running it";
        return run;
    }
    run.status = RunStatus::Answered;
    run.httpStatus = response.status;
    run.contentType = headerValue(response.headers, "content-type");
    run.body = response.body;
    return run;
}

EndpointStatus parseStatus(const HttpResult &result)
{
    if (result.failure != HttpFailure::None || result.response.status != 200)
        return {};
    try {
        const nlohmann::json json = nlohmann::json::parse(result.response.body);
        EndpointStatus status;
        status.slots = json.at("slots").get<int>();
        status.running = json.at("running").get<int>();
        status.runningByEntry = json.at("runningBy").get<std::map<std::string, int>>();
        status.sampleAge = milliseconds(json.at("sampleAgeMs").get<std::int64_t>());
        status.leaving = json.value("leaving", false);
        status.ok = true;
        return status;
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

class EndpointClient : public EndpointPort
{
public:
    EndpointClient(EventLoop &loop, int maxConnections)
        : http_(loop, {maxConnections, ConnectTimeout, MaxAnswerBytes}),
          statusHttp_(loop, {1, ConnectTimeout, MaxStatusBytes})
    { }

    void run(const Address &endpoint, const EntryRun &sender, const Request &request,
             Duration timeout, std::function<void(const RunResult &, Time now)> done) override
    {
        const std::string id = request.id.str();
        const HttpHeaders headers{{"X-Request-Id", id},
                                  {"X-Entry", sender.str()},
                                  {"X-Idempotent", request.idempotent ? "1" : "0"}};
        // A response with a different id belongs to another request. Nothing in it can be trusted,
        // not even the statement that the request was not run.
        const auto validator = [id](const HttpResponse &response) -> std::string {
            if (headerValue(response.headers, "x-request-id") == id)
                return {};
            return "the response has the X-Request-Id of another request, or none";
        };
        http_.send(
                endpoint, "POST", runTarget(request), headers, request.body, timeout,
                [done = std::move(done)](const HttpResult &result, Time now) {
                    done(parseRunResult(result), now);
                },
                validator);
    }

    void status(const Address &endpoint,
                std::function<void(const EndpointStatus &, Time now)> done) override
    {
        statusHttp_.send(endpoint, "GET", "/status", {}, {}, StatusTimeout,
                         [done = std::move(done)](const HttpResult &result, Time now) {
                             done(parseStatus(result), now);
                         });
    }

private:
    HttpClient http_;
    HttpClient statusHttp_;
};

} // namespace

std::unique_ptr<EndpointPort> makeEndpointClient(EventLoop &loop, int maxConnections)
{
    return std::make_unique<EndpointClient>(loop, maxConnections);
}

} // namespace monsoonledge
