// Command: report burn.
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "app/text.h"
#include "metrics/metrics.h"

#include <algorithm>
#include <fstream>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxCallersShown = 5;

/// Adds the sums of one entry process, or its address and the reason why it has none.
void addEntry(BurnReport &report, const CommandContext &context, const Address &address)
{
    CommandContext one = context;
    one.entry = address;
    try {
        const BurnReport received = decodeBurn(getFromEntry(one, "/v1/burn"));
        if (!mergeBurn(report, received))
            context.err << "monsoonledge: " << address.str()
                        << " is an entry process that was already read; it is counted once\n";
    } catch (const std::exception &error) {
        report.notReached.push_back(address.str() + ": " + error.what());
    }
}

std::string burnTable(const BurnReport &report, const ServiceId &service)
{
    std::vector<std::vector<std::string>> rows{{"class", "objective", "good", "budget left",
                                                "burn 5m", "30m", "1h", "6h", "requests", "refused",
                                                "unknown", "slow"}};
    for (const ClassBurn &burn : report.classes) {
        if (burn.service != service)
            continue;
        const BurnSums &sums = burn.windows[Burn6Hours];
        std::vector<std::string> row{formatCell(burn.id.str()), formatShare(burn.objective),
                                     formatShare(goodShare(sums)), formatShare(budgetLeft(burn))};
        for (std::size_t i = 0; i < BurnWindowCount; ++i)
            row.push_back(formatRate(burnRate(burn, i)));
        for (const std::uint64_t count :
             {sums.total, sums.causes.refused, sums.causes.unknown, sums.causes.slow})
            row.push_back(std::to_string(count));
        rows.push_back(std::move(row));
    }
    return formatTable(rows);
}

std::string callerTable(const BurnReport &report, const ServiceId &service)
{
    std::vector<std::vector<std::string>> rows{
            {"class", "caller", "bad 1h", "bad 6h", "refused", "unknown", "slow"}};
    for (const ClassBurn &burn : report.classes) {
        if (burn.service != service)
            continue;
        const std::size_t shown = std::min(burn.callers.size(), MaxCallersShown);
        for (std::size_t i = 0; i < shown; ++i) {
            const CallerBurn &caller = burn.callers[i];
            std::vector<std::string> row{formatCell(burn.id.str()), formatCell(caller.caller)};
            for (const std::uint64_t count :
                 {caller.hour1.bad(), caller.hours6.bad(), caller.hours6.refused,
                  caller.hours6.unknown, caller.hours6.slow})
                row.push_back(std::to_string(count));
            rows.push_back(std::move(row));
        }
    }
    return rows.size() > 1 ? "callers with the most bad requests\n" + formatTable(rows) : "";
}

void printBurn(std::ostream &out, const BurnReport &report)
{
    out << "entry processes: " << formatCell(report.entries) << "; sheet revision "
        << report.sheetRevision << '\n';
    std::vector<ServiceId> services;
    for (const ClassBurn &burn : report.classes) {
        if (std::find(services.begin(), services.end(), burn.service) == services.end())
            services.push_back(burn.service);
    }
    for (const ServiceId &service : services)
        out << "\nservice " << formatCell(service.str()) << '\n'
            << burnTable(report, service) << callerTable(report, service);
    if (services.empty())
        out << "no request was answered yet\n";
}

void writeFile(const std::string &name, const std::string &text)
{
    std::ofstream file(name, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file)
        throw std::runtime_error("cannot write " + name);
}

} // namespace

int runReportBurn(const CommandContext &context)
{
    BurnReport report;
    for (const Address &address : context.entries)
        addEntry(report, context, address);
    for (const std::string &name : report.notReached)
        context.err << "monsoonledge: not in the report: " << formatCell(name) << '\n';
    if (report.entries.empty())
        throw EntryUnreachable("no entry process gave its sums");
    if (!context.html.empty())
        writeFile(context.html, formatBurnHtml(report));
    else if (context.json)
        context.out << encodeBurn(report) << '\n';
    else
        printBurn(context.out, report);
    return report.notReached.empty() ? ExitSuccess : ExitUnreachable;
}

} // namespace monsoonledge
