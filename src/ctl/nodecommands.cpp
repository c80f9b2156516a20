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

ExitCode reportFailure(CommandContext context, const CommandFailure &failure)
{
    context.err << "wisteriaforkctl: " << failure.message << "\n";
    return failure.code;
}

ExitCode reportUnexpectedFormat(CommandContext context)
{
    return reportFailure(context, {.code = ExitCode::NodeUnreachable, .message = "the answer of the node has an unexpected format"});
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

// Reads the configuration from the file operand. Without an operand, requests the configuration that a node has in force.
tl::expected<Configuration, CommandFailure> loadConfiguration(const CtlArguments &arguments)
{
    if (!arguments.operands.empty()) {
        return readConfigurationFile(arguments.operands[0]);
    }
    const auto response = requestFromNode(arguments, "GET", "/v1/configuration");
    if (!response) {
        return tl::unexpected(response.error());
    }
    return readConfigurationText(response->dump(), "the answer of the node");
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

// Prints a response of the node as JSON, or with `print` as text. A response of an unexpected format is reported as a failure.
template <typename Print>
ExitCode printResponse(const CtlArguments &arguments, CommandContext context, const json &response, Print print)
{
    if (arguments.json) {
        context.out << response.dump(2) << "\n";
        return ExitCode::Success;
    }
    try {
        print(context.out, response);
    } catch (const json::exception &) {
        return reportUnexpectedFormat(context);
    }
    return ExitCode::Success;
}

bool isDrained(const json &status)
{
    return status.is_object() && status.value("drained", false);
}

// Polls the status of the node until it is drained or the timeout expires. Returns the last status.
tl::expected<json, CommandFailure> waitForDrain(const CtlArguments &arguments, std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        auto status = requestFromNode(arguments, "GET", "/v1/status");
        if (!status || isDrained(*status) || std::chrono::steady_clock::now() >= deadline) {
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

ExitCode runConfigShow(const CtlArguments &arguments, CommandContext context)
{
    const auto configuration = loadConfiguration(arguments);
    if (!configuration) {
        return reportFailure(context, configuration.error());
    }
    const auto &services = configuration->services;
    const auto selected = std::find_if(services.begin(), services.end(),
                                       [&](const ServiceConfiguration &service) { return service.id.value() == arguments.service; });
    if (!arguments.service.empty() && selected == services.end()) {
        return reportFailure(
            context, {.code = ExitCode::NegativeResult, .message = "the configuration has no service \"" + arguments.service + "\""});
    }
    if (arguments.json) {
        context.out << (arguments.service.empty() ? wisteriafork::configurationToJson(*configuration)
                                                  : wisteriafork::serviceToJson(*selected));
        return ExitCode::Success;
    }
    if (!arguments.service.empty()) {
        printService(context.out, *selected);
        return ExitCode::Success;
    }
    printConfiguration(context.out, *configuration);
    for (const ServiceConfiguration &service : services) {
        printService(context.out, service);
    }
    return ExitCode::Success;
}

ExitCode runNodeStatus(const CtlArguments &arguments, CommandContext context)
{
    const auto status = requestFromNode(arguments, "GET", "/v1/status");
    return status ? printResponse(arguments, context, *status, printStatus) : reportFailure(context, status.error());
}

ExitCode runNodeDrain(const CtlArguments &arguments, CommandContext context)
{
    if (arguments.undoDrain && arguments.drainTimeout) {
        context.err << "wisteriaforkctl: --undo and --wait exclude each other\n";
        return ExitCode::Usage;
    }
    auto status = requestFromNode(arguments, "POST", arguments.undoDrain ? "/v1/undrain" : "/v1/drain");
    if (status && arguments.drainTimeout && !isDrained(*status)) {
        status = waitForDrain(arguments, *arguments.drainTimeout);
    }
    if (!status) {
        return reportFailure(context, status.error());
    }
    const ExitCode exitCode = printResponse(arguments, context, *status, printStatus);
    if (exitCode == ExitCode::Success && arguments.drainTimeout && !isDrained(*status)) {
        return reportFailure(context, {.code = ExitCode::NegativeResult, .message = "the node is not drained yet"});
    }
    return exitCode;
}

ExitCode runOutcomes(const CtlArguments &arguments, CommandContext context)
{
    const std::string query = arguments.workspace.empty() ? "" : "?workspace=" + percentEncoded(arguments.workspace);
    const auto outcomes = requestFromNode(arguments, "GET", "/v1/outcomes" + query);
    return outcomes ? printResponse(arguments, context, *outcomes, printOutcomes) : reportFailure(context, outcomes.error());
}

} // namespace wisteriafork
