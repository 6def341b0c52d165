// Stand-in of the platform's list of live and leaving hosts.
#include "standins/options.h"
#include "standins/server.h"

#include <stdexcept>

using namespace monsoonledge::standins;

namespace {

class HostList
{
public:
    explicit HostList(Loop &loop)
        : loop_(loop), faults_({{"down", 0}, // 503 to every read
                                {"lagMs", 0}}) // a change shows this much later
    { }

    void serve(const Call &call, const Respond &respond)
    {
        const std::string path = call.pathFrom(0);
        if (path == "fault") {
            respond(faults_.serve(call));
        } else if (path != "hosts") {
            respond(Reply::error(404, "unknown path"));
        } else if (call.method == "PUT") {
            const Json list = call.json();
            if (!list.contains("hosts") || !list["hosts"].is_array()) {
                throw std::invalid_argument("the body must be {\"hosts\": [...]}");
            }
            loop_.after(faults_.get("lagMs"), [this, list] { list_ = list; });
            respond(Reply::ofJson(Json::object()));
        } else if (faults_.isOn("down")) {
            respond(Reply::error(503, "the host list is down"));
        } else {
            respond(Reply::ofJson(list_));
        }
    }

private:
    Loop &loop_;
    Faults faults_;
    Json list_ = {{"hosts", Json::array()}};
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, po::options_description(),
                      [](const monsoonledge::Address &address, const po::variables_map &) {
                          Loop loop;
                          HostList list(loop);
                          const Server server(loop, address.ip, address.port,
                                              [&list](const Call &call, const Respond &respond) {
                                                  list.serve(call, respond);
                                              });
                          loop.run();
                      });
}
