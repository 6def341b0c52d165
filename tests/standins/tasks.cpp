#include "standins/tasks.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace monsoonledge::standins {

namespace {

/// A checkpoint is "at-<progress in ms>". Anything else, such as the empty text, is the beginning.
double progressOf(const std::string &checkpoint)
{
    return checkpoint.rfind("at-", 0) == 0 ? std::strtod(checkpoint.c_str() + 3, nullptr) : 0;
}

} // namespace

Tasks::Tasks(Loop &loop, const WorkerSettings &settings, const Faults &faults)
    : loop_(loop), settings_(settings), faults_(faults)
{ }

Reply Tasks::command(const Call &call)
{
    if (call.path.size() != 4 || call.method != "POST"
        || call.path[2].find_first_not_of("0123456789") != std::string::npos) {
        return Reply::error(404, "expected POST /tasks/<task>/<generation>/<command>");
    }
    const std::string &name = call.path[1];
    const std::uint64_t generation = std::strtoull(call.path[2].c_str(), nullptr, 10);
    const std::string &command = call.path[3];
    const Json order = call.json();
    if (command == "start") {
        return start(name, generation, order);
    }
    const auto it = latest_.find(name);
    if (it == latest_.end() || tasks_[it->second].generation != generation) {
        return Reply::error(404, "no such task and generation");
    }
    Task &task = tasks_[it->second];
    update(task);
    if (command == "stop") {
        if (task.state == "running") {
            end(task, "stopped", nowMs());
        }
    } else if (task.state != "running") {
        return Reply::error(409, "the task is " + task.state);
    } else if (command == "renew") {
        task.leaseMs = order.value("leaseMs", task.leaseMs);
        task.leaseUntilMs = nowMs() + static_cast<std::int64_t>(task.leaseMs);
    } else if (command == "throttle") {
        task.speed = std::clamp(order.value("percent", 100.0), 0.0, 100.0) / 100;
    } else if (command == "checkpoint") {
        task.checkpoint = "at-" + std::to_string(static_cast<std::int64_t>(task.progressMs));
    } else {
        return Reply::error(404, "unknown command");
    }
    schedule(it->second);
    return Reply::ofJson({{"state", task.state}, {"checkpoint", task.checkpoint}});
}

Reply Tasks::start(const std::string &name, std::uint64_t generation, const Json &order)
{
    const auto it = latest_.find(name);
    if (it != latest_.end()) {
        Task &previous = tasks_[it->second];
        update(previous);
        if (previous.generation >= generation) {
            return Reply::error(409, "the task already ran with this or a higher generation");
        }
        if (previous.state == "running") {
            doubleTasks_.push_back(name);
        }
    }
    Task task;
    task.name = name;
    task.generation = generation;
    task.cores = order.value("cores", 0.0);
    task.memoryMb = order.value("memoryMb", 0.0);
    task.runMs = order.value("runMs", 1000.0);
    task.leaseMs = order.value("leaseMs", 10000.0);
    task.resumedFrom = order.value("checkpoint", std::string());
    task.checkpoint = task.resumedFrom;
    task.progressMs = progressOf(task.resumedFrom);
    task.startMs = nowMs();
    task.updatedMs = task.startMs;
    task.leaseUntilMs = task.startMs + static_cast<std::int64_t>(task.leaseMs);
    if (faults_.hits("failFast", name)) {
        end(task, "failed", task.startMs);
    }
    tasks_.push_back(task);
    latest_[name] = tasks_.size() - 1;
    if (use(false) > settings_.cores || use(true) > settings_.memoryMb) {
        ++overloads_;
    }
    schedule(tasks_.size() - 1);
    return Reply::ofJson({{"state", task.state}, {"checkpoint", task.checkpoint}});
}

void Tasks::update(Task &task) const
{
    if (task.state != "running") {
        return;
    }
    const std::int64_t now = nowMs();
    const std::int64_t until = std::min(now, task.leaseUntilMs);
    const double rate = task.speed * settings_.taskSpeed;
    task.progressMs += static_cast<double>(until - task.updatedMs) * rate;
    task.updatedMs = until;
    if (task.progressMs >= task.runMs) {
        const double excess = rate > 0 ? (task.progressMs - task.runMs) / rate : 0;
        task.progressMs = task.runMs;
        end(task, "done", until - static_cast<std::int64_t>(excess));
    } else if (now >= task.leaseUntilMs) {
        end(task, "expired", task.leaseUntilMs);
    }
}

void Tasks::end(Task &task, const std::string &state, std::int64_t atMs) const
{
    task.state = state;
    task.endMs = std::max(atMs, task.startMs);
}

void Tasks::schedule(std::size_t index)
{
    const Task &task = tasks_[index];
    if (task.state != "running") {
        return;
    }
    const double rate = task.speed * settings_.taskSpeed;
    const auto left = static_cast<double>(task.leaseUntilMs - nowMs());
    const double untilDone = rate > 0 ? (task.runMs - task.progressMs) / rate : left;
    // Later commands schedule again, so an early call finds the task running and does nothing.
    loop_.after(std::min(left, untilDone) + 1, [this, index] { update(tasks_[index]); });
}

double Tasks::use(bool ofMemory) const
{
    double sum = 0;
    for (const Task &task : tasks_) {
        if (task.state == "running") {
            sum += ofMemory ? task.memoryMb : task.cores * task.speed;
        }
    }
    return sum;
}

Reply Tasks::list(int running)
{
    Json list = Json::array();
    for (const auto &[name, index] : latest_) {
        Task &task = tasks_[index];
        update(task);
        list.push_back({{"task", name},
                        {"generation", task.generation},
                        {"state", task.state == "expired" ? "stopped" : task.state},
                        {"checkpoint", task.checkpoint},
                        {"progressMs", static_cast<std::int64_t>(task.progressMs)}});
    }
    const double factor = faults_.get("usageFactor");
    const auto lag = static_cast<std::int64_t>(faults_.get("statusLagMs"));
    return Reply::ofJson({{"tasks", list},
                          {"usage",
                           {{"cores", use(false) * factor + 0.5 * running},
                            {"memoryMb", std::llround(use(true) * factor + 256.0 * running)},
                            {"sampleAgeMs", lag}}}});
}

Json Tasks::journal() const
{
    Json starts = Json::array();
    for (const Task &task : tasks_) {
        starts.push_back({{"task", task.name},
                          {"generation", task.generation},
                          {"resumedFrom", task.resumedFrom},
                          {"state", task.state},
                          {"progressMs", static_cast<std::int64_t>(task.progressMs)},
                          {"startMs", task.startMs},
                          {"endMs", task.endMs}});
    }
    return {{"taskStarts", starts}, {"doubleTasks", doubleTasks_}, {"taskOverloads", overloads_}};
}

} // namespace monsoonledge::standins
