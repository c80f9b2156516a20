#include "ctl/noderequest.h"

#include "ctl/nodeclient.h"
#include "ctl/textfile.h"

#include <cstdlib>
#include <utility>

namespace wisteriafork {

namespace {

constexpr const char *DefaultNodeUrl = "http://127.0.0.1:7300";

std::string environmentValue(const char *name)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : "";
}

// Returns the message of an error response, or the start of its body if it has no message.
std::string errorText(const NodeResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object() && body["error"].contains("message")
        && body["error"]["message"].is_string()) {
        return body["error"]["message"].get<std::string>();
    }
    return response.body.substr(0, 200);
}

// Returns the URL, token and certificate authority from the command line, or else from the environment. Strips white space from the end of
// the token file.
tl::expected<NodeClientOptions, CommandFailure> clientOptions(const CtlArguments &arguments)
{
    NodeClientOptions options;
    options.url = !arguments.node.empty() ? arguments.node : environmentValue("WISTERIAFORK_NODE");
    if (options.url.empty()) {
        options.url = DefaultNodeUrl;
    }
    options.caFile = arguments.caFile;
    options.token = environmentValue("WISTERIAFORK_TOKEN");
    if (!arguments.tokenFile.empty()) {
        auto token = readTextFile(arguments.tokenFile);
        if (!token) {
            return tl::unexpected(CommandFailure{.code = ExitCode::FileError, .message = token.error()});
        }
        token->erase(token->find_last_not_of(" \r\n\t") + 1);
        options.token = *std::move(token);
    }
    if (options.token.find_first_of("\r\n") != std::string::npos) {
        return tl::unexpected(CommandFailure{.code = ExitCode::Usage, .message = "the token must be a single line"});
    }
    return options;
}

} // namespace

tl::expected<nlohmann::json, CommandFailure> requestFromNode(const CtlArguments &arguments, const std::string &method,
                                                             const std::string &target)
{
    const auto options = clientOptions(arguments);
    if (!options) {
        return tl::unexpected(options.error());
    }
    const auto response = sendNodeRequest(*options, method, target);
    if (!response) {
        return tl::unexpected(CommandFailure{.code = ExitCode::NodeUnreachable, .message = response.error()});
    }
    if (response->status == 401 || response->status == 403) {
        return tl::unexpected(CommandFailure{.code = ExitCode::Denied, .message = "the node denies the request: " + errorText(*response)});
    }
    auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (response->status / 100 != 2 || body.is_discarded()) {
        return tl::unexpected(
            CommandFailure{.code = ExitCode::NodeUnreachable,
                           .message = "the node answered " + std::to_string(response->status) + ": " + errorText(*response)});
    }
    return body;
}

} // namespace wisteriafork
