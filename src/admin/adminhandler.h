#pragma once

#include "admin/accesscheck.h"
#include "admin/administrationsource.h"
#include "admin/adminrequest.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

// One path of the administration API and the rights that it needs.
struct AdminRoute
{
    std::string_view method;
    std::string_view path;
    AccessRight right;
    // True if a token that is limited to workspaces may call the path.
    bool allowsLimitedTokens;
};

// All paths of the API.
const std::vector<AdminRoute> &adminRoutes();

// Checks the token, path and query of each request of the administration API and builds the response. It has no sockets. Thread safe if the
// source is.
class AdminHandler
{
public:
    // The source must outlive the handler.
    AdminHandler(const std::vector<AccessToken> &tokens, AdministrationSource &source);

    // Returns a response for every request; errors have their status and an error body.
    AdminResponse handle(const AdminRequest &request) const;

private:
    struct Query;

    AdminResponse serve(const AdminRoute &route, const AccessToken &token, const Query &query, const std::string &body) const;
    AdminResponse serveOutcomes(const AccessToken &token, const Query &query) const;
    AdminResponse serveConfiguration() const;

    AccessCheck m_accessCheck;
    AdministrationSource &m_source;
};

// Response with the HTTP status and the body {"error": {"code": ..., "message": ...}}.
AdminResponse errorResponse(unsigned status, std::string code, const std::string &message);

} // namespace wisteriafork
