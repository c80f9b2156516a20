#include "core/relay/routetable.h"

#include <algorithm>
#include <cctype>

namespace wisteriafork {

namespace {

constexpr char KeySeparator = '\n';

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
        m_byPrefix.emplace(hostKey(m_routes[index].host) + m_routes[index].prefix, index);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    std::string key = hostKey(host);
    const std::size_t hostSize = key.size();
    key += path;
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        key.resize(hostSize + slash + 1);
        if (const auto found = m_byPrefix.find(key); found != m_byPrefix.end()) {
            return &m_routes[found->second];
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

} // namespace wisteriafork
