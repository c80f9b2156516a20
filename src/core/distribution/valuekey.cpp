#include "core/distribution/valuekey.h"

namespace wisteriafork {

namespace {
constexpr std::string_view ConfigurationIndex = "config/index";
constexpr std::string_view SlicePrefix = "config/slice/";
constexpr std::string_view HostsIndex = "hosts";
constexpr std::string_view HostListPrefix = "hosts/";
} // namespace

std::string formatKey(const ValueKey &key)
{
    const bool configuration = key.family == ValueFamily::Configuration;
    if (key.service.empty()) {
        return std::string(configuration ? ConfigurationIndex : HostsIndex);
    }
    return std::string(configuration ? SlicePrefix : HostListPrefix) + key.service.value();
}

std::optional<ValueKey> parseKey(std::string_view text)
{
    if (text == ConfigurationIndex) {
        return ValueKey{.family = ValueFamily::Configuration, .service = {}};
    }
    if (text == HostsIndex) {
        return ValueKey{.family = ValueFamily::Hosts, .service = {}};
    }
    for (const auto &[prefix, family] :
         {std::pair(SlicePrefix, ValueFamily::Configuration), std::pair(HostListPrefix, ValueFamily::Hosts)}) {
        if (text.starts_with(prefix) && text.size() > prefix.size()) {
            return ValueKey{.family = family, .service = ServiceId(std::string(text.substr(prefix.size())))};
        }
    }
    return std::nullopt;
}

} // namespace wisteriafork
