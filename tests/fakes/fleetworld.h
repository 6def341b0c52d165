// A deployment in virtual time: a store, workers, and entry processes that can be killed, suspended
// and cut off.
#pragma once

#include "fakes/fakekeyvalue.h"
#include "fakes/fakerelay.h"
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
        std::unique_ptr<FakeRelayPort> relay; // null: the process forwards no requests
        std::unique_ptr<FleetNode> node;
    };

    /// `hasRelays`: the processes forward requests that the store does not take from their hosts.
    explicit FleetWorld(int processCount, int workerCount = 4, std::uint64_t seed = 1,
                        bool hasRelays = false)
        : store(clock), runners(clock), random(seed), hasRelays_(hasRelays)
    {
        putConfig(1);
        // The registry has removed an entry without heartbeats by then.
        runners.onBack = [this](const std::string &formerId, const std::string &id) {
            if (formerId != id)
                store.remove("servers/" + formerId);
            publish(id);
        };
        runners.onExpired = [this](const std::string &id) { store.remove("servers/" + id); };
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

    /// From now on, the incarnations of workers are the times of their starts, and the workers are
    /// spread over three failure domains with two racks each. Call it before time advances.
    void useBirthTimes()
    {
        runners.wall = [this] { return wall().value; };
        for (auto &[id, worker] : runners.all()) {
            worker.entry.incarnation.value = wall().value;
            publish(id.str());
        }
        workerDecoder = [](const std::string &key, const std::string &value) {
            std::optional<WorkerEntry> entry = decodeWorker(key, value);
            if (entry) {
                const int number =
                        std::stoi(entry->address.ip.substr(entry->address.ip.rfind('.') + 1));
                entry->domain = DomainId("z" + std::to_string(number % 3));
                entry->labels = {"a", "r" + std::to_string(number % 6)};
            }
            return entry;
        };
        for (std::size_t i = 0; i < processes.size(); ++i)
            start(static_cast<int>(i));
    }

    void start(int index)
    {
        Process &process = processes.at(static_cast<std::size_t>(index));
        kill(index);
        process.timers = std::make_unique<FakeTimers>(clock);
        process.store = std::make_unique<FakeKeyValuePort>(store, *process.timers);
        process.workers = std::make_unique<FakeRunPort>(runners, *process.timers);
        process.workers->random = Random(random.next());
        process.workers->orderDuration = orderDuration;
        process.workers->lostAnswerShare = lostAnswerShare;
        FleetSettings settings;
        settings.name = "p" + std::to_string(index);
        const auto cores = cpuShares.find(index);
        settings.hostCores = cores == cpuShares.end() ? 1 : cores->second;
        settings.configKey = "op/config";
        settings.configPrefix = "op/";
        settings.workerPrefix = "servers/";
        settings.evacuationPrefix = "op/evacuate/";
        settings.evacuationLimit = evacuationLimit;
        settings.scheduling.warmupOverage = warmupOverage;
        settings.admitsUnderShortage = admitsUnderShortage;
        settings.admission = admission;
        if (maxUnknownCancellations > 0)
            settings.maxUnknownCancellations = maxUnknownCancellations;
        const FleetPorts ports{*process.store,
                               *process.workers,
                               *process.timers,
                               FleetDecoders{decodeConfig, workerDecoder, decodeClosing},
                               [this] { return wall(); },
                               [this](const LogEvent &event) {
                                   log.push_back(event.event);
                                   if (onLog)
                                       onLog(event);
                               }};
        FleetPorts allPorts = ports;
        if (hasRelays_) {
            settings.relayAddress = relayAddress(index);
            settings.domain = DomainId("z" + std::to_string(index % 2));
            process.relay = std::make_unique<FakeRelayPort>(relayNet, settings.relayAddress,
                                                            *process.timers);
            allPorts.relay = process.relay.get();
        }
        process.node = std::make_unique<FleetNode>(settings, allPorts, random.next(), clock.now());
        process.node->start();
    }

    void kill(int index)
    {
        Process &process = processes.at(static_cast<std::size_t>(index));
        if (process.timers)
            process.timers->kill();
        if (process.relay)
            process.relay->disconnect();
        // Ports and timers stay: calls that are under way still refer to them.
        if (process.node) {
            process.node.reset();
            graveyard_.push_back(std::move(process));
            processes.at(static_cast<std::size_t>(index)) = Process();
        }
    }

    static Address relayAddress(int index) { return {"10.1.0." + std::to_string(index + 1), 4000}; }

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
    FakeRelayNet relayNet;
    Random random;
    std::vector<Process> processes;
    std::vector<std::string> log;
    Duration evacuationLimit{}; // 0: closed domains are ignored; taken at the start of a process
    double warmupOverage = 0; // as in SchedulingSettings; taken at the start of a process
    bool admitsUnderShortage = false; // taken at the start of a process
    AdmissionSettings admission;
    std::size_t maxUnknownCancellations = 0; // 0: the default; taken at the start of a process
    std::map<int, double> cpuShares; // cores of a process's host, if not 1; taken at its start
    Duration orderDuration{}; // of workers; taken at the start of a process
    double lostAnswerShare = 0; // of answers to orders; taken at the start of a process
    std::function<void(const LogEvent &)> onLog;
    // Of the workers' entries; taken at the start of a process.
    std::function<std::optional<WorkerEntry>(const std::string &, const std::string &)>
            workerDecoder = decodeWorker;

private:
    static EvacuationRequest decodeClosing(const std::string &key, const std::string &value)
    {
        EvacuationRequest request;
        request.key = key;
        request.domain = DomainId(key.substr(std::string("op/evacuate/").size()));
        request.isReadable = value == "{}" && !request.domain.isEmpty();
        return request;
    }

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

    bool hasRelays_;
    std::vector<Process> graveyard_;
};

} // namespace monsoonledge
