// Endpoints in virtual time that record every run, every overload and late work for leaving ones.
#pragma once

#include "base/base.h"
#include "fakes/faketimers.h"
#include "ports/ports.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace monsoonledge {

class FakeEndpoints
{
public:
    struct Endpoint
    {
        int slots = 4;
        int running = 0;
        std::map<std::string, int> runningByEntry;
        std::optional<Time> leavingSince;
        bool saysLeaving = true; // whether its status tells that it leaves
        int started = 0; // requests run so far
        double refuse = 0; // share of requests refused before running
        double loseAnswer = 0; // share of requests that run and whose connection is then lost
        double slow = 0; // share of requests that take up to 4 s
    };

    FakeEndpoints(FakeClock &clock, std::uint64_t seed) : clock_(clock), random_(seed) { }

    FakeClock &clock() { return clock_; }
    Random &random() { return random_; }

    std::map<std::uint16_t, Endpoint> endpoints; // by port
    std::map<RequestId, int> runs; // of non-idempotent requests
    int overloads = 0;
    int lateWork = 0; // started on an endpoint more than LeavingGrace after it began to leave
    int crossedIds = 0;

    static constexpr Duration LeavingGrace = seconds(5);

private:
    FakeClock &clock_;
    Random random_;
};

class FakeEndpointClient : public EndpointPort
{
public:
    FakeEndpointClient(FakeEndpoints &world, FakeTimers &process) : world_(world), process_(process)
    { }

    void run(const Address &address, const EntryRun &sender, const Request &request,
             Duration timeout, std::function<void(const RunResult &, Time now)> done) override
    {
        auto open = std::make_shared<decltype(done)>(std::move(done));
        const auto deliver = [process = &process_, open,
                              guard = std::weak_ptr<bool>(alive_)](const RunResult &result) {
            if (guard.expired())
                return; // the process is dead
            process->after(milliseconds(1), [open, result](Time now) {
                if (const auto callback = std::exchange(*open, nullptr))
                    callback(result, now);
            });
        };
        process_.after(timeout, [open](Time now) {
            if (const auto callback = std::exchange(*open, nullptr))
                callback(RunResult(), now);
        });
        const auto network =
                Duration(300 + static_cast<Duration::rep>(world_.random().below(1500)));
        world_.clock().after(network, [&world = world_, port = address.port, sender, request,
                                       deliver] { arrive(world, port, sender, request, deliver); });
    }

    void status(const Address &address,
                std::function<void(const EndpointStatus &, Time now)> done) override
    {
        const FakeEndpoints::Endpoint &endpoint = world_.endpoints.at(address.port);
        EndpointStatus status;
        status.ok = true;
        status.slots = endpoint.slots;
        status.running = endpoint.running;
        status.runningByEntry = endpoint.runningByEntry;
        status.leaving = endpoint.leavingSince.has_value() && endpoint.saysLeaving;
        status.sampleAge = milliseconds(1);
        process_.after(milliseconds(2),
                       [status, done = std::move(done)](Time now) { done(status, now); });
    }

private:
    template<typename Deliver>
    static void arrive(FakeEndpoints &world, std::uint16_t port, const EntryRun &sender,
                       const Request &request, const Deliver &deliver)
    {
        FakeEndpoints::Endpoint &endpoint = world.endpoints.at(port);
        RunResult result;
        const bool late =
                endpoint.leavingSince
                && world.clock().now() > *endpoint.leavingSince + FakeEndpoints::LeavingGrace;
        world.lateWork += late ? 1 : 0;
        if (world.random().unit() < endpoint.refuse) {
            result.status = RunStatus::NotRun;
            result.leaving = endpoint.leavingSince.has_value();
            deliver(result);
            return;
        }
        ++endpoint.started;
        ++endpoint.running;
        ++endpoint.runningByEntry[sender.str()];
        world.overloads += endpoint.running > endpoint.slots ? 1 : 0;
        if (!request.idempotent)
            ++world.runs[request.id];
        const bool slow = world.random().unit() < endpoint.slow;
        const auto time = Duration(
                5000 + static_cast<Duration::rep>(world.random().below(slow ? 4'000'000 : 60'000)));
        const bool lost = world.random().unit() < endpoint.loseAnswer;
        world.clock().after(time, [&world, port, sender, id = request.id, lost, deliver] {
            FakeEndpoints::Endpoint &ending = world.endpoints.at(port);
            --ending.running;
            --ending.runningByEntry[sender.str()];
            RunResult answer;
            if (!lost) {
                answer.status = RunStatus::Answered;
                answer.httpStatus = 200;
                answer.body = id.str();
            }
            deliver(answer);
        });
    }

    FakeEndpoints &world_;
    FakeTimers &process_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
