// A deployment in virtual time: a store, workers, and entry processes that can be killed, suspended
// and cut off.
#pragma once

#include "fakes/fakekeyvalue.h"
#include "fakes/fakerunners.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoonledge {

class FleetWorld
{
public:
    struct Process
    {
        std::unique_ptr<FakeTimers> timers;
        std::unique_ptr<FakeKeyValuePort> store;
        std::unique_ptr<FakeRunPort> workers;
        std::unique_ptr<FleetNode> node;
    };

    explicit FleetWorld(int processCount, int workerCount = 4, std::uint64_t seed = 1)
        : store(clock), runners(clock), random(seed)
    {
        putConfig(1);
        // The registry has removed an entry without heartbeats by then.
        runners.onBack = [this](const std::string &formerId, const std::string &id) {
            if (formerId != id)
                store.remove("servers/" + formerId);
            publish(id);
        };
        for (int i = 0; i < workerCount; ++i) {
            WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(i));
            entry.incarnation.value = 1000;
            entry.service = ServiceId("desk");
            entry.address.ip = "10.0.0." + std::to_string(i + 1);
            entry.cpu.value = 16000;
            entry.memory.value = 64000;
            runners.add(entry);
            publish(entry.id.str());
        }
        processes.resize(static_cast<std::size_t>(processCount));
        for (int i = 0; i < processCount; ++i)
            start(i);
    }

    /// Writes a configuration without its queue.
    void removeQueue(std::uint64_t version)
    {
        store.put("op/config", std::to_string(version) + " no queue");
    }

    /// Writes a configuration whose value is padded to at least `bytes`.
    void putConfig(std::uint64_t version, std::size_t bytes = 0)
    {
        std::string value = std::to_string(version);
        value.resize(std::max(value.size(), bytes), ' ');
        store.put("op/config", value);
    }

    void publish(const std::string &id)
    {
        store.put("servers/" + id, encodeWorker(runners.at(id).entry));
    }

    void start(int index)
    {
        Process &process = processes.at(static_cast<std::size_t>(index));
        kill(index);
        process.timers = std::make_unique<FakeTimers>(clock);
        process.store = std::make_unique<FakeKeyValuePort>(store, *process.timers);
        process.workers = std::make_unique<FakeRunPort>(runners, *process.timers);
        process.workers->random = Random(random.next());
        FleetSettings settings;
        settings.name = "p" + std::to_string(index);
        const auto cores = cpuShares.find(index);
        settings.hostCores = cores == cpuShares.end() ? 1 : cores->second;
        settings.configKey = "op/config";
        settings.configPrefix = "op/";
        settings.workerPrefix = "servers/";
        settings.admitsUnderShortage = admitsUnderShortage;
        const FleetPorts ports{*process.store,
                               *process.workers,
                               *process.timers,
                               FleetDecoders{decodeConfig, workerDecoder},
                               [this] { return wall(); },
                               [this](const LogEvent &event) { log.push_back(event.event); }};
        process.node = std::make_unique<FleetNode>(settings, ports, random.next(), clock.now());
        process.node->start();
    }

    void kill(int index)
    {
        Process &process = processes.at(static_cast<std::size_t>(index));
        if (process.timers)
            process.timers->kill();
        // Ports and timers stay: calls that are under way still refer to them.
        if (process.node) {
            process.node.reset();
            graveyard_.push_back(std::move(process));
            processes.at(static_cast<std::size_t>(index)) = Process();
        }
    }

    int coordinator() const
    {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (processes[i].node && processes[i].node->isCoordinator())
                return static_cast<int>(i);
        }
        return -1;
    }

    static JobSpec job(const std::string &id, int tasks = 4, const std::string &payload = "ms=100")
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("renewal");
        spec.payload = payload;
        StepSpec step;
        step.count = tasks;
        step.cpu.value = 1000;
        step.memory.value = 100;
        step.estimate = milliseconds(payloadNumber(payload, "ms", 100));
        spec.steps.push_back(step);
        return spec;
    }

    JobAnswer submit(int index, const JobSpec &spec)
    {
        auto answer = std::make_shared<std::optional<JobAnswer>>();
        node(index).submit(
                spec, clock.now() + seconds(3),
                [answer](JobAnswer value, Time) { *answer = value; }, clock.now());
        wait([&] { return answer->has_value(); });
        return answer->value_or(JobAnswer::Unknown);
    }

    JobAnswer cancel(int index, const std::string &id)
    {
        auto answer = std::make_shared<std::optional<JobAnswer>>();
        node(index).cancel(
                JobId(id), clock.now() + seconds(3),
                [answer](JobAnswer value, Time) { *answer = value; }, clock.now());
        wait([&] { return answer->has_value(); });
        return answer->value_or(JobAnswer::Unknown);
    }

    std::optional<JobState> state(int index, const std::string &id)
    {
        auto answer = std::make_shared<std::optional<std::pair<JobAnswer, JobState>>>();
        node(index).state(
                JobId(id),
                [answer](JobAnswer found, JobState value, Time) {
                    *answer = std::make_pair(found, value);
                },
                clock.now());
        wait([&] { return answer->has_value(); });
        if (!answer->has_value() || (*answer)->first != JobAnswer::Accepted)
            return std::nullopt;
        return (*answer)->second;
    }

    bool wait(const std::function<bool()> &condition, Duration limit = seconds(5))
    {
        const Time end = clock.now() + limit;
        while (!condition() && clock.now() < end)
            clock.advance(milliseconds(1));
        return condition();
    }

    FleetNode &node(int index) { return *processes.at(static_cast<std::size_t>(index)).node; }
    Process &process(int index) { return processes.at(static_cast<std::size_t>(index)); }

    WallMilliseconds wall() const
    {
        return {1700000000000U
                + static_cast<std::uint64_t>(clock.now().time_since_epoch().count() / 1000)};
    }

    FakeClock clock;
    FakeKeyValueStore store;
    FakeRunners runners;
    Random random;
    std::vector<Process> processes;
    std::vector<std::string> log;
    bool admitsUnderShortage = false; // taken at the start of a process
    std::map<int, double> cpuShares; // cores of a process's host, if not 1; taken at its start
    // Of the workers' entries; taken at the start of a process.
    std::function<std::optional<WorkerEntry>(const std::string &, const std::string &)>
            workerDecoder = decodeWorker;

private:
    static std::optional<QueueConfig> decodeConfig(const std::string &value)
    {
        QueueConfig config;
        config.version = std::stoull(value);
        if (value.find("no queue") != std::string::npos)
            return config;
        QueueSpec queue;
        queue.id = QueueId("renewal");
        queue.httpHost = "desk.example";
        queue.pathPrefix = "/renewal/";
        queue.service = ServiceId("desk");
        queue.maxAttempts = 3;
        queue.slackFactor = 2;
        queue.targetLatency = milliseconds(300);
        config.queues.push_back(queue);
        return config;
    }

    std::vector<Process> graveyard_;
};

} // namespace monsoonledge
