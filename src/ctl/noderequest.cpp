#include "ctl/noderequest.h"

#include "ctl/nodeclient.h"
#include "ctl/textfile.h"

#include <cstdlib>
#include <utility>

namespace wisteriafork {

namespace {

constexpr const char *DefaultNode = "http://127.0.0.1:7300";

std::string environmentValue(const char *name)
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : "";
}

// Code and message of an error body, or the body itself.
std::string errorText(const NodeAnswer &answer)
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object() && body["error"].contains("message")
        && body["error"]["message"].is_string()) {
        return body["error"]["message"].get<std::string>();
    }
    return answer.body.substr(0, 200);
}

tl::expected<NodeClientOptions, CommandFailure> clientOptions(const CtlArguments &line)
{
    NodeClientOptions options;
    options.url = !line.node.empty() ? line.node : environmentValue("WISTERIAFORK_NODE");
    if (options.url.empty()) {
        options.url = DefaultNode;
    }
    options.caFile = line.caFile;
    options.token = environmentValue("WISTERIAFORK_TOKEN");
    if (!line.tokenFile.empty()) {
        auto token = readTextFile(line.tokenFile);
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

tl::expected<nlohmann::json, CommandFailure> askNode(const CtlArguments &line, const std::string &method, const std::string &target)
{
    const auto options = clientOptions(line);
    if (!options) {
        return tl::unexpected(options.error());
    }
    const auto answer = sendNodeRequest(*options, method, target);
    if (!answer) {
        return tl::unexpected(CommandFailure{.code = ExitCode::NodeUnreachable, .message = answer.error()});
    }
    if (answer->status == 401 || answer->status == 403) {
        return tl::unexpected(CommandFailure{.code = ExitCode::Denied, .message = "the node denies the request: " + errorText(*answer)});
    }
    auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->status / 100 != 2 || body.is_discarded()) {
        return tl::unexpected(CommandFailure{.code = ExitCode::NodeUnreachable,
                                             .message = "the node answered " + std::to_string(answer->status) + ": " + errorText(*answer)});
    }
    return body;
}

} // namespace wisteriafork
