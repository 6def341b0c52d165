// Commands on the daily sheet: check, diff, put and show.
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "app/text.h"
#include "sheet/sheet.h"
#include "yaml/yaml.h"

namespace monsoonledge {

namespace {

/// The sheet in force, as an entry process reports it. Revision 0: there is none.
struct SheetInForce
{
    std::uint64_t revision = 0;
    std::string text;
    Json details;
};

std::string textOf(const Json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t revisionOf(const Json &object)
{
    const auto found = object.find("revision");
    if (found == object.end() || !found->is_number_unsigned())
        throw std::runtime_error("the response of the entry process names no revision");
    return found->get<std::uint64_t>();
}

SheetInForce parseSheetInForce(const std::string &body)
{
    SheetInForce sheet;
    sheet.details = parseResponseBody(body);
    sheet.revision = revisionOf(sheet.details);
    sheet.text = textOf(sheet.details, "text");
    return sheet;
}

SheetInForce getSheetInForce(const CommandContext &context)
{
    return parseSheetInForce(getFromEntry(context, "/v1/sheet"));
}

Sheet parseSheetInForce(const SheetInForce &current)
{
    if (current.revision == 0)
        return Sheet();
    try {
        return parseSheet(current.text, "sheet in force");
    } catch (const FindingsError &error) {
        // The fault is not in the operator's input, so this is a failure of the operation.
        throw std::runtime_error(std::string("the sheet in force cannot be compared:\n")
                                 + error.what());
    }
}

std::string readSheetText(const std::string &path)
{
    return readTextFile(path, MaxBodyBytes);
}

int printRemoteFindings(const CommandContext &context, const Json &findings)
{
    for (const Json &item : findings) {
        Finding finding{{context.file, 0, 0}, textOf(item, "message")};
        if (item.is_object()) {
            finding.place.line = item.value("line", 0);
            finding.place.column = item.value("column", 0);
        }
        context.err << finding.str() << '\n';
    }
    return ExitBadInput;
}

int reportConflict(const CommandContext &context, const Json &body, std::uint64_t expected)
{
    const std::uint64_t revision = revisionOf(body);
    context.err << "monsoonledge: refused: revision " << revision;
    const std::string author = textOf(body, "author");
    if (!author.empty())
        context.err << " by " << formatCell(author);
    context.err << " is in force, not " << expected << "; compare with 'sheet diff', then put with "
                << "--expect " << revision << '\n';
    return ExitFailed;
}

} // namespace

int runSheetCheck(const CommandContext &context)
{
    const Sheet sheet = parseSheet(readSheetText(context.file), context.file);
    std::size_t classes = 0;
    for (const Service &service : sheet.services)
        classes += service.classes.size();
    context.out << context.file << ": valid sheet " << sheet.name << " with "
                << sheet.services.size() << " services, " << classes << " classes and "
                << sheet.jobs.size() << " kinds of batch work\n";
    return ExitSuccess;
}

int runSheetDiff(const CommandContext &context)
{
    const Sheet after = parseSheet(readSheetText(context.file), context.file);
    const Sheet before = context.against.empty()
                                 ? parseSheetInForce(getSheetInForce(context))
                                 : parseSheet(readSheetText(context.against), context.against);
    const std::vector<std::string> lines = diffSheets(before, after);
    for (const std::string &line : lines)
        context.out << line << '\n';
    if (lines.empty())
        context.out << "no differences\n";
    return ExitSuccess;
}

int runSheetPut(const CommandContext &context)
{
    const std::string text = readSheetText(context.file);
    parseSheet(text, context.file);
    const std::uint64_t expected =
            context.expect.has_value() ? *context.expect : getSheetInForce(context).revision;
    const HttpResponse response =
            callEntry(context, "PUT", "/v1/sheet?expect=" + std::to_string(expected),
                      {{"content-type", "application/yaml"}, {"x-author", context.author}}, text);
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status == 200 && body.is_object()) {
        context.out << "accepted as revision " << revisionOf(body) << '\n';
        return ExitSuccess;
    }
    if (response.status == 409 && body.is_object() && body.contains("revision"))
        return reportConflict(context, body, expected);
    if (response.status == 400 && body.is_object() && body.contains("findings"))
        return printRemoteFindings(context, body["findings"]);
    throw std::runtime_error(describeError(context, response));
}

int runSheetShow(const CommandContext &context)
{
    const std::string body = getFromEntry(context, "/v1/sheet");
    const SheetInForce sheet = parseSheetInForce(body);
    if (context.json) {
        context.out << body << '\n';
        return ExitSuccess;
    }
    if (sheet.revision == 0) {
        context.out << "# no sheet is in force\n";
        return ExitSuccess;
    }
    // The heading is a YAML comment, so that the output is a sheet again.
    context.out << "# revision " << sheet.revision << ", accepted "
                << formatCell(textOf(sheet.details, "acceptedAt")) << ", author "
                << formatCell(textOf(sheet.details, "author")) << '\n';
    const Json waiting = sheet.details.value("notInForce", Json::array());
    if (!waiting.empty())
        context.out << "# not yet in force on: " << formatCell(waiting) << '\n';
    context.out << sheet.text;
    if (sheet.text.empty() || sheet.text.back() != '\n')
        context.out << '\n';
    return ExitSuccess;
}

} // namespace monsoonledge
