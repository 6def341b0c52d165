#include "adapters/http_p.h"

#include <nlohmann/json.hpp>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

namespace monsoonledge {

namespace {

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return text;
}

} // namespace

timeval toTimeval(Duration duration)
{
    const auto count = std::max<Duration::rep>(duration.count(), 0);
    timeval tv{};
    tv.tv_sec = static_cast<time_t>(count / 1000000);
    tv.tv_usec = static_cast<suseconds_t>(count % 1000000);
    return tv;
}

HttpHeaders copyHeaders(const evkeyvalq *headers)
{
    HttpHeaders result;
    for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next) {
        const auto [it, inserted] = result.emplace(toLower(header->key), header->value);
        if (!inserted && it->first != "content-length")
            it->second.append(", ").append(header->value);
    }
    return result;
}

bool hasConsistentContentLength(const evkeyvalq *headers)
{
    std::optional<std::string> first;
    for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next) {
        if (strcasecmp(header->key, "Content-Length") != 0)
            continue;
        // evhttp parses the value with strtoll(), which also accepts a sign. Other parsers may
        // interpret such a value differently.
        if (!parseNumber(header->value) || (first && *first != header->value))
            return false;
        first = header->value;
    }
    return true;
}

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::optional<nlohmann::json> parseJsonObject(const std::string &text)
{
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return json;
}

void setNoDelay(bufferevent *bev)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool isCertainlyUnsent(HttpFailure failure)
{
    return failure == HttpFailure::NotSent || failure == HttpFailure::Refused;
}

std::string percentEncode(const std::string &text)
{
    static const char *const digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                                || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_'
                                || c == '~';
        if (unreserved) {
            result += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            result += '%';
            result += digits[byte >> 4];
            result += digits[byte & 15];
        }
    }
    return result;
}

} // namespace monsoonledge
