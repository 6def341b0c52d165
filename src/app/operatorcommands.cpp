// Commands on the batch tasks and members of a failure domain.
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "app/text.h"

namespace monsoonledge {

int runTasks(const CommandContext &context)
{
    const std::string body = getFromEntry(context, "/v1/tasks");
    const Json details = parseResponseBody(body);
    if (context.json) {
        context.out << body << '\n';
        return ExitSuccess;
    }
    const bool leading = details.value("leading", false);
    if (!leading) {
        context.err << "entry process " << context.entry.str()
                    << " is not the batch leader of its failure domain; ask the owner of unit 0\n";
        return ExitFailed;
    }
    const Json tasks = details.value("tasks", Json::array());
    context.out << tasks.size() << " batch tasks\n" << formatObjects(tasks);
    return ExitSuccess;
}

int runMemberRemove(const CommandContext &context)
{
    const HttpResponse response =
            callEntry(context, "POST", "/v1/members/remove?entry=" + percentEncode(context.file));
    if (response.status != 202) {
        context.err << "monsoonledge: " << describeError(context, response) << '\n';
        return ExitFailed;
    }
    context.out << "the share of " << context.file << " will be taken over\n";
    return ExitSuccess;
}

} // namespace monsoonledge
