// Commands: explain --queue, which asks running entry processes where a job would be placed now,
// and explain --class, which asks one of the product's own interface for the endpoint of a request.
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "app/text.h"
#include "yaml/yaml.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

namespace monsoonledge {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;

const std::string StandardInput = "-";

std::string nameOfFile(const std::string &file)
{
    return file == StandardInput ? "standard input" : file;
}

std::string readJob(const std::string &file)
{
    if (file != StandardInput)
        return readTextFile(file, MaxBodyBytes);
    std::string text(MaxBodyBytes + 1, '\0');
    std::cin.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(std::cin.gcount()));
    if (text.size() > MaxBodyBytes)
        throw FindingsError({{{nameOfFile(file), 0, 0},
                              "is too large: give a job of at most " + std::to_string(MaxBodyBytes)
                                      + " bytes"}});
    return text;
}

double numberOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number() ? it->get<double>() : 0;
}

std::string cellOf(const Json &json, const char *name)
{
    return json.contains(name) ? formatCell(json[name]) : "-";
}

bool isSet(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

/// The elements of a list, or none if there is no such list.
std::vector<Json> listOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_array() ? it->get<std::vector<Json>>() : std::vector<Json>();
}

std::string formatRounded(double number)
{
    constexpr int digits = 4; // more say nothing about the next request
    std::ostringstream out;
    out << std::setprecision(digits) << number;
    return out.str();
}

std::string formatCores(double milliCores)
{
    std::ostringstream out;
    out << milliCores / 1000 << " cores";
    return out.str();
}

std::string describeAdmission(const Json &answer)
{
    const std::string outcome = cellOf(answer, "Outcome");
    std::string text = "would "
                       + (outcome == "forward" ? "forward the job to another process" : outcome)
                       + ": " + cellOf(answer, "Reason");
    if (answer.contains("RetryAfterS"))
        text += "; Retry-After " + cellOf(answer, "RetryAfterS") + " s";
    return text;
}

std::string describeReport(const Json &answer)
{
    std::string text =
            answer.contains("ReportAgeMs")
                    ? "report for admission at most " + cellOf(answer, "ReportAgeMs") + " ms old"
                    : "no report for admission";
    text += answer.contains("DelayMs")
                    ? "; first task expected to start after " + cellOf(answer, "DelayMs") + " ms"
                    : "; delay until the first task starts not known";
    if (answer.contains("TotalCpu"))
        text += "; free " + formatCores(numberOf(answer, "FreeCpu")) + " of "
                + formatCores(numberOf(answer, "TotalCpu"));
    return text;
}

std::string describeCoordinator(const Json &answer)
{
    const std::string name = cellOf(answer, "Coordinator");
    std::string text =
            isSet(answer, "StoreReached") ? "reaches the store" : "does not reach the store";
    text += name.empty() || name == "-" ? "; knows no coordinator" : "; coordinator: " + name;
    if (isSet(answer, "IsCoordinator"))
        text += " (this process)";
    return text;
}

std::string describePlacement(const Json &placement)
{
    return "worker " + cellOf(placement, "Worker") + ", zone " + cellOf(placement, "Zone")
           + ", labels " + cellOf(placement, "Labels") + ", free "
           + formatCores(numberOf(placement, "FreeCpu")) + " and " + cellOf(placement, "FreeMemMb")
           + " MiB; best of " + cellOf(placement, "Candidates");
}

std::string describeObstacles(const Json &json, const char *name)
{
    std::string text;
    const auto obstacles = json.find(name);
    if (obstacles == json.end() || !obstacles->is_object())
        return text;
    for (const auto &item : obstacles->items())
        text += (text.empty() ? "" : ", ") + formatCell(item.key()) + ' '
                + formatCell(item.value());
    return text;
}

void printStep(std::ostream &out, const std::string &place, const Json &step)
{
    const std::string name = place + "step " + cellOf(step, "Step");
    out << name << ": " << cellOf(step, "Placed") << " of " << cellOf(step, "Count")
        << " tasks find a worker";
    if (numberOf(step, "Examined") < numberOf(step, "Count"))
        out << "; only " << cellOf(step, "Examined") << " were examined";
    out << "; rule " << cellOf(step, "Rule") << '\n';
    for (const Json &placement : listOf(step, "Placements"))
        out << name << " task " << cellOf(placement, "Task") << ": " << describePlacement(placement)
            << '\n';
    const std::string obstacles = describeObstacles(step, "Obstacles");
    if (obstacles.empty())
        return;
    if (isSet(step, "Gang"))
        out << name << ": no worker for the whole gang; workers by reason: ";
    else
        out << name << " task " << cellOf(step, "Placed")
            << " and later: no worker; workers by reason: ";
    out << obstacles << '\n';
}

void printAnswer(std::ostream &out, const Address &address, const Json &answer)
{
    const std::string place = address.str() + " " + cellOf(answer, "Process") + ": ";
    out << place << describeAdmission(answer) << '\n'
        << place << describeReport(answer) << '\n'
        << place << describeCoordinator(answer) << '\n';
    if (isSet(answer, "StartsPaused"))
        out << place << "starts are paused; the tasks are placed once they resume\n";
    for (const Json &step : listOf(answer, "Steps"))
        printStep(out, place, step);
    if (isSet(answer, "IsCoordinator") && !answer.contains("Steps"))
        out << place
            << "no placement: the queue is not supported, or jobs and workers are still "
               "loaded\n";
}

/// What to ask for the placement, if no answer is from the coordinator. Empty if one is.
std::string describeMissingCoordinator(const std::vector<Json> &answers)
{
    std::set<std::string> names;
    for (const Json &answer : answers) {
        if (isSet(answer, "IsCoordinator"))
            return {};
        const std::string name = cellOf(answer, "Coordinator");
        if (!name.empty() && name != "-")
            names.insert(name);
    }
    if (names.empty())
        return "none of these processes is the coordinator, and none knows one";
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : " or ") + name;
    return "none of these processes is the coordinator; ask " + text + " for the placement";
}

/// Asks one process. Prints a failure and returns its exit status.
int askProcess(const CommandContext &context, const Address &address, const std::string &job,
               std::vector<Json> &answers, std::vector<std::string> &bodies)
{
    CommandContext one = context;
    one.entry = address;
    one.token.clear(); // the metrics port asks for none
    HttpResponse response;
    try {
        response = callEntry(one, "POST", "/explain?queue=" + percentEncode(context.queue),
                             {{"Content-Type", "application/json"}}, job, CallEffect::None);
    } catch (const EntryUnreachable &error) {
        context.err << "monsoonledge: " << error.what() << '\n';
        return ExitUnreachable;
    }
    const bool isJobBad = response.status == StatusBadRequest || response.status == StatusTooLarge;
    if (response.status != 200) {
        const std::string place = isJobBad ? nameOfFile(context.file) + ": "
                                  : response.status == StatusNotFound
                                          ? "queue '" + context.queue + "': "
                                          : std::string();
        context.err << "monsoonledge: " << place << describeError(one, response) << '\n';
        return isJobBad || response.status == StatusNotFound ? ExitBadInput : ExitFailed;
    }
    try {
        answers.push_back(parseResponseBody(response.body));
    } catch (const std::exception &) {
        context.err << "monsoonledge: " << address.str()
                    << ": the answer is no JSON object; an entry process of an earlier version "
                       "answers with its metrics\n";
        return ExitFailed;
    }
    bodies.push_back(response.body);
    if (!context.json)
        printAnswer(context.out, address, answers.back());
    return ExitSuccess;
}

void printArray(std::ostream &out, const std::vector<std::string> &bodies)
{
    out << '[';
    for (std::size_t i = 0; i < bodies.size(); ++i)
        out << (i == 0 ? "" : ",\n") << bodies[i];
    out << "]\n";
}

} // namespace

int runExplainPlacement(const CommandContext &context)
{
    const std::string job = readJob(context.file);
    std::vector<Json> answers;
    std::vector<std::string> bodies;
    int status = ExitSuccess;
    for (const Address &address : context.entries)
        status = std::max(status, askProcess(context, address, job, answers, bodies));
    if (context.json)
        printArray(context.out, bodies);
    const std::string missing =
            answers.empty() ? std::string() : describeMissingCoordinator(answers);
    if (!missing.empty())
        (context.json ? context.err : context.out) << missing << '\n';
    return status;
}

int runExplainRequest(const CommandContext &context)
{
    const std::string body =
            getFromEntry(context, "/v1/explain?class=" + percentEncode(context.requestClass));
    const Json answer = parseResponseBody(body);
    if (context.json) {
        context.out << body << '\n';
        return ExitSuccess;
    }
    const std::string place = context.entry.str() + " " + cellOf(answer, "entry") + ": ";
    const auto endpoint = answer.find("endpoint");
    context.out << place << "class " << cellOf(answer, "class") << ": " << cellOf(answer, "queued")
                << " requests wait"
                << (isSet(answer, "draining") ? "; this process is stopping" : "") << '\n'
                << place;
    if (endpoint == answer.end() || !endpoint->is_object())
        context.out << "no endpoint can take a request now\n";
    else
        context.out << "endpoint " << cellOf(*endpoint, "host") << ", "
                    << cellOf(*endpoint, "running") << " of " << cellOf(*endpoint, "ownSlots")
                    << " own slots in use, latency "
                    << formatRounded(numberOf(*endpoint, "latencyMs")) << " ms, error rate "
                    << formatRounded(numberOf(*endpoint, "errorRate"))
                    << (isSet(*endpoint, "ejected") ? "; as a probe of an ejected endpoint" : "")
                    << "; the better of two drawn from " << cellOf(answer, "candidates") << '\n';
    const std::string obstacles = describeObstacles(answer, "obstacles");
    if (!obstacles.empty())
        context.out << place << "endpoints by what keeps a request from them: " << obstacles
                    << '\n';
    return ExitSuccess;
}

} // namespace monsoonledge
