// Floods of one class: the admission policy beside two baselines, in virtual time.

#include "admission/admission.h"
#include "bench.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace monsoonledge::bench {

namespace {

const ServiceId Desk("desk");

struct ClassModel
{
    ClassId id;
    double floor = 0;
    double weight = 1;
    Duration target{};
    Duration deadline{};
    double serviceMs = 0; // mean
    double spread = 0; // standard deviation of the logarithm
};

struct Arrival
{
    RequestToken token = 0;
    std::size_t classIndex = 0;
    CallerId caller;
    Time at{};
    Time deadline{};
};

/// What a policy decides: which requests wait, and which runs next.
class Policy
{
public:
    virtual ~Policy() = default;
    virtual bool offer(const Arrival &arrival, Time now) = 0;
    /// The token of the request that takes a free slot; 0 if none may.
    virtual RequestToken next(Time now) = 0;
    virtual void finished(const Arrival &arrival, Duration serviceTime, Time now) = 0;
};

/// The product's admission.
class ProductPolicy : public Policy
{
public:
    ProductPolicy(const std::vector<ClassModel> &classes, int slots)
        : classes_(classes), admission_(AdmissionSettings())
    {
        Sheet sheet;
        sheet.services.emplace_back();
        sheet.services[0].id = Desk;
        for (const ClassModel &model : classes) {
            RequestClass definition;
            definition.id = model.id;
            definition.service = Desk;
            definition.floor = model.floor;
            definition.weight = model.weight;
            definition.latencyTarget = model.target;
            sheet.services[0].classes.push_back(definition);
        }
        admission_.applySheet(sheet);
        admission_.setSlots(Desk, slots);
    }

    bool offer(const Arrival &arrival, Time now) override
    {
        const QueuedRequest request{arrival.token, classes_[arrival.classIndex].id, arrival.caller,
                                    arrival.deadline};
        return admission_.offer(request, now) == Refusal::None;
    }

    RequestToken next(Time now) override
    {
        if (now >= nextExpire_) {
            admission_.expire(now);
            nextExpire_ = now + milliseconds(10);
        }
        const auto request = admission_.peek(Desk);
        if (!request)
            return 0;
        admission_.start(*request);
        return request->token;
    }

    void finished(const Arrival &arrival, Duration serviceTime, Time) override
    {
        admission_.finish(classes_[arrival.classIndex].id, arrival.caller, serviceTime);
    }

private:
    std::vector<ClassModel> classes_;
    Admission admission_;
    Time nextExpire_{};
};

/// Baseline: one queue in order of arrival, bounded in length only.
class FirstComePolicy : public Policy
{
public:
    bool offer(const Arrival &arrival, Time) override
    {
        if (waiting_.size() >= MaxWaiting)
            return false;
        waiting_.push_back(arrival.token);
        return true;
    }

    RequestToken next(Time) override
    {
        if (waiting_.empty())
            return 0;
        const RequestToken token = waiting_.front();
        waiting_.pop_front();
        return token;
    }

    void finished(const Arrival &, Duration, Time) override { }

private:
    static constexpr std::size_t MaxWaiting = 4000;
    std::deque<RequestToken> waiting_;
};

/// Baseline: each class has a fixed part of the slots and its own queue in order of arrival.
class FixedSharePolicy : public Policy
{
public:
    FixedSharePolicy(const std::vector<ClassModel> &classes, int slots) : queues_(classes.size())
    {
        double floors = 0;
        for (const ClassModel &model : classes)
            floors += model.floor;
        for (std::size_t i = 0; i < classes.size(); ++i)
            queues_[i].slots = static_cast<int>(std::lround(slots * classes[i].floor / floors));
    }

    bool offer(const Arrival &arrival, Time) override
    {
        Queue &queue = queues_[arrival.classIndex];
        if (queue.waiting.size() >= MaxWaiting)
            return false;
        queue.waiting.push_back(arrival.token);
        return true;
    }

    RequestToken next(Time) override
    {
        for (Queue &queue : queues_) {
            if (queue.waiting.empty() || queue.running >= queue.slots)
                continue;
            const RequestToken token = queue.waiting.front();
            queue.waiting.pop_front();
            ++queue.running;
            return token;
        }
        return 0;
    }

    void finished(const Arrival &arrival, Duration, Time) override
    {
        --queues_[arrival.classIndex].running;
    }

private:
    static constexpr std::size_t MaxWaiting = 1300;
    struct Queue
    {
        std::deque<RequestToken> waiting;
        int running = 0;
        int slots = 0;
    };
    std::vector<Queue> queues_;
};

struct ClassResult
{
    double goodSlotSeconds = 0; // work answered within its deadline
    std::vector<double> latencyMs;
};

struct RunOutcome
{
    std::vector<ClassResult> classes;
    double goodput = 0; // share of the slots' time spent on work answered in time
};

struct FloodModel
{
    int slots = 0;
    double seconds = 0;
    double otherLoad = 0;
    int callers = 0;
    std::vector<ClassModel> classes;
};

class FloodRun
{
public:
    FloodRun(const FloodModel &model, Policy &policy, std::size_t flooding, double multiple,
             std::uint64_t seed)
        : model_(model), policy_(policy), random_(seed)
    {
        result_.classes.resize(model.classes.size());
        for (std::size_t i = 0; i < model.classes.size(); ++i) {
            const double load = i == flooding ? multiple : model.otherLoad * model.classes[i].floor;
            rates_.push_back(load * model.slots / (model.classes[i].serviceMs / 1000));
            scheduleArrival(i, Time());
        }
    }

    RunOutcome run()
    {
        const Time end{Duration(static_cast<Duration::rep>(model_.seconds * 1e6))};
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            if (event.token == 0)
                arrive(event.classIndex, event.at);
            else
                finish(event.token, event.at);
            startWaiting(event.at);
        }
        for (const ClassResult &item : result_.classes)
            result_.goodput += item.goodSlotSeconds / (model_.slots * model_.seconds);
        return std::move(result_);
    }

private:
    struct Event
    {
        Time at{};
        RequestToken token = 0; // 0: an arrival
        std::size_t classIndex = 0;
        bool operator<(const Event &other) const { return at > other.at; }
    };

    void scheduleArrival(std::size_t classIndex, Time now)
    {
        const double gap = -std::log(1 - random_.unit()) / rates_[classIndex];
        const auto delay = Duration(static_cast<Duration::rep>(gap * 1e6) + 1);
        events_.push({now + delay, 0, classIndex});
    }

    void arrive(std::size_t classIndex, Time now)
    {
        scheduleArrival(classIndex, now);
        Arrival arrival;
        arrival.token = ++lastToken_;
        arrival.classIndex = classIndex;
        const auto callers = static_cast<std::uint64_t>(model_.callers);
        arrival.caller = CallerId("c" + std::to_string(random_.below(callers)));
        arrival.at = now;
        arrival.deadline = now + model_.classes[classIndex].deadline;
        if (policy_.offer(arrival, now))
            waiting_.emplace(arrival.token, arrival);
    }

    void startWaiting(Time now)
    {
        while (running_.size() < static_cast<std::size_t>(model_.slots)) {
            const RequestToken token = policy_.next(now);
            if (token == 0)
                return;
            const auto found = waiting_.find(token);
            const ClassModel &model = model_.classes[found->second.classIndex];
            const double normal = std::sqrt(-2 * std::log(1 - random_.unit()))
                                  * std::cos(2 * 3.14159265358979 * random_.unit());
            const double ms = model.serviceMs
                              * std::exp(model.spread * normal - model.spread * model.spread / 2);
            const auto time = Duration(static_cast<Duration::rep>(ms * 1000) + 1);
            running_.emplace(token, std::make_pair(found->second, time));
            waiting_.erase(found);
            events_.push({now + time, token, 0});
        }
    }

    void finish(RequestToken token, Time now)
    {
        const auto found = running_.find(token);
        const Arrival arrival = found->second.first;
        const Duration time = found->second.second;
        running_.erase(found);
        policy_.finished(arrival, time, now);
        if (now > arrival.deadline)
            return;
        ClassResult &result = result_.classes[arrival.classIndex];
        result.goodSlotSeconds += std::chrono::duration<double>(time).count();
        result.latencyMs.push_back(toMilliseconds(now - arrival.at));
    }

    const FloodModel &model_;
    Policy &policy_;
    Random random_;
    std::vector<double> rates_; // arrivals a second
    std::priority_queue<Event> events_;
    std::unordered_map<RequestToken, Arrival> waiting_;
    std::unordered_map<RequestToken, std::pair<Arrival, Duration>> running_;
    RunOutcome result_;
    RequestToken lastToken_ = 0;
};

FloodModel readModel(const YAML::Node &node)
{
    FloodModel model;
    model.slots = node["slots"].as<int>();
    model.seconds = node["seconds"].as<double>();
    model.otherLoad = node["otherLoad"].as<double>();
    model.callers = node["callersPerClass"].as<int>();
    for (const YAML::Node &item : node["classes"]) {
        ClassModel entry;
        entry.id = ClassId("desk/" + item["name"].as<std::string>());
        entry.floor = item["floor"].as<double>();
        entry.weight = item["weight"].as<double>();
        entry.target = milliseconds(item["targetMs"].as<int>());
        entry.deadline = milliseconds(item["deadlineMs"].as<int>());
        entry.serviceMs = item["serviceMs"].as<double>();
        entry.spread = item["spread"].as<double>();
        model.classes.push_back(entry);
    }
    return model;
}

using PolicyFactory = std::function<std::unique_ptr<Policy>(const FloodModel &)>;

struct Summary
{
    std::vector<double> goodput; // median over the seeds, for each multiple
    double worstFloorKept = 1;
    double worstRenewalP99 = 0; // of runs in which the first class does not flood
};

Summary floodClass(const FloodModel &model, const YAML::Node &node, std::size_t flooding,
                   const std::string &name, const PolicyFactory &make, const YAML::Node &seeds,
                   Report &report)
{
    Summary summary;
    for (const YAML::Node &item : node["multiples"]) {
        const double multiple = item.as<double>();
        std::vector<double> goodput;
        std::vector<std::vector<double>> p99(model.classes.size());
        std::vector<std::vector<double>> p999(model.classes.size());
        for (const YAML::Node &seed : seeds) {
            const std::unique_ptr<Policy> policy = make(model);
            RunOutcome outcome =
                    FloodRun(model, *policy, flooding, multiple, seed.as<std::uint64_t>()).run();
            goodput.push_back(outcome.goodput);
            for (std::size_t i = 0; i < model.classes.size(); ++i) {
                ClassResult &result = outcome.classes[i];
                p99[i].push_back(quantile(result.latencyMs, 0.99));
                p999[i].push_back(quantile(result.latencyMs, 0.999));
                if (i != flooding) {
                    const double floor = model.classes[i].floor * model.slots * model.seconds;
                    summary.worstFloorKept =
                            std::min(summary.worstFloorKept, result.goodSlotSeconds / floor);
                }
            }
            if (flooding != 0)
                summary.worstRenewalP99 = std::max(summary.worstRenewalP99, p99[0].back());
        }
        summary.goodput.push_back(median(goodput));
        std::string text = name + " x" + item.as<std::string>() + ": goodput "
                           + std::to_string(median(goodput)).substr(0, 5);
        for (std::size_t i = 0; i < model.classes.size(); ++i) {
            text += "  " + model.classes[i].id.str().substr(5) + " p99 "
                    + std::to_string(std::lround(median(p99[i]))) + " p99.9 "
                    + std::to_string(std::lround(median(p999[i]))) + " ms";
        }
        report.line(text);
    }
    return summary;
}

} // namespace

void runFlood(const YAML::Node &modelFile, Report &report)
{
    const YAML::Node node = modelFile["flood"];
    const FloodModel model = readModel(node);
    const std::vector<std::pair<std::string, PolicyFactory>> policies{
            {"product",
             [](const FloodModel &m) {
                 return std::make_unique<ProductPolicy>(m.classes, m.slots);
             }},
            {"first-come", [](const FloodModel &) { return std::make_unique<FirstComePolicy>(); }},
            {"fixed-shares", [](const FloodModel &m) {
                 return std::make_unique<FixedSharePolicy>(m.classes, m.slots);
             }}};
    for (const auto &policy : policies) {
        double goodputShare = 1;
        double floorKept = 1;
        double renewalP99 = 0;
        for (const char *which : {"floodLeastUrgent", "floodMostUrgent"}) {
            std::size_t flooding = 0;
            while (model.classes[flooding].id.str() != "desk/" + node[which].as<std::string>())
                ++flooding;
            report.line(std::string("flood of ") + node[which].as<std::string>() + ':');
            const Summary summary = floodClass(model, node, flooding, policy.first, policy.second,
                                               modelFile["seeds"], report);
            const double peak = *std::max_element(summary.goodput.begin(), summary.goodput.end());
            goodputShare = std::min(goodputShare, summary.goodput.back() / peak);
            floorKept = std::min(floorKept, summary.worstFloorKept);
            renewalP99 = std::max(renewalP99, summary.worstRenewalP99);
        }
        const bool product = policy.first == "product";
        const auto put = [&](const char *name, double value) {
            if (product)
                report.check("flood", name, value);
            else
                report.note("flood", policy.first + "." + name, value);
            if (!product)
                report.line("       " + policy.first + " " + name + " = " + std::to_string(value));
        };
        put("goodputShareAtTenTimes", goodputShare);
        put("floorKept", floorKept);
        put("renewalP99Ms", renewalP99);
    }
}

} // namespace monsoonledge::bench
