// The HTTP interface of an entry process, for callers and operators.
#pragma once

#include "adapters/adapters.h"
#include "metrics/metrics.h"
#include "node/node.h"

namespace monsoonledge {

/// Answers HTTP requests through a node.
class HttpApi
{
public:
    HttpApi(Node &node, Metrics &metrics, LogHook log);

    void handle(const HttpRequest &request, HttpResponder respond, Time now);

private:
    void run(const HttpRequest &request, const HttpResponder &respond, Time now);
    void explain(const HttpRequest &request, const HttpResponder &respond, Time now) const;
    void putSheet(const HttpRequest &request, const HttpResponder &respond, Time now);
    void removeMember(const HttpRequest &request, const HttpResponder &respond, Time now);
    /// Responds with an error and returns false if the request's token lacks the role.
    bool authorize(const HttpRequest &request, Role role, const HttpResponder &respond) const;

    Node &node_;
    Metrics &metrics_;
    LogHook log_;
};

} // namespace monsoonledge
