#include "admin/adminhandler.h"

#include "admin/adminjson.h"
#include "admin/dryrun.h"
#include "admin/schema.h"
#include "core/config/configurationdocument.h"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

using nlohmann::json;

AdminResponse jsonResponse(const json &body)
{
    return {.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

std::optional<unsigned> hexDigit(char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const char lower = character >= 'A' && character <= 'F' ? static_cast<char>(character - 'A' + 'a') : character;
    const std::size_t position = digits.find(lower);
    return position == std::string_view::npos ? std::nullopt : std::optional(static_cast<unsigned>(position));
}

// Decodes escapes of the form %XX; empty if one is malformed.
std::optional<std::string> decodePercentEncoding(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            result += text[index];
            continue;
        }
        const auto high = index + 2 < text.size() ? hexDigit(text[index + 1]) : std::nullopt;
        const auto low = index + 2 < text.size() ? hexDigit(text[index + 2]) : std::nullopt;
        if (!high || !low) {
            return std::nullopt;
        }
        result += static_cast<char>(*high * 16 + *low);
        index += 2;
    }
    return result;
}

bool mayReadWorkspace(const AccessToken &token, const WorkspaceId &workspace)
{
    return token.workspaces.empty() || std::find(token.workspaces.begin(), token.workspaces.end(), workspace) != token.workspaces.end();
}

} // namespace

// Query parameters of a request. The only one in the API is the workspace of /v1/outcomes.
struct AdminHandler::Query
{
    std::optional<WorkspaceId> workspace;

    // Empty if the query is malformed or has a parameter that the path does not take.
    static std::optional<Query> parse(std::string_view text, bool acceptsWorkspace)
    {
        Query query;
        if (text.empty()) {
            return query;
        }
        constexpr std::string_view parameter = "workspace=";
        if (!acceptsWorkspace || !text.starts_with(parameter) || text.find('&') != std::string_view::npos) {
            return std::nullopt;
        }
        const auto value = decodePercentEncoding(text.substr(parameter.size()));
        if (!value || value->empty()) {
            return std::nullopt;
        }
        query.workspace = WorkspaceId(*value);
        return query;
    }
};

const std::vector<AdminRoute> &adminRoutes()
{
    static const std::vector<AdminRoute> routes{
        {"GET", "/v1/status", AccessRight::Reader, true},
        {"GET", "/v1/outcomes", AccessRight::Reader, true},
        {"GET", "/v1/instances", AccessRight::Reader, false},
        {"GET", "/v1/configuration", AccessRight::Reader, false},
        {"POST", "/v1/drain", AccessRight::Operator, false},
        {"POST", "/v1/undrain", AccessRight::Operator, false},
        {"POST", "/v1/questionnaire/dry-run", AccessRight::Reader, false},
        {"GET", "/v1/schema", AccessRight::Reader, true},
        {"GET", "/metrics", AccessRight::Reader, false},
    };
    return routes;
}

AdminHandler::AdminHandler(const std::vector<AccessToken> &tokens, AdministrationSource &source) : m_accessCheck(tokens), m_source(source)
{
}

AdminResponse AdminHandler::handle(const AdminRequest &request) const
{
    const AccessToken *token = m_accessCheck.findToken(request.authorization);
    if (token == nullptr) {
        // Checked before the path, so that a client without a token cannot find out which paths exist.
        AdminResponse response = errorResponse(401, "token-required", "a known bearer token is needed");
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
        return response;
    }
    const std::string_view target = request.target;
    const std::size_t queryMark = target.find('?');
    const std::string_view path = target.substr(0, queryMark);
    const std::string_view queryText = queryMark == std::string_view::npos ? std::string_view() : target.substr(queryMark + 1);
    const auto route
        = std::find_if(adminRoutes().begin(), adminRoutes().end(), [&](const AdminRoute &candidate) { return candidate.path == path; });
    AdminResponse response;
    if (route == adminRoutes().end()) {
        response = errorResponse(404, "unknown-path", "the API has no such path");
    } else if (route->method != request.method) {
        response = errorResponse(405, "method-not-allowed", "use " + std::string(route->method));
        response.headers.emplace_back("Allow", route->method);
    } else if (route->right == AccessRight::Operator && token->right != AccessRight::Operator) {
        response = errorResponse(403, "missing-right", "this needs operator rights");
    } else if (!route->allowsLimitedTokens && !token->workspaces.empty()) {
        response = errorResponse(403, "limited-token", "the token is limited to workspaces, and this concerns all of them");
    } else if (const auto query = Query::parse(queryText, path == "/v1/outcomes"); !query) {
        response = errorResponse(400, "malformed-query", "the query is malformed or has unknown parameters");
    } else {
        response = serve(*route, *token, *query, request.body);
    }
    response.tokenName = token->name;
    return response;
}

AdminResponse AdminHandler::serve(const AdminRoute &route, const AccessToken &token, const Query &query, const std::string &body) const
{
    if (route.path == "/v1/status") {
        return jsonResponse(statusJson(m_source.status()));
    }
    if (route.path == "/v1/outcomes") {
        return serveOutcomes(token, query);
    }
    if (route.path == "/v1/instances") {
        return jsonResponse(instancesJson(m_source.instances()));
    }
    if (route.path == "/v1/configuration") {
        return serveConfiguration();
    }
    if (route.path == "/v1/drain" || route.path == "/v1/undrain") {
        if (route.path == "/v1/drain") {
            m_source.drain();
        } else {
            m_source.undrain();
        }
        AdminResponse response = jsonResponse(statusJson(m_source.status()));
        response.status = 202;
        return response;
    }
    if (route.path == "/v1/questionnaire/dry-run") {
        return jsonResponse(dryRunJson(dryRunQuestionnaire(body, m_source.configuration(), m_source.recentLoad())));
    }
    if (route.path == "/v1/schema") {
        return {.body = std::string(administrationSchema())};
    }
    return {.contentType = "text/plain; version=0.0.4; charset=utf-8", .body = m_source.metricsText()};
}

AdminResponse AdminHandler::serveOutcomes(const AccessToken &token, const Query &query) const
{
    // The response is the same for a foreign workspace and for one that does not exist, so that it does not reveal which workspaces exist.
    if (query.workspace && !mayReadWorkspace(token, *query.workspace)) {
        return errorResponse(403, "foreign-workspace", "the token does not cover this workspace");
    }
    OutcomesReport report = m_source.outcomes();
    std::erase_if(report.rows, [&](const OutcomeRow &row) {
        return !mayReadWorkspace(token, row.key.workspace) || (query.workspace && row.key.workspace != *query.workspace);
    });
    if (!token.workspaces.empty()) {
        // Overloads are measured over the calls of all workspaces, which a limited token must not see.
        report.lastOverloads.clear();
    }
    return jsonResponse(outcomesJson(report));
}

AdminResponse AdminHandler::serveConfiguration() const
{
    const std::optional<Configuration> configuration = m_source.configuration();
    if (!configuration || configuration->version == 0) {
        return errorResponse(503, "no-configuration", "no configuration is in force yet");
    }
    return {.body = configurationToJson(*configuration)};
}

AdminResponse errorResponse(unsigned status, std::string code, const std::string &message)
{
    AdminResponse response = jsonResponse({{"error", {{"code", code}, {"message", message}}}});
    response.status = status;
    response.errorCode = std::move(code);
    return response;
}

} // namespace wisteriafork
