#pragma once

#include "admin/accesscheck.h"
#include "admin/administrationsource.h"
#include "admin/adminrequest.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Who may call a path of the administration API.
struct AdminRoute
{
    std::string_view method;
    std::string_view path;
    AccessRight right;
    // True if a token that is limited to workspaces may call it.
    bool forLimitedTokens;
};

// All paths of the API.
const std::vector<AdminRoute> &adminRoutes();

// Answers requests of the administration API; has no sockets. Thread safe if the source is.
class AdminHandler
{
public:
    // The source must outlive the handler.
    AdminHandler(const std::vector<AccessToken> &tokens, AdministrationSource &source);

    AdminResponse handle(const AdminRequest &request) const;

private:
    struct Query;

    AdminResponse serve(const AdminRoute &route, const AccessToken &token, const Query &query, const std::string &body) const;
    AdminResponse serveOutcomes(const AccessToken &token, const Query &query) const;
    AdminResponse serveConfiguration() const;

    AccessCheck m_access;
    AdministrationSource &m_source;
};

// Response with the error body {"error": {"code", "message"}}.
AdminResponse errorResponse(unsigned status, std::string code, const std::string &message);

} // namespace wisteriafork
