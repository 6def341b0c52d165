// Commands on one entry process: serve, platform serve, their checks, and status.
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "app/serve.h"
#include "app/text.h"
#include "platform/platform.h"
#include "settings/settings.h"

namespace monsoonledge {

int runServe(const CommandContext &context)
{
    return serve(loadSettings(context.file));
}

int runPlatformServe(const CommandContext &)
{
    return platform::servePlatform();
}

int runPlatformCheck(const CommandContext &context)
{
    const platform::PlatformSettings settings = platform::loadPlatformSettings(context.file);
    context.out << context.file << ": valid settings of " << settings.nodeName << " in domain "
                << settings.domain << ", store at " << settings.storeAddress.str() << '\n';
    return ExitSuccess;
}

int runConfigCheck(const CommandContext &context)
{
    const Settings settings = loadSettings(context.file);
    context.out << context.file << ": valid settings of entry process " << settings.entry
                << " in domain " << settings.domain << ", " << settings.peers.size() << " peers\n";
    return ExitSuccess;
}

int runStatus(const CommandContext &context)
{
    const std::string body = getFromEntry(context, "/v1/status");
    const Json status = parseResponseBody(body);
    if (context.json) {
        context.out << body << '\n';
        return ExitSuccess;
    }
    std::vector<std::vector<std::string>> values;
    std::string lists;
    for (const auto &item : status.items()) {
        const Json &value = item.value();
        if (value.is_array() && !value.empty() && value.front().is_object())
            lists += '\n' + item.key() + '\n' + formatObjects(value);
        else
            values.push_back({item.key(), formatCell(value)});
    }
    context.out << "entry process " << context.entry.str() << '\n' << formatTable(values) << lists;
    return ExitSuccess;
}

} // namespace monsoonledge
