#include "app/httpapi.h"

#include "app/metricsapi.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoonledge {

namespace {

using Json = nlohmann::json;

// Classes that may become known while no sheet is in force; a bound for what callers can create.
constexpr std::size_t MaxClassesWithoutSheet = 64;
constexpr std::size_t MaxNameBytes = 64;

HttpResponse jsonResponse(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
    return response;
}

HttpResponse badInput(int status, const std::string &field, const std::string &message)
{
    HttpResponse response =
            jsonResponse(status, {{"error", message}, {"field", field}, {"outcome", "not-run"}});
    response.headers["X-Outcome"] = "not-run";
    return response;
}

std::string header(const HttpRequest &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxNameBytes
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~'
                         || c == '/' || c == ':';
              });
}

/// Parses a decimal number of at most nine digits; -1 if the text is none.
long parseSmallNumber(const std::string &text)
{
    const bool digits = !text.empty() && text.size() <= 9
                        && text.find_first_not_of("0123456789") == std::string::npos;
    return digits ? std::stol(text) : -1;
}

/// Compares in a time that does not depend on where the texts differ.
bool equalConstantTime(const std::string &a, const std::string &b)
{
    unsigned char difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < b.size(); ++i)
        difference |= static_cast<unsigned char>((i < a.size() ? a[i] : 0) ^ b[i]);
    return difference == 0;
}

const char *outcomeWord(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

HttpResponse toHttp(const Answer &answer)
{
    HttpResponse response;
    if (answer.outcome == Outcome::Done) {
        response.status = answer.httpStatus;
        response.body = answer.body;
        if (!answer.contentType.empty())
            response.headers["Content-Type"] = answer.contentType;
    } else {
        response = jsonResponse(answer.httpStatus, {{"error", answer.detail},
                                                    {"reason", answer.reason},
                                                    {"outcome", outcomeWord(answer.outcome)},
                                                    {"attemptNotRun", answer.attemptNotRun}});
    }
    response.headers["X-Outcome"] = outcomeWord(answer.outcome);
    if (answer.attemptNotRun)
        response.headers["X-Attempt-Not-Run"] = "1";
    return response;
}

Json unitList(UnitMask units)
{
    Json list = Json::array();
    for (int unit = 0; unit < UnitCount; ++unit) {
        if ((units & (UnitMask(1) << unit)) != 0)
            list.push_back(unit);
    }
    return list;
}

Json endpointStatus(const Endpoint &endpoint)
{
    return {{"host", endpoint.host.id.str()},
            {"service", endpoint.host.service.str()},
            {"slots", endpoint.host.slots},
            {"ownSlots", endpoint.ownSlots},
            {"running", endpoint.running},
            {"lost", endpoint.lostRequests},
            {"leaving", !endpoint.acceptsRequests()},
            {"ejected", endpoint.ejected},
            {"errorRate", endpoint.errorRate},
            {"latencyMs", endpoint.latencyMs}};
}

Json nodeStatus(const Node &node)
{
    Json status{{"entry", node.self().entry.str()},
                {"domain", node.settings().domain.str()},
                {"incarnation", node.self().incarnation.value},
                {"ready", node.ready()},
                {"draining", node.draining()},
                {"sheetRevision", node.sheetVersion().revision.value},
                {"units", unitList(node.membership().usableUnits())},
                {"storeReachable", node.membership().storeReachable()},
                {"claimMode", node.claims().mode() == ClaimMode::Store ? "store" : "peer"},
                {"claims", node.claims().size()},
                {"queued", node.admission().queued()},
                {"running", node.endpoints().running()},
                {"pending", node.pendingCount()}};
    status["members"] = Json::array();
    for (const Member &member : node.membership().record().members) {
        status["members"].push_back(
                {{"entry", member.run.entry.str()},
                 {"incarnation", member.run.incarnation.value},
                 {"state", member.state == MemberState::Active ? "active" : "draining"},
                 {"units", unitList(node.membership().record().unitsOf(member.run))}});
    }
    status["peers"] = Json::array();
    for (const PeerStatus &peer : node.peerStatus()) {
        status["peers"].push_back({{"entry", peer.entry.str()},
                                   {"domain", peer.domain.str()},
                                   {"up", peer.up},
                                   {"sheetRevision", peer.sheetRevision.value}});
    }
    status["endpoints"] = Json::array();
    for (const auto &item : node.endpoints().endpoints())
        status["endpoints"].push_back(endpointStatus(item.second));
    status["classes"] = Json::object();
    for (const auto &item : node.classCounts()) {
        status["classes"][item.first.str()] = {{"done", item.second.done},
                                               {"notRun", item.second.notRun},
                                               {"unknown", item.second.unknown},
                                               {"retries", item.second.retries},
                                               {"forwarded", item.second.forwarded}};
    }
    return status;
}

Json taskList(const Node &node)
{
    Json tasks = Json::array();
    for (const auto &item : node.batch().state().tasks) {
        const BatchTask &task = item.second;
        tasks.push_back({{"task", task.id.str()},
                         {"job", task.job},
                         {"state", taskStateName(task.state)},
                         {"generation", task.generation.value},
                         {"worker", task.worker.str()},
                         {"evictions", task.evictions},
                         {"waitReason", task.waitReason}});
    }
    return {{"leading", node.batch().leading()}, {"tasks", tasks}};
}

/// Which endpoint a request of the class would get from this process now, and why.
Json explainClass(const Node &node, const RequestClass &requestClass, Time now)
{
    const EndpointExplanation explanation =
            node.endpoints().explainChoice(requestClass.service, requestClass.idempotent, now);
    Json obstacles = Json::object();
    for (const auto &[obstacle, endpoints] : explanation.obstacles)
        obstacles[endpointObstacleName(obstacle)] = endpoints;
    Json answer{{"entry", node.self().entry.str()},
                {"class", requestClass.id.str()},
                {"draining", node.draining()},
                {"queued", node.admission().queued(requestClass.id)},
                {"endpoints", explanation.endpoints},
                {"candidates", explanation.candidates},
                {"obstacles", obstacles}};
    const Endpoint *chosen =
            explanation.endpoint ? node.endpoints().find(*explanation.endpoint) : nullptr;
    if (chosen)
        answer["endpoint"] = endpointStatus(*chosen);
    return answer;
}

Json sheetStatus(const Node &node)
{
    Json missing = Json::array();
    for (const EntryId &entry : node.peersWithoutCurrentSheet())
        missing.push_back(entry.str());
    const SheetVersion &version = node.sheetVersion();
    return {{"revision", version.revision.value},
            {"author", version.author},
            {"text", version.text},
            {"notInForce", missing}};
}

HttpResponse putResponse(const PutResult &result)
{
    switch (result.status) {
    case PutStatus::Accepted:
        return jsonResponse(200, {{"revision", result.revision.value}});
    case PutStatus::Conflict:
        return jsonResponse(409, {{"error", "another sheet is in force"},
                                  {"revision", result.revision.value},
                                  {"author", result.author}});
    case PutStatus::Invalid: {
        Json findings = Json::array();
        for (const Finding &finding : result.findings) {
            findings.push_back({{"line", finding.place.line},
                                {"column", finding.place.column},
                                {"message", finding.message}});
        }
        return jsonResponse(400, {{"error", "the sheet has findings"}, {"findings", findings}});
    }
    case PutStatus::StoreUnreachable:
        return jsonResponse(503, {{"error", "the store cannot be reached; nothing was accepted"}});
    case PutStatus::Unknown:
        return jsonResponse(504, {{"error", "the store did not confirm; show the sheet to see"}});
    }
    return jsonResponse(500, {{"error", "unexpected"}});
}

} // namespace

HttpApi::HttpApi(Node &node, Metrics &metrics, LogHook log)
    : node_(node), metrics_(metrics), log_(std::move(log))
{ }

bool HttpApi::authorize(const HttpRequest &request, Role role, const HttpResponder &respond) const
{
    const std::vector<TokenSettings> &tokens = node_.settings().tokens;
    if (tokens.empty())
        return true;
    const std::string given = header(request, "authorization");
    const TokenSettings *match = nullptr;
    for (const TokenSettings &token : tokens) {
        if (equalConstantTime(given, "Bearer " + token.token))
            match = &token;
    }
    if (match && (role == Role::ReadOnly || match->role == Role::Operator))
        return true;
    log_({LogLevel::Warning,
          "unauthorized",
          "a call without the needed role changed nothing",
          {{"path", request.path}, {"token", match ? match->name : ""}}});
    respond(match ? badInput(403, "Authorization", "the token has no operator role")
                  : badInput(401, "Authorization", "a valid bearer token is needed"));
    return false;
}

void HttpApi::handle(const HttpRequest &request, HttpResponder respond, Time now)
{
    const std::string &path = request.path;
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    const bool put = request.method == "PUT";
    const auto wrongMethod = [&](const char *allowed) {
        HttpResponse response = badInput(405, "method", std::string("use ") + allowed);
        response.headers["Allow"] = allowed;
        respond(response);
    };
    if (path.rfind("/v1/run/", 0) == 0) {
        post ? run(request, respond, now) : wrongMethod("POST");
    } else if (path == "/v1/request-ids") {
        if (!post) {
            wrongMethod("POST");
            return;
        }
        const RequestId id = node_.issueId(now);
        respond(id.isEmpty() ? badInput(503, "id", "no id can be issued now")
                             : jsonResponse(200, {{"id", id.str()}}));
    } else if (path == "/healthz") {
        get ? respond(jsonResponse(200, {{"status", "ok"}})) : wrongMethod("GET");
    } else if (path == "/readyz") {
        get ? respond(jsonResponse(node_.ready() ? 200 : 503, {{"ready", node_.ready()}}))
            : wrongMethod("GET");
    } else if (path == "/v1/status") {
        if (!get)
            wrongMethod("GET");
        else if (authorize(request, Role::ReadOnly, respond))
            respond(jsonResponse(200, nodeStatus(node_)));
    } else if (path == "/v1/explain") {
        if (!get)
            wrongMethod("GET");
        else if (authorize(request, Role::ReadOnly, respond))
            explain(request, respond, now);
    } else if (path == "/v1/tasks") {
        if (!get)
            wrongMethod("GET");
        else if (authorize(request, Role::ReadOnly, respond))
            respond(jsonResponse(200, taskList(node_)));
    } else if (path == "/metrics") {
        if (!get)
            wrongMethod("GET");
        else if (authorize(request, Role::ReadOnly, respond))
            respond(metricsResponse(node_, metrics_));
    } else if (path == "/v1/burn") {
        if (!get)
            wrongMethod("GET");
        else if (authorize(request, Role::ReadOnly, respond))
            respond(burnResponse(node_, metrics_, now));
    } else if (path == "/v1/sheet") {
        if (put)
            putSheet(request, respond, now);
        else if (!get)
            wrongMethod("GET, PUT");
        else if (authorize(request, Role::ReadOnly, respond))
            respond(jsonResponse(200, sheetStatus(node_)));
    } else if (path == "/v1/members/remove") {
        post ? removeMember(request, respond, now) : wrongMethod("POST");
    } else {
        respond(badInput(404, "path", "no such resource"));
    }
}

void HttpApi::run(const HttpRequest &request, const HttpResponder &respond, Time now)
{
    const std::string target = request.path.substr(std::string("/v1/run/").size());
    const std::size_t slash = target.find('/');
    const bool twoParts = slash != std::string::npos && slash > 0 && slash + 1 < target.size()
                          && target.find('/', slash + 1) == std::string::npos;
    if (!twoParts || !isName(target)) {
        respond(badInput(404, "path", "expected /v1/run/<service>/<class>"));
        return;
    }
    CallerRequest call;
    call.service = ServiceId(target.substr(0, slash));
    call.requestClass = ClassId(target);
    call.id = RequestId(header(request, "x-request-id"));
    call.caller = CallerId(header(request, "x-caller"));
    call.body = request.body;
    const RequestClass *definition = node_.sheet().findClass(call.requestClass);
    const bool haveSheet = node_.sheetVersion().revision.value > 0;
    const std::size_t known = node_.admission().classCount();
    if (!definition && (haveSheet || known >= MaxClassesWithoutSheet)) {
        respond(badInput(404, "class", "the sheet in force has no class " + target));
        return;
    }
    if (!call.id.isEmpty() && !isName(call.id.str())) {
        respond(badInput(400, "X-Request-Id", "at most 64 letters, digits and -_.~/:"));
        return;
    }
    if (call.id.isEmpty() && (!definition || !definition->idempotent)) {
        respond(badInput(400, "X-Request-Id", "a non-idempotent class needs a request id"));
        return;
    }
    if (!call.caller.isEmpty() && !isName(call.caller.str())) {
        respond(badInput(400, "X-Caller", "at most 64 letters, digits and -_.~/:"));
        return;
    }
    const std::string deadline = header(request, "x-deadline-ms");
    if (!deadline.empty()) {
        const long value = parseSmallNumber(deadline);
        if (value <= 0) {
            respond(badInput(400, "X-Deadline-Ms", "expected a positive number of milliseconds"));
            return;
        }
        call.deadline = milliseconds(value);
    }
    node_.handle(
            call, [respond](const Answer &answer, Time) { respond(toHttp(answer)); }, now);
}

void HttpApi::explain(const HttpRequest &request, const HttpResponder &respond, Time now) const
{
    const auto name = request.query.find("class");
    const RequestClass *requestClass =
            name == request.query.end() ? nullptr : node_.sheet().findClass(ClassId(name->second));
    respond(requestClass ? jsonResponse(200, explainClass(node_, *requestClass, now))
                         : badInput(404, "class", "the sheet in force has no such class"));
}

void HttpApi::putSheet(const HttpRequest &request, const HttpResponder &respond, Time now)
{
    if (!authorize(request, Role::Operator, respond))
        return;
    const auto expect = request.query.find("expect");
    const long revision = expect == request.query.end() ? -1 : parseSmallNumber(expect->second);
    if (revision < 0) {
        respond(badInput(400, "expect", "expected the revision in force, as ?expect=N"));
        return;
    }
    const std::string author = header(request, "x-author");
    node_.putSheet(
            request.body, author.empty() ? "unknown" : author,
            Revision{static_cast<std::uint64_t>(revision)},
            [respond](const PutResult &result, Time) { respond(putResponse(result)); }, now);
}

void HttpApi::removeMember(const HttpRequest &request, const HttpResponder &respond, Time now)
{
    if (!authorize(request, Role::Operator, respond))
        return;
    const auto entry = request.query.find("entry");
    const EntryId id(entry == request.query.end() ? std::string() : entry->second);
    const Member *member = node_.membership().record().findMember(id);
    if (!member) {
        respond(badInput(404, "entry", "no such member in this failure domain"));
        return;
    }
    const EntryRun run = member->run;
    log_({LogLevel::Warning,
          "member-removed",
          "an operator attests that a member has ended",
          {{"member", run.str()}}});
    node_.membership().attestDead(run, now);
    respond(jsonResponse(202, {{"entry", id.str()}, {"incarnation", run.incarnation.value}}));
}

} // namespace monsoonledge
