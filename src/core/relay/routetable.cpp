#include "core/relay/routetable.h"

#include <algorithm>
#include <cctype>

namespace wisteriafork {

namespace {

constexpr char KeySeparator = '\n';

// First part of a lookup key: the host name in lower case, without the port, and a separator.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::ranges::transform(key, key.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    key.push_back(KeySeparator);
    return key;
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes) : m_version(version), m_routes(std::move(routes))
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        const Route &route = m_routes[index];
        m_indicesByKey[hostKey(route.host) + route.prefix].push_back(index);
        m_hasPrefixesWithoutSlash = m_hasPrefixesWithoutSlash || !route.prefix.ends_with('/');
        m_hasRoutesForAnyHost = m_hasRoutesForAnyHost || route.host.empty();
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target, std::string_view method) const
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    const Route *found = findForHost(host, path, method);
    return found == nullptr && m_hasRoutesForAnyHost ? findForHost({}, path, method) : found;
}

const Route *RouteTable::findForHost(std::string_view host, std::string_view path, std::string_view method) const
{
    std::string key = hostKey(host);
    const std::size_t hostKeySize = key.size();
    key += path;
    if (m_hasPrefixesWithoutSlash && !path.ends_with('/')) {
        if (const Route *route = findByKey(key, method)) {
            return route;
        }
    }
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        key.resize(hostKeySize + slash + 1);
        if (const Route *route = findByKey(key, method)) {
            return route;
        }
        if (slash == 0) {
            break;
        }
        key.resize(hostKeySize + slash);
        const Route *route = m_hasPrefixesWithoutSlash ? findByKey(key, method) : nullptr;
        if (route != nullptr) {
            return route;
        }
    }
    return nullptr;
}

const Route *RouteTable::findByKey(const std::string &key, std::string_view method) const
{
    const auto found = m_indicesByKey.find(key);
    if (found == m_indicesByKey.end()) {
        return nullptr;
    }
    const Route *anyMethodRoute = nullptr;
    for (const std::size_t index : found->second) {
        const Route &route = m_routes[index];
        if (!route.method.empty() && route.method == method) {
            return &route;
        }
        anyMethodRoute = route.method.empty() && anyMethodRoute == nullptr ? &route : anyMethodRoute;
    }
    return anyMethodRoute;
}

} // namespace wisteriafork
