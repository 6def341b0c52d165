// Choice of endpoints, forwarding and retries in four failure domains, in virtual time. The product
// is its EndpointTable, Admission and RetryBudget; the forwarding rule of Node is repeated here
// with the constants of the node.

#include "routing/routing.h"
#include "admission/admission.h"
#include "bench.h"
#include "node/node_p.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace monsoonledge::bench {

namespace {

const ServiceId Desk("desk");
const ClassId Sync("desk/sync");

struct Model
{
    int domains = 0;
    int entries = 0; // per domain
    int workers = 0; // per domain
    int slots = 0;
    double seconds = 0;
    double load = 0;
    double serviceMs = 0;
    double spread = 0;
    double deadlineMs = 0;
    double idempotentShare = 0;
    int callers = 0;
    double localMs = 0;
    double linkMs = 0;
    double linkJitterMs = 0;
    double linkLoss = 0;
    double retransmitMs = 0;
    double slowFactor = 0;
    double noisyFactor = 0;
    double noisyPeriod = 0;
    double noisyBurst = 0;
    double badAt = 0;
    double failMs = 0;
    double failureRate = 0;
};

enum class Choice { Product, RoundRobin, LeastLoaded };

struct Variant
{
    const char *name;
    Choice choice;
    bool budget; // false: up to three retries without a budget
};

struct Scenario
{
    const char *name;
    bool failsFast = false; // worker 0 of domain 0 fails everything from badAt on
    bool failureRate = false; // each attempt fails with the model's probability
    bool deadWorker = false; // worker 0 of every domain refuses connections
};

struct Result
{
    double shareFirst = 0; // of the domain's attempts on the failing worker, first 5 s
    double shareAfter = 0;
    double attemptsPerRequest = 0;
    double goodShare = 0; // requests answered without error within their deadline
    double p99Ms = 0; // of good answers
};

Duration fromMs(double ms)
{
    return Duration(static_cast<Duration::rep>(ms * 1000) + 1);
}

Time at(double seconds)
{
    return Time(fromMs(seconds * 1000));
}

struct Job
{
    RequestToken token = 0;
    std::size_t entry = 0; // that runs it
    CallerId caller;
    bool idempotent = true;
    bool forwarded = false;
    Time arrived{};
    Time deadline{};
    Time sent{};
    int attempts = 0;
    std::set<HostId> tried;
    std::size_t worker = 0;
};

struct Peer
{
    LoadReport load;
    Time heard{};
    int outstanding = 0;
};

struct Entry
{
    int domain;
    EndpointTable table;
    Admission admission;
    RetryBudget budget;
    std::vector<Peer> peers;
    std::size_t nextWorker;
};

struct Worker
{
    int domain = 0;
    HostId id;
    int running = 0;
    std::deque<RequestToken> waiting; // baselines only: the product never sends more than the slots
    int reported = 0; // load in the last status sample
};

class Run
{
public:
    Run(const Model &model, const Variant &variant, const Scenario &scenario, std::uint64_t seed)
        : model_(model), variant_(variant), scenario_(scenario), random_(seed)
    {
        addWorkers();
        for (int i = 0; i < model.domains * model.entries; ++i)
            addEntry(i / model.entries, i % model.entries, seed);
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            nextArrival(i, Time());
            report(i, Time(fromMs(random_.unit() * 1000)));
            tick(i, Time());
        }
        sample(Time());
    }

    Result run()
    {
        while (!events_.empty() && events_.top().at < at(model_.seconds)) {
            const Event event = events_.top();
            events_.pop();
            event.action(event.at);
        }
        Result result;
        const auto share = [](int part, int all) { return all > 0 ? double(part) / all : 0.0; };
        result.shareFirst = share(onBad_[0], inDomain_[0]);
        result.shareAfter = share(onBad_[1], inDomain_[1]);
        result.attemptsPerRequest = share(attempts_, started_);
        result.goodShare = share(static_cast<int>(latencyMs_.size()), ended_);
        result.p99Ms = quantile(latencyMs_, 0.99);
        return result;
    }

private:
    struct Event
    {
        Time at{};
        std::uint64_t order = 0;
        std::function<void(Time)> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(Time when, std::function<void(Time)> action)
    {
        events_.push({when, ++order_, std::move(action)});
    }

    void addWorkers()
    {
        for (int i = 0; i < model_.domains * model_.workers; ++i) {
            Worker worker;
            worker.domain = i / model_.workers;
            worker.id = HostId("w" + std::to_string(i));
            workers_.push_back(worker);
        }
    }

    void addEntry(int domain, int index, std::uint64_t seed)
    {
        const EntryRun self{EntryId("e" + std::to_string(entries_.size())), Incarnation{1}};
        const DomainId name("d" + std::to_string(domain));
        auto entry = std::make_unique<Entry>(
                Entry{domain, EndpointTable(RoutingSettings(), name, self, seed + entries_.size()),
                      Admission(AdmissionSettings()), RetryBudget(RetryBudgetSettings()),
                      std::vector<Peer>(static_cast<std::size_t>(model_.domains * model_.entries)),
                      static_cast<std::size_t>(index)});
        HostListing listing;
        listing.ok = true;
        for (const Worker &worker : workers_) {
            HostInfo host;
            host.id = worker.id;
            host.domain = DomainId("d" + std::to_string(worker.domain));
            host.service = Desk;
            host.slots = model_.slots;
            listing.hosts.push_back(host);
        }
        entry->table.applyHosts(listing, Time());
        // Neighbouring units: an endpoint with 8 slots has one in every other unit.
        UnitMask units = 0;
        for (int unit = 0; unit < UnitCount; ++unit) {
            if (unit * model_.entries / UnitCount == index)
                units |= UnitMask(1) << unit;
        }
        entry->table.setUnits(units);
        Sheet sheet;
        sheet.services.emplace_back();
        sheet.services[0].id = Desk;
        RequestClass definition;
        definition.id = Sync;
        definition.service = Desk;
        definition.floor = 1;
        sheet.services[0].classes.push_back(definition);
        entry->admission.applySheet(sheet);
        entries_.push_back(std::move(entry));
    }

    // One way between two entry processes. TCP turns a loss into a retransmission delay.
    Duration hop(const Entry &from, const Entry &to)
    {
        if (from.domain == to.domain)
            return fromMs(model_.localMs);
        double ms = model_.linkMs + model_.linkJitterMs * random_.unit();
        while (random_.unit() < model_.linkLoss)
            ms += model_.retransmitMs;
        return fromMs(ms);
    }

    void nextArrival(std::size_t index, Time now)
    {
        const double rate = model_.load * model_.workers * model_.slots
                            / (model_.serviceMs / 1000 * model_.entries);
        const Time next = now + fromMs(-std::log(1 - random_.unit()) / rate * 1000);
        schedule(next, [this, index](Time later) {
            nextArrival(index, later);
            arrive(index, later);
        });
    }

    void arrive(std::size_t index, Time now)
    {
        Job &job = jobs_[++lastToken_];
        job.token = lastToken_;
        job.entry = index;
        job.caller = CallerId(
                "c" + std::to_string(random_.below(static_cast<std::uint64_t>(model_.callers))));
        job.idempotent = random_.unit() < model_.idempotentShare;
        job.arrived = now;
        job.deadline = now + fromMs(model_.deadlineMs);
        const std::size_t target = chooseEntry(job, now);
        if (target == index) {
            enqueue(job.token, now);
            return;
        }
        ++entries_[index]->peers[target].outstanding;
        job.entry = target;
        job.forwarded = entries_[index]->domain != entries_[target]->domain;
        schedule(now + hop(*entries_[index], *entries_[target]),
                 [this, token = job.token](Time later) { enqueue(token, later); });
    }

    // The rule of Node::choosePeer().
    std::size_t chooseEntry(const Job &job, Time now)
    {
        const Entry &self = *entries_[job.entry];
        const Duration wait = self.admission.predictedWait(Sync);
        std::size_t best = job.entry;
        if (variant_.choice != Choice::Product || !job.idempotent || wait <= MinForwardGain)
            return best;
        Duration bestCost = wait - MinForwardGain;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            const Peer &peer = self.peers[i];
            if (i == job.entry || peer.load.ownSlots == 0)
                continue;
            const Duration oneWay =
                    entries_[i]->domain == self.domain ? LocalHopLatency : RemoteHopLatency;
            const Duration added =
                    self.admission.serviceTime(Sync) * peer.outstanding / peer.load.ownSlots;
            const Duration age = std::min<Duration>(now - peer.heard, milliseconds(50)) / 10;
            const Duration cost = 2 * oneWay + peer.load.predictedWait + added + age;
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        return best;
    }

    void enqueue(RequestToken token, Time now)
    {
        const Job &job = jobs_.at(token);
        Entry &entry = *entries_[job.entry];
        entry.budget.recordFirstAttempt(Sync, job.caller);
        if (variant_.choice != Choice::Product) {
            sendByBaseline(token, now);
            return;
        }
        if (entry.admission.offer({token, Sync, job.caller, job.deadline}, now) != Refusal::None)
            end(token, false, now);
        else
            dispatch(entry, now);
    }

    void dispatch(Entry &entry, Time now)
    {
        while (const auto next = entry.admission.peek(Desk)) {
            const Job &job = jobs_.at(next->token);
            const auto host = entry.table.chooseEndpoint(Desk, job.idempotent, job.tried, now);
            if (!host)
                return;
            entry.admission.start(*next);
            entry.table.recordStart(*host, now);
            send(next->token, std::stoul(host->str().substr(1)), now);
        }
    }

    void sendByBaseline(RequestToken token, Time now)
    {
        Entry &entry = *entries_[jobs_.at(token).entry];
        const auto count = static_cast<std::size_t>(model_.workers);
        const std::size_t first = static_cast<std::size_t>(entry.domain) * count;
        std::size_t chosen = first + entry.nextWorker++ % count;
        if (variant_.choice == Choice::LeastLoaded) {
            for (std::size_t i = first; i < first + count; ++i) {
                if (workers_[i].reported < workers_[chosen].reported)
                    chosen = i;
            }
        }
        send(token, chosen, now);
    }

    void send(RequestToken token, std::size_t index, Time now)
    {
        Job &job = jobs_.at(token);
        Worker &worker = workers_[index];
        started_ += job.attempts == 0 ? 1 : 0;
        ++job.attempts;
        ++attempts_;
        job.worker = index;
        job.sent = now;
        if (scenario_.failsFast && worker.domain == 0 && now >= at(model_.badAt)) {
            const std::size_t window = now < at(model_.badAt + 5) ? 0 : 1;
            ++inDomain_[window];
            onBad_[window] += index == 0 ? 1 : 0;
        }
        if (isDead(worker)) {
            schedule(now + fromMs(model_.localMs),
                     [this, token](Time later) { ended(token, RunStatus::NotRun, 0, later); });
        } else if (worker.running < model_.slots) {
            serve(token, now);
        } else {
            worker.waiting.push_back(token);
        }
    }

    bool isDead(const Worker &worker) const
    {
        return scenario_.deadWorker && &worker == &workers_[firstOf(worker.domain)];
    }

    std::size_t firstOf(int domain) const
    {
        return static_cast<std::size_t>(domain) * static_cast<std::size_t>(model_.workers);
    }

    void serve(RequestToken token, Time now)
    {
        const std::size_t index = jobs_.at(token).worker;
        Worker &worker = workers_[index];
        ++worker.running;
        const double normal = std::sqrt(-2 * std::log(1 - random_.unit()))
                              * std::cos(2 * 3.14159265358979 * random_.unit());
        double ms = model_.serviceMs
                    * std::exp(model_.spread * normal - model_.spread * model_.spread / 2);
        if (worker.domain == 2)
            ms *= model_.slowFactor;
        const double second = std::chrono::duration<double>(now.time_since_epoch()).count();
        if (index == firstOf(1) + 1 && std::fmod(second, model_.noisyPeriod) < model_.noisyBurst)
            ms *= model_.noisyFactor;
        bool fails = scenario_.failureRate && random_.unit() < model_.failureRate;
        if (scenario_.failsFast && index == 0 && now >= at(model_.badAt)) {
            fails = true;
            ms = model_.failMs;
        }
        schedule(now + fromMs(ms + 2 * model_.localMs), [this, token, index, fails](Time later) {
            Worker &source = workers_[index];
            --source.running;
            if (!source.waiting.empty()) {
                const RequestToken next = source.waiting.front();
                source.waiting.pop_front();
                serve(next, later);
            }
            ended(token, RunStatus::Answered, fails ? 500 : 200, later);
        });
    }

    void ended(RequestToken token, RunStatus status, int httpStatus, Time now)
    {
        Job &job = jobs_.at(token);
        Entry &entry = *entries_[job.entry];
        const bool whole = status == RunStatus::Answered;
        const bool failed = !whole || httpStatus >= 500;
        const bool product = variant_.choice == Choice::Product;
        const Duration time = now - job.sent;
        if (product) {
            entry.table.recordResult(workers_[job.worker].id, status, httpStatus, time, now);
            entry.admission.finish(Sync, job.caller,
                                   whole ? std::optional<Duration>(time) : std::nullopt);
        }
        job.tried.insert(workers_[job.worker].id);
        const bool safe = job.idempotent || status == RunStatus::NotRun;
        const Duration needed =
                product ? entry.admission.serviceTime(Sync) : fromMs(model_.serviceMs);
        const int limit = variant_.budget ? MaxAttempts : 4;
        const bool mayRetry = failed && safe && now + needed < job.deadline && job.attempts < limit;
        if (mayRetry && (!variant_.budget || entry.budget.tryTakeRetry(Sync, job.caller))) {
            const Duration jitter(static_cast<Duration::rep>(random_.below(10000)));
            schedule(now + jitter, [this, token](Time later) { sendAgain(token, later); });
        } else {
            end(token, !failed, now);
        }
        if (product)
            dispatch(entry, now);
    }

    void sendAgain(RequestToken token, Time now)
    {
        const Job &job = jobs_.at(token);
        if (variant_.choice != Choice::Product) {
            sendByBaseline(token, now);
            return;
        }
        Entry &entry = *entries_[job.entry];
        entry.admission.requeue({token, Sync, job.caller, job.deadline});
        dispatch(entry, now);
    }

    void end(RequestToken token, bool good, Time now)
    {
        const Job &job = jobs_.at(token);
        const Time answered = job.forwarded ? now + hop(*entries_.front(), *entries_.back()) : now;
        ++ended_;
        if (good && answered <= job.deadline)
            latencyMs_.push_back(toMilliseconds(answered - job.arrived));
        jobs_.erase(token);
    }

    void tick(std::size_t index, Time now)
    {
        Entry &entry = *entries_[index];
        entry.admission.setSlots(Desk, entry.table.usableSlots(Desk));
        for (const RequestToken token : entry.admission.expire(now))
            end(token, false, now);
        dispatch(entry, now);
        schedule(now + TickInterval, [this, index](Time later) { tick(index, later); });
    }

    void report(std::size_t index, Time now)
    {
        const Entry &entry = *entries_[index];
        LoadReport load;
        load.ownSlots = entry.table.usableSlots(Desk);
        load.predictedWait = entry.admission.predictedWait(Sync);
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (i == index)
                continue;
            schedule(now + hop(entry, *entries_[i]), [this, i, index, load](Time later) {
                entries_[i]->peers[index] = {load, later, 0};
            });
        }
        schedule(now + seconds(2), [this, index](Time later) { report(index, later); });
    }

    void sample(Time now)
    {
        for (Worker &worker : workers_)
            worker.reported = worker.running + static_cast<int>(worker.waiting.size());
        schedule(now + milliseconds(500), [this](Time later) { sample(later); });
    }

    const Model &model_;
    const Variant &variant_;
    const Scenario &scenario_;
    Random random_;
    std::vector<Worker> workers_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::unordered_map<RequestToken, Job> jobs_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    RequestToken lastToken_ = 0;
    int attempts_ = 0;
    int started_ = 0;
    int ended_ = 0;
    int onBad_[2] = {0, 0}; // first 5 s, after them
    int inDomain_[2] = {0, 0};
    std::vector<double> latencyMs_;
};

Model readModel(const YAML::Node &node)
{
    const auto number = [&node](const char *name) { return node[name].as<double>(); };
    const auto whole = [&node](const char *name) { return node[name].as<int>(); };
    return {whole("domains"),       whole("entriesPerDomain"), whole("workersPerDomain"),
            whole("slots"),         number("seconds"),         number("load"),
            number("serviceMs"),    number("spread"),          number("deadlineMs"),
            number("idempotent"),   whole("callers"),          number("localMs"),
            number("linkMs"),       number("linkJitterMs"),    number("linkLoss"),
            number("retransmitMs"), number("slowFactor"),      number("noisyFactor"),
            number("noisyPeriod"),  number("noisyBurst"),      number("badAt"),
            number("failMs"),       number("failureRate")};
}

} // namespace

void runRouting(const YAML::Node &modelFile, Report &report)
{
    const Model model = readModel(modelFile["routing"]);
    const std::vector<Variant> variants{{"product", Choice::Product, true},
                                        {"round-robin", Choice::RoundRobin, true},
                                        {"least-loaded", Choice::LeastLoaded, true},
                                        {"three-retries", Choice::Product, false}};
    const std::vector<Scenario> scenarios{{"failingWorker", true, false, false},
                                          {"failureRate", false, true, false},
                                          {"deadEndpoint", false, false, true}};
    for (const Scenario &scenario : scenarios) {
        for (const Variant &variant : variants) {
            std::vector<Result> results;
            for (const YAML::Node &seed : modelFile["seeds"])
                results.push_back(Run(model, variant, scenario, seed.as<std::uint64_t>()).run());
            const bool product = variant.choice == Choice::Product && variant.budget;
            const std::string prefix = product ? std::string() : std::string(variant.name) + '.';
            const auto put = [&](const std::string &name, double Result::*field, bool bounded,
                                 bool largestIsWorst) {
                std::vector<double> values;
                values.reserve(results.size());
                for (const Result &result : results)
                    values.push_back(result.*field);
                std::sort(values.begin(), values.end());
                const double worst = largestIsWorst ? values.back() : values.front();
                std::string full = prefix;
                full.append(scenario.name).append(1, '.').append(name);
                report.line("       routing." + full + ": median " + std::to_string(median(values))
                            + ", worst " + std::to_string(worst));
                report.note("routing", full + ".median", median(values));
                if (product && bounded)
                    report.check("routing", std::string(scenario.name) + '.' + name, worst);
                else
                    report.note("routing", full, worst);
            };
            if (scenario.failsFast) {
                put("shareFirst5s", &Result::shareFirst, true, true);
                put("shareAfter5s", &Result::shareAfter, true, true);
            }
            put("attemptsPerRequest", &Result::attemptsPerRequest, true, true);
            put("goodShare", &Result::goodShare, false, false);
            put("p99Ms", &Result::p99Ms, false, true);
        }
    }
}

} // namespace monsoonledge::bench
