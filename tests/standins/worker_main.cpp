// Stand-in of workers: each has an endpoint and runs batch tasks. One program hosts many workers on
// consecutive ports.
#include "standins/endpoint.h"
#include "standins/options.h"
#include "standins/server.h"
#include "standins/tasks.h"

#include <memory>
#include <vector>

using namespace monsoonledge::standins;

namespace {

class Worker
{
public:
    Worker(Loop &loop, WorkerSettings settings, const monsoonledge::Address &address)
        : settings_(std::move(settings)), faults_(workerFaults(), settings_.seed),
          endpoint_(loop, settings_, faults_), tasks_(loop, settings_, faults_),
          server_(loop, address.ip, address.port,
                  [this](const Call &call, const Respond &respond) { serve(call, respond); })
    { }

private:
    void serve(const Call &call, const Respond &respond)
    {
        const std::string kind = call.path.empty() ? std::string() : call.path[0];
        if (kind == "run") {
            endpoint_.run(call, server_.connections(), respond);
        } else if (kind == "status") {
            respond(endpoint_.status());
        } else if (kind == "tasks") {
            respond(call.path.size() == 1 ? tasks_.list(endpoint_.running())
                                          : tasks_.command(call));
        } else if (kind == "fault") {
            respond(faults_.serve(call));
        } else if (kind == "journal") {
            tasks_.list(0); // ends what is due
            Json journal = endpoint_.journal(call.query.count("summary") == 0);
            journal.update(tasks_.journal());
            journal["worker"] = settings_.name;
            respond(Reply::ofJson(journal));
        } else {
            respond(Reply::error(404, "unknown path"));
        }
    }

    WorkerSettings settings_;
    Faults faults_;
    Endpoint endpoint_;
    Tasks tasks_;
    Server server_;
};

} // namespace

int main(int argc, char **argv)
{
    WorkerSettings base;
    int count = 1;
    po::options_description options;
    options.add_options()("count", po::value(&count), "number of workers, on consecutive ports")(
            "name", po::value(&base.name)->default_value("worker"),
            "name in answers; with --count, -1, -2 and so on is added")(
            "service", po::value(&base.service), "the only service that is run; default: all")(
            "service-ms", po::value(&base.serviceMs), "mean service time in ms")(
            "seed", po::value(&base.seed), "seed of service times and faults")(
            "slots", po::value(&base.slots), "requests that run at the same time")(
            "connections", po::value(&base.connections), "connections open at the same time")(
            "cores", po::value(&base.cores),
            "capacity for tasks")("memory-mb", po::value(&base.memoryMb), "capacity for tasks")(
            "task-speed", po::value(&base.taskSpeed), "ms of task progress per ms");
    return runProgram(argc, argv, options,
                      [&](const monsoonledge::Address &address, const po::variables_map &) {
                          Loop loop;
                          std::vector<std::unique_ptr<Worker>> workers;
                          for (int i = 0; i < count; ++i) {
                              WorkerSettings settings = base;
                              settings.name += count > 1 ? "-" + std::to_string(i + 1) : "";
                              settings.seed += static_cast<std::uint64_t>(i);
                              const auto port = static_cast<std::uint16_t>(address.port + i);
                              workers.push_back(std::make_unique<Worker>(
                                      loop, settings, monsoonledge::Address{address.ip, port}));
                          }
                          loop.run();
                      });
}
