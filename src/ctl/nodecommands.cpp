#include "core/config/callclassname.h"
#include "core/config/configurationdocument.h"
#include "ctl/command.h"
#include "ctl/configurationfile.h"
#include "ctl/noderequest.h"
#include "ctl/outcomestext.h"

#include <algorithm>
#include <chrono>
#include <ostream>
#include <thread>

namespace wisteriafork {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds DrainPollInterval{200};

ExitCode fail(CommandContext context, const CommandFailure &failure)
{
    context.err << "wisteriaforkctl: " << failure.message << "\n";
    return failure.code;
}

ExitCode failFormat(CommandContext context)
{
    return fail(context, {.code = ExitCode::NodeUnreachable, .message = "the answer of the node has another form than expected"});
}

void printService(std::ostream &out, const ServiceConfiguration &service)
{
    out << "service " << service.id.value() << " at " << service.pathPrefix << ", " << service.slots << " slots, " << service.connections
        << " connections\n";
    for (const OperationConfiguration &operation : service.operations) {
        out << "  " << operation.id.value() << ": " << operation.method << " " << operation.pathPrefix << ", "
            << callClassName(operation.callClass) << (operation.idempotent ? ", idempotent" : ", at most once") << ", callers wait "
            << operation.callerWait.count() << " ms, target " << operation.targetLatency.count() << " ms\n";
        for (const ServiceId &callee : operation.calls) {
            out << "    calls " << callee.value() << "\n";
        }
    }
}

void printConfiguration(std::ostream &out, const Configuration &configuration)
{
    out << "configuration " << configuration.name << " version " << configuration.version << "\nfailure domains:";
    for (const DomainId &domain : configuration.domains) {
        out << " " << domain.value();
    }
    out << "\n";
    for (const WorkspaceId &workspace : configuration.workspaces) {
        out << "workspace " << workspace.value() << "\n";
    }
}

tl::expected<Configuration, CommandFailure> loadConfiguration(const CtlArguments &line)
{
    if (!line.operands.empty()) {
        return readConfigurationFile(line.operands[0]);
    }
    const auto answer = askNode(line, "GET", "/v1/configuration");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    return readConfigurationText(answer->dump(), "the answer of the node");
}

void printStatus(std::ostream &out, const json &status)
{
    out << status.at("name").get<std::string>() << " (service " << status.at("service").get<std::string>() << ", failure domain "
        << status.at("domain").get<std::string>() << ")\n"
        << "  version " << status.at("programVersion").get<std::string>() << ", up for " << status.at("uptimeSeconds").get<std::int64_t>()
        << " s, " << status.at("requestsInFlight").get<std::uint64_t>() << " requests in flight\n"
        << "  "
        << (status.at("drained").get<bool>()        ? "drained"
                : status.at("draining").get<bool>() ? "draining"
                                                    : "serving")
        << "\n  configuration version " << status.at("configurationVersion").get<std::uint64_t>() << "\n";
}

// Prints an answer as JSON or for people. An answer of another form than expected is reported instead of ending the program.
template <typename Print>
ExitCode show(const CtlArguments &line, CommandContext context, const json &answer, Print print)
{
    if (line.json) {
        context.out << answer.dump(2) << "\n";
        return ExitCode::Success;
    }
    try {
        print(context.out, answer);
    } catch (const json::exception &) {
        return failFormat(context);
    }
    return ExitCode::Success;
}

bool isDrained(const json &status)
{
    return status.is_object() && status.value("drained", false);
}

// Asks for the status until the node is drained or the time is up.
tl::expected<json, CommandFailure> waitForDrain(const CtlArguments &line, std::chrono::seconds wait)
{
    const auto end = std::chrono::steady_clock::now() + wait;
    while (true) {
        auto status = askNode(line, "GET", "/v1/status");
        if (!status || isDrained(*status) || std::chrono::steady_clock::now() >= end) {
            return status;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
}

std::string percentEncoded(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            result += character;
        } else {
            result += {'%', digits[byte >> 4U], digits[byte & 0xfU]};
        }
    }
    return result;
}

} // namespace

ExitCode runConfigShow(const CtlArguments &line, CommandContext context)
{
    const auto file = loadConfiguration(line);
    if (!file) {
        return fail(context, file.error());
    }
    const auto &services = file->services;
    const auto chosen = std::find_if(services.begin(), services.end(),
                                     [&](const ServiceConfiguration &service) { return service.id.value() == line.service; });
    if (!line.service.empty() && chosen == services.end()) {
        return fail(context, {.code = ExitCode::Negative, .message = "the configuration has no service \"" + line.service + "\""});
    }
    if (line.json) {
        context.out << (line.service.empty() ? wisteriafork::configurationToJson(*file) : wisteriafork::serviceToJson(*chosen));
        return ExitCode::Success;
    }
    if (!line.service.empty()) {
        printService(context.out, *chosen);
        return ExitCode::Success;
    }
    printConfiguration(context.out, *file);
    for (const ServiceConfiguration &service : services) {
        printService(context.out, service);
    }
    return ExitCode::Success;
}

ExitCode runNodeStatus(const CtlArguments &line, CommandContext context)
{
    const auto status = askNode(line, "GET", "/v1/status");
    return status ? show(line, context, *status, printStatus) : fail(context, status.error());
}

ExitCode runNodeDrain(const CtlArguments &line, CommandContext context)
{
    if (line.undo && line.wait) {
        context.err << "wisteriaforkctl: --undo and --wait exclude each other\n";
        return ExitCode::Usage;
    }
    auto status = askNode(line, "POST", line.undo ? "/v1/undrain" : "/v1/drain");
    if (status && line.wait && !isDrained(*status)) {
        status = waitForDrain(line, *line.wait);
    }
    if (!status) {
        return fail(context, status.error());
    }
    const ExitCode shown = show(line, context, *status, printStatus);
    if (shown == ExitCode::Success && line.wait && !isDrained(*status)) {
        return fail(context, {.code = ExitCode::Negative, .message = "the node is not drained yet"});
    }
    return shown;
}

ExitCode runOutcomes(const CtlArguments &line, CommandContext context)
{
    const std::string query = line.workspace.empty() ? "" : "?workspace=" + percentEncoded(line.workspace);
    const auto outcomes = askNode(line, "GET", "/v1/outcomes" + query);
    return outcomes ? show(line, context, *outcomes, printOutcomes) : fail(context, outcomes.error());
}

} // namespace wisteriafork
