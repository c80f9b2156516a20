#pragma once

#include "core/relay/route.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// The routes of one version of the configuration. Immutable; each request keeps the table that was in force when it started.
class RouteTable
{
public:
    RouteTable(std::uint64_t version, std::vector<Route> routes);

    // Version of the configuration.
    std::uint64_t version() const
    {
        return m_version;
    }

    const std::vector<Route> &routes() const
    {
        return m_routes;
    }

    // Route with the longest matching prefix; null if none matches. Routes for the given host take precedence over routes for any host, and
    // of two with the same prefix the one for the given method over the one for any method. A port in `host` and the query of `target` are
    // ignored.
    const Route *find(std::string_view host, std::string_view target, std::string_view method = {}) const;

private:
    // Like `find`, for routes of exactly this host; an empty `host` stands for routes for any host.
    const Route *findForHost(std::string_view host, std::string_view path, std::string_view method) const;
    // Route with exactly this key for the method, or else for any method; null if there is none.
    const Route *findByKey(const std::string &key, std::string_view method) const;

    std::uint64_t m_version;
    std::vector<Route> m_routes;
    // Indices of the routes by host key and prefix. A lookup takes one or two steps for each slash of the path.
    std::unordered_map<std::string, std::vector<std::size_t>> m_indicesByKey;
    // Some prefixes do not end with a slash, so lookups must also try the path without its last slash.
    bool m_hasPrefixesWithoutSlash = false;
    bool m_hasRoutesForAnyHost = false;
};

} // namespace wisteriafork
