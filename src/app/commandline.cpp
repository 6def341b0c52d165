// Sections:
//   [1] Commands and options
//   [2] Help
//   [3] Parsing
//   [4] Running
#include "app/client.h"
#include "app/commands.h"
#include "app/exitcodes.h"
#include "settings/settings.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <system_error>

namespace po = boost::program_options;

namespace monsoonledge {

namespace {

// [1] Commands and options

const char *const MetricsPort = "9464"; // on the users' platform

struct Command
{
    const char *name;
    const char *arguments;
    const char *summary;
    std::vector<const char *> options; // names in allOptions(); "file" is the positional argument
    std::vector<const char *> required;
    int (*run)(const CommandContext &);
    bool severalEntries = false; // --entry may be repeated
};

/// The command explain has three forms.
int runAnyExplain(const CommandContext &context)
{
    if (!context.requestClass.empty())
        return runExplainRequest(context);
    return context.queue.empty() ? runExplain(context) : runExplainPlacement(context);
}

const std::vector<Command> &allCommands()
{
    static const std::vector<Command> commands{
            {"serve", "--config FILE", "run one entry process", {"config"}, {"config"}, runServe},
            {"config check", "FILE", "check a settings file", {"file"}, {"file"}, runConfigCheck},
            {"platform serve",
             "",
             "run one entry process on the users' platform; MONSOONLEDGE_SETTINGS names its file",
             {},
             {},
             runPlatformServe},
            {"platform check",
             "FILE",
             "check a settings file of the users' platform",
             {"file"},
             {"file"},
             runPlatformCheck},
            {"explain",
             "ID LOG... | --queue QUEUE --job FILE --at ADDRESS [--at ADDRESS...] [--json] | "
             "--class SERVICE/CLASS [--entry ADDRESS] [--token TOKEN] [--json]",
             "print the history of a job from the logs of all hosts, with the cause of its end; or "
             "where a job would be placed now, or which endpoint a request would get, and why",
             {"id", "log", "queue", "job", "at", "class", "json", "entry", "token"},
             {},
             runAnyExplain},
            {"sheet check", "FILE", "check a daily sheet", {"file"}, {"file"}, runSheetCheck},
            {"sheet diff",
             "FILE [--against FILE]",
             "show what a sheet changes in the one in force, or in another file",
             {"file", "against", "entry", "token"},
             {"file"},
             runSheetDiff},
            {"sheet put",
             "FILE [--expect N]",
             "put a sheet in force; without --expect it replaces the current revision",
             {"file", "expect", "author", "entry", "token"},
             {"file"},
             runSheetPut},
            {"sheet show",
             "[--json]",
             "print the sheet in force",
             {"json", "entry", "token"},
             {},
             runSheetShow},
            {"status",
             "[--json]",
             "print the state of an entry process",
             {"json", "entry", "token"},
             {},
             runStatus},
            {"tasks",
             "[--json]",
             "list the batch tasks of a failure domain; ask its batch leader",
             {"json", "entry", "token"},
             {},
             runTasks},
            {"member remove",
             "NAME",
             "attest that an entry process has ended, so that its share is taken over",
             {"file", "entry", "token"},
             {"file"},
             runMemberRemove},
            {"report burn",
             "[--entry IP:PORT ...] [--json | --html FILE]",
             "print how fast classes use up their error budgets, summed over entry processes",
             {"entry", "json", "html", "token"},
             {},
             runReportBurn,
             true},
    };
    return commands;
}

struct Option
{
    const char *name;
    const char *value; // name of the value in the help; null: none
    const char *note;
};

const Option Options[] = {
        {"help", nullptr, "print this help"},
        {"config", "FILE", "settings of the entry process"},
        {"against", "FILE", "sheet to compare with, in place of the one in force"},
        {"expect", "N", "revision that the new sheet replaces; refused if another one is in force"},
        {"author", "NAME",
         "recorded with the sheet (default: the environment variable USER, or unknown)"},
        {"json", nullptr, "print the JSON of the entry process as it is; report burn: the sums"},
        {"queue", "QUEUE", "queue that the job would be submitted to"},
        {"job", "FILE", "body of a submission, as JSON; - reads standard input"},
        {"class", "SERVICE/CLASS", "class of the request, as in the sheet in force"},
        {"at", "ADDRESS",
         "metrics address of an entry process on the users' platform, as IP or IP:PORT (default "
         "port: 9464); may be repeated"},
        {"html", "FILE", "write the report to a file, as a page without outside parts"},
        {"entry", "IP:PORT",
         "entry process to talk to (default: 127.0.0.1:8080); report burn takes several"},
        {"token", "TOKEN",
         "operator token (default: the environment variable MONSOONLEDGE_TOKEN, which keeps it out "
         "of "
         "the process list)"},
};

// [2] Help

const char *const ExitStatusHelp =
        "Exit statuses:\n"
        "  0  success\n"
        "  1  the operation failed or was refused\n"
        "  2  bad input: settings, sheet or command line; all findings go to standard error\n"
        "  3  the entry process does not respond\n"
        "  4  an address is in use\n"
        "  5  another entry process has taken over this one; start it again\n";

void printOptions(std::ostream &out, const std::vector<const char *> &names)
{
    const std::size_t width = 18;
    out << "Options:\n";
    for (const Option &option : Options) {
        const std::string name = option.name;
        if (name != "help" && std::find(names.begin(), names.end(), name) == names.end())
            continue;
        std::string text = "--" + name;
        if (option.value != nullptr)
            text.append(" ").append(option.value);
        text.resize(std::max(width, text.size()), ' ');
        out << "  " << text << option.note << '\n';
    }
}

void printHelp(std::ostream &out)
{
    out << "monsoonledge schedules latency-critical services and batch work on shared hosts.\n\n"
           "Usage:\n";
    const std::size_t width = 36;
    std::vector<const char *> names;
    for (const Command &command : allCommands()) {
        std::string text = std::string(command.name) + ' ' + command.arguments;
        text.resize(std::max(width, text.size() + 1), ' ');
        out << "  monsoonledge " << text << command.summary << '\n';
        names.insert(names.end(), command.options.begin(), command.options.end());
    }
    out << "  monsoonledge --version\n  monsoonledge [COMMAND] --help\n\n";
    printOptions(out, names);
    out << '\n' << ExitStatusHelp;
}

void printCommandHelp(std::ostream &out, const Command &command)
{
    out << "Usage: monsoonledge " << command.name << ' ' << command.arguments << "\n\n"
        << command.summary << "\n\n";
    printOptions(out, command.options);
    out << '\n' << ExitStatusHelp;
}

// [3] Parsing

struct UsageError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// The names of all commands that begin with `prefix`.
std::string commandNames(const std::string &prefix = std::string())
{
    std::string text;
    for (const Command &command : allCommands()) {
        if (std::string(command.name).rfind(prefix, 0) == 0)
            text.append(text.empty() ? "" : ", ").append(command.name);
    }
    return text;
}

std::string optionNames(const Command &command)
{
    std::string text = "--help";
    for (const char *name : command.options) {
        const std::string option = name;
        if (option != "file" && option != "id" && option != "log")
            text.append(", --").append(name);
    }
    return text;
}

/// Finds the command in front of the arguments and sets `used` to the number of its words.
const Command &findCommand(const std::vector<std::string> &arguments, std::size_t &used)
{
    const std::string &first = arguments.front();
    const std::string both = arguments.size() > 1 ? first + ' ' + arguments[1] : first;
    bool isGroup = false;
    for (const Command &command : allCommands()) {
        const std::string name = command.name;
        if (name == first || name == both) {
            used = name == first ? 1 : 2;
            return command;
        }
        isGroup = isGroup || name.rfind(first + ' ', 0) == 0;
    }
    if (first.rfind('-', 0) == 0)
        throw UsageError("unknown option '" + first
                         + "' before the command: write one of --help, --version");
    if (isGroup && arguments.size() == 1)
        throw UsageError("'" + first + "' is incomplete: write one of " + commandNames(first));
    throw UsageError("unknown command '" + (isGroup ? both : first) + "': write one of "
                     + commandNames(isGroup ? first : std::string()));
}

po::variables_map parseOptions(const Command &command, const std::vector<std::string> &arguments)
{
    po::options_description description;
    po::positional_options_description positional;
    description.add_options()("help", "");
    for (const char *name : command.options) {
        if (std::string(name) == "json")
            description.add_options()(name, "");
        else if (std::string(name) == "log" || std::string(name) == "at")
            description.add_options()(name, po::value<std::vector<std::string>>(), "");
        else if (command.severalEntries && std::string(name) == "entry")
            description.add_options()(name, po::value<std::vector<std::string>>(), "");
        else
            description.add_options()(name, po::value<std::string>(), "");
        if (std::string(name) == "file")
            positional.add(name, 1);
        if (std::string(name) == "id")
            positional.add(name, 1);
        if (std::string(name) == "log")
            positional.add(name, -1); // all that follow
    }
    // Abbreviated options would change their meaning when a new option is added.
    const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    po::variables_map values;
    const std::string place = "'" + std::string(command.name) + "': ";
    try {
        po::store(po::command_line_parser(arguments)
                          .options(description)
                          .positional(positional)
                          .style(style)
                          .run(),
                  values);
    } catch (const po::unknown_option &error) {
        throw UsageError(place + "unknown option '" + error.get_option_name() + "': write one of "
                         + optionNames(command));
    } catch (const po::too_many_positional_options_error &) {
        throw UsageError(place + "too many arguments: write " + command.name + ' '
                         + command.arguments);
    } catch (const po::error &error) {
        throw UsageError(place + error.what());
    }
    return values;
}

std::string textOf(const po::variables_map &values, const char *name, const char *environment)
{
    if (values.count(name) > 0)
        return values[name].as<std::string>();
    const char *text = environment != nullptr ? std::getenv(environment) : nullptr;
    return text != nullptr ? text : "";
}

/// Refuses text that would end or extend the HTTP header it is sent in.
void checkHeaderText(const std::string &text, const std::string &what)
{
    const std::size_t maxLength = 256;
    const bool isPrintable =
            std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
    if (!isPrintable || text.size() > maxLength)
        throw UsageError(what + " has the wrong form: write at most " + std::to_string(maxLength)
                         + " printable ASCII characters");
}

std::vector<Address> parseEntries(const std::vector<std::string> &texts)
{
    std::vector<Address> entries;
    for (const std::string &text : texts) {
        try {
            entries.push_back(parseIpAddress(text));
        } catch (const std::invalid_argument &error) {
            throw UsageError(std::string("--entry: ") + error.what()
                             + ": write an address such as 127.0.0.1:8080");
        }
    }
    return entries;
}

std::vector<Address> parseMetricsAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> addresses;
    for (const std::string &text : texts) {
        const bool hasPort = text.find(':') != std::string::npos;
        try {
            addresses.push_back(parseIpAddress(hasPort ? text : text + ':' + MetricsPort));
        } catch (const std::invalid_argument &error) {
            throw UsageError(std::string("--at: ") + error.what()
                             + ": write an address such as 127.0.0.1:" + MetricsPort);
        }
    }
    return addresses;
}

/// Fills what the command explain takes, for one of its forms.
void fillExplain(const Command &command, const po::variables_map &values, CommandContext &context)
{
    const auto isGiven = [&](const char *name) {
        return name == std::string("at") || name == std::string("log")
                       ? values.count(name) > 0
                       : !textOf(values, name, nullptr).empty();
    };
    const auto countGiven = [&](const std::vector<const char *> &names) {
        return std::count_if(names.begin(), names.end(), isGiven);
    };
    const bool isOfRequest = values.count("class") > 0;
    const bool isOfJob = !isOfRequest && countGiven({"queue", "job", "at"}) > 0;
    const std::vector<const char *> form = isOfRequest ? std::vector<const char *>{"class"}
                                           : isOfJob
                                                   ? std::vector<const char *>{"queue", "job", "at"}
                                                   : std::vector<const char *>{"id", "log"};
    const std::string usage = std::string("write ") + command.name + ' ' + command.arguments;
    if (countGiven(form) < static_cast<std::ptrdiff_t>(form.size()))
        throw UsageError("'explain': an argument is missing: " + usage);
    if (countGiven({"id", "log", "queue", "job", "at", "class"})
        > static_cast<std::ptrdiff_t>(form.size()))
        throw UsageError("'explain': too many arguments: " + usage);
    context.requestClass = textOf(values, "class", nullptr);
    context.queue = textOf(values, "queue", nullptr);
    context.file = textOf(values, "job", nullptr);
    context.job = textOf(values, "id", nullptr);
    if (isGiven("log"))
        context.logs = values["log"].as<std::vector<std::string>>();
    if (isGiven("at"))
        context.entries = parseMetricsAddresses(values["at"].as<std::vector<std::string>>());
}

void fillContext(const Command &command, const po::variables_map &values, CommandContext &context)
{
    for (const char *name : command.required) {
        if (textOf(values, name, nullptr).empty())
            throw UsageError("'" + std::string(command.name) + "': an argument is missing: write "
                             + command.name + ' ' + command.arguments);
    }
    context.file = textOf(values, values.count("config") > 0 ? "config" : "file", nullptr);
    context.against = textOf(values, "against", nullptr);
    context.author = textOf(values, "author", "USER");
    if (context.author.empty())
        context.author = "unknown";
    context.token = textOf(values, "token", "MONSOONLEDGE_TOKEN");
    context.json = values.count("json") > 0;
    checkHeaderText(context.author, "the author");
    checkHeaderText(context.token, "the token");
    if (values.count("expect") > 0) {
        const std::string text = values["expect"].as<std::string>();
        std::uint64_t number = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            throw UsageError("--expect is '" + text + "': write a revision number");
        context.expect = number;
    }
    context.html = textOf(values, "html", nullptr);
    if (context.json && !context.html.empty())
        throw UsageError("--json and --html exclude each other: write one of them");
    if (values.count("entry") > 0) {
        context.entries = command.severalEntries
                                  ? parseEntries(values["entry"].as<std::vector<std::string>>())
                                  : parseEntries({values["entry"].as<std::string>()});
        context.entry = context.entries.front();
    }
    if (command.run == runAnyExplain)
        fillExplain(command, values, context);
}

// [4] Running

int runArguments(const std::vector<std::string> &arguments, CommandContext &context)
{
    if (arguments.empty())
        throw UsageError("no command: write one of " + commandNames());
    if (arguments.front() == "--help" || arguments.front() == "--version") {
        if (arguments.size() > 1)
            throw UsageError("'" + arguments.front() + "' takes no argument");
        if (arguments.front() == "--help")
            printHelp(context.out);
        else
            context.out << "monsoonledge " << MONSOONLEDGE_VERSION << '\n';
        return ExitSuccess;
    }
    std::size_t used = 0;
    const Command &command = findCommand(arguments, used);
    const auto rest = arguments.begin() + static_cast<std::ptrdiff_t>(used);
    const po::variables_map values = parseOptions(command, {rest, arguments.end()});
    if (values.count("help") > 0) {
        printCommandHelp(context.out, command);
        return ExitSuccess;
    }
    fillContext(command, values, context);
    return command.run(context);
}

} // namespace

int runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const Address entry{"127.0.0.1", 8080};
    CommandContext context{{}, {}, {}, {}, {}, {}, {}, {}, {}, entry, {entry}, {}, false, out, err};
    try {
        return runArguments(arguments, context);
    } catch (const UsageError &error) {
        err << "monsoonledge: " << error.what() << "\nTry 'monsoonledge --help'.\n";
        return ExitBadInput;
    } catch (const FindingsError &error) {
        err << formatFindings(error.findings());
        return ExitBadInput;
    } catch (const EntryUnreachable &error) {
        err << "monsoonledge: " << error.what() << '\n';
        return ExitUnreachable;
    } catch (const std::system_error &error) {
        err << "monsoonledge: " << error.what() << '\n';
        return error.code() == std::errc::address_in_use ? ExitAddressInUse : ExitFailed;
    } catch (const std::exception &error) {
        err << "monsoonledge: " << error.what() << '\n';
        return ExitFailed;
    }
}

} // namespace monsoonledge
