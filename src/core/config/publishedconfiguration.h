#pragma once

#include "core/config/configuration.h"
#include "core/config/configurationindex.h"
#include "core/config/findings.h"

#include <map>
#include <string>
#include <string_view>

namespace wisteriafork {

// A configuration in the form in which it is published: the index and the text of each slice.
struct PublishedConfiguration
{
    ConfigurationIndex index;
    // Text of each slice by slice name, `_common` included.
    std::map<std::string, std::string> slices;

    friend bool operator==(const PublishedConfiguration &, const PublishedConfiguration &) = default;
};

// Splits a configuration into slices. A slice whose content equals that in `previous` keeps its version there; all others get the version
// of the configuration.
PublishedConfiguration publishConfiguration(const Configuration &configuration, const PublishedConfiguration *previous = nullptr);

// Keys and values of the configuration service: `config/index` and `config/slice/<name>`.
std::map<std::string, std::string> platformValues(const PublishedConfiguration &published);

// One JSON document with the index and all slices, readable and with a stable order of fields. This is the file that `wisteriaforkctl
// config generate` writes.
std::string printPublished(const PublishedConfiguration &published);

// Reads the document of `printPublished` and checks each slice against its hash.
Checked<PublishedConfiguration> parsePublished(std::string_view text);

// Configuration from an index and all of its slices; fails if a slice is missing, does not match its hash or is invalid.
Checked<Configuration> readPublished(const PublishedConfiguration &published);

} // namespace wisteriafork
