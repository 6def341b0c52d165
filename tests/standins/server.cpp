#include "standins/server.h"

#include "base/base.h"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <exception>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>

namespace monsoonledge::standins {

namespace {

constexpr std::size_t MaxReadBytes =
        8 * 1024 * 1024; // larger than every limit that is answered 413

std::int64_t nowUs()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000;
}

std::string decode(const std::string &text)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(text.c_str(), 0, &size);
    if (!decoded) {
        return {};
    }
    std::string result(decoded, size);
    std::free(decoded);
    return result;
}

std::vector<std::string> split(const std::string &path)
{
    std::vector<std::string> segments;
    for (std::size_t begin = 0; begin < path.size();) {
        const std::size_t end = std::min(path.find('/', begin + 1), path.size());
        segments.push_back(decode(path.substr(begin + 1, end - begin - 1)));
        begin = end;
    }
    return segments;
}

std::string methodName(evhttp_cmd_type type)
{
    static const std::map<evhttp_cmd_type, std::string> names = {{EVHTTP_REQ_GET, "GET"},
                                                                 {EVHTTP_REQ_POST, "POST"},
                                                                 {EVHTTP_REQ_PUT, "PUT"},
                                                                 {EVHTTP_REQ_DELETE, "DELETE"}};
    const auto it = names.find(type);
    return it == names.end() ? "OTHER" : it->second;
}

Call toCall(evhttp_request *request)
{
    Call call;
    call.method = methodName(evhttp_request_get_command(request));
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    call.path = split(path ? path : "");
    evkeyvalq query{};
    const char *text = evhttp_uri_get_query(uri);
    if (text && evhttp_parse_query_str(text, &query) == 0) {
        for (const evkeyval *item = query.tqh_first; item; item = item->next.tqe_next) {
            call.query[item->key] = item->value;
        }
        evhttp_clear_headers(&query);
    }
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *item = headers->tqh_first; item; item = item->next.tqe_next) {
        std::string name = item->key;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        call.headers[name] = item->value;
    }
    evbuffer *input = evhttp_request_get_input_buffer(request);
    call.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, call.body.data(), call.body.size());
    return call;
}

void sendReply(evhttp_request *request, const Reply &reply)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    if (reply.close && connection) {
        // The reply then fails with EPIPE, on which evhttp frees the connection by itself.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    for (const auto &[name, value] : reply.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (reply.truncate) {
        const std::string size = std::to_string(reply.body.size() + 64);
        evhttp_add_header(headers, "Content-Length", size.c_str());
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
}

} // namespace

std::int64_t nowMs()
{
    return nowUs() / 1000;
}

struct Loop::Private
{
    event_base *base = nullptr;
    event *timer = nullptr;
    std::vector<event *> signals;
    std::multimap<std::int64_t, std::function<void()>> due; // by CLOCK_MONOTONIC in microseconds

    void arm() const
    {
        if (!due.empty()) {
            const std::int64_t wait = std::max<std::int64_t>(0, due.begin()->first - nowUs());
            const timeval delay{wait / 1000000, wait % 1000000};
            event_add(timer, &delay);
        }
    }

    void fire()
    {
        const std::int64_t now = nowUs();
        while (!due.empty() && due.begin()->first <= now) {
            const std::function<void()> callback = std::move(due.begin()->second);
            due.erase(due.begin());
            callback();
        }
        arm();
    }
};

Loop::Loop() : d_(std::make_unique<Private>())
{
    std::signal(SIGPIPE, SIG_IGN);
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    d_->base = event_base_new_with_config(config);
    event_config_free(config);
    d_->timer = event_new(
            d_->base, -1, 0,
            [](evutil_socket_t, short, void *arg) { static_cast<Private *>(arg)->fire(); },
            d_.get());
    for (const int number : {SIGTERM, SIGINT}) {
        event *signal = evsignal_new(
                d_->base, number,
                [](evutil_socket_t, short, void *base) {
                    event_base_loopbreak(static_cast<event_base *>(base));
                },
                d_->base);
        event_add(signal, nullptr);
        d_->signals.push_back(signal);
    }
}

Loop::~Loop()
{
    for (event *signal : d_->signals) {
        event_free(signal);
    }
    event_free(d_->timer);
    event_base_free(d_->base);
}

void Loop::run()
{
    event_base_dispatch(d_->base);
}

void Loop::after(double delayMs, std::function<void()> callback)
{
    const auto delayUs = static_cast<std::int64_t>(std::max(0.0, delayMs) * 1000);
    d_->due.emplace(nowUs() + delayUs, std::move(callback));
    d_->arm();
}

event_base *Loop::base() const
{
    return d_->base;
}

std::string Call::pathFrom(std::size_t first) const
{
    std::string result;
    for (std::size_t i = first; i < path.size(); ++i) {
        result += (i == first ? "" : "/") + path[i];
    }
    return result;
}

std::string Call::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::uint64_t Call::number(const std::string &queryName) const
{
    const auto it = query.find(queryName);
    if (it == query.end() || it->second.empty()
        || it->second.find_first_not_of("0123456789") != std::string::npos) {
        throw std::invalid_argument("parameter " + queryName + " must be a number");
    }
    return std::stoull(it->second);
}

Json Call::json() const
{
    Json parsed = body.empty() ? Json::object() : Json::parse(body);
    if (!parsed.is_object()) {
        throw std::invalid_argument("the body must be a JSON object");
    }
    return parsed;
}

Reply Reply::ofJson(const Json &json, int status)
{
    Reply reply;
    reply.status = status;
    reply.body = json.dump();
    return reply;
}

Reply Reply::error(int status, const std::string &message)
{
    return ofJson({{"error", message}}, status);
}

struct Server::Private
{
    evhttp *http = nullptr;
    Handler handler;
    std::set<evhttp_connection *> connections;

    void track(evhttp_connection *connection)
    {
        if (connections.insert(connection).second) {
            evhttp_connection_set_closecb(
                    connection,
                    [](evhttp_connection *closed, void *arg) {
                        static_cast<Private *>(arg)->connections.erase(closed);
                    },
                    this);
        }
    }

    void serve(evhttp_request *request)
    {
        track(evhttp_request_get_connection(request));
        const Respond respond = [request, sent = std::make_shared<bool>()](const Reply &reply) {
            if (!*sent) {
                *sent = true;
                sendReply(request, reply);
            }
        };
        try {
            handler(toCall(request), respond);
        } catch (const std::exception &e) {
            respond(Reply::error(400, e.what()));
        }
    }
};

Server::Server(Loop &loop, const std::string &ip, std::uint16_t port, Handler handler)
    : d_(std::make_unique<Private>())
{
    d_->handler = std::move(handler);
    d_->http = evhttp_new(loop.base());
    evhttp_set_max_body_size(d_->http, MaxReadBytes);
    evhttp_set_timeout(d_->http, 120);
    evhttp_set_gencb(
            d_->http,
            [](evhttp_request *request, void *arg) { static_cast<Private *>(arg)->serve(request); },
            d_.get());
    if (!evhttp_bind_socket_with_handle(d_->http, ip.c_str(), port)) {
        evhttp_free(d_->http);
        throw std::runtime_error("cannot listen on " + ip + ':' + std::to_string(port));
    }
}

Server::~Server()
{
    evhttp_free(d_->http);
}

int Server::connections() const
{
    return static_cast<int>(d_->connections.size());
}

Faults::Faults(std::map<std::string, double> defaults, std::uint64_t seed)
    : defaults_(std::move(defaults)), values_(defaults_), seed_(seed)
{ }

Reply Faults::serve(const Call &call)
{
    if (call.method == "POST") {
        const Json json = call.json();
        std::map<std::string, double> changed = json.contains("reset") ? defaults_ : values_;
        for (const auto &[name, value] : json.items()) {
            if (name == "reset") {
                continue;
            }
            if (changed.count(name) == 0 || !(value.is_boolean() || value.is_number())) {
                throw std::invalid_argument("unknown fault or no number: " + name);
            }
            changed[name] = value.is_boolean() ? (value.get<bool>() ? 1 : 0) : value.get<double>();
        }
        values_ = changed;
    }
    return Reply::ofJson(values_);
}

bool Faults::hits(const std::string &name, const std::string &id) const
{
    const double share = get(name);
    return share > 0 && Random(stableHash(id, stableHash(name, seed_))).unit() < share;
}

} // namespace monsoonledge::standins
