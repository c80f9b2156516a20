#pragma once

#include "lab/httpserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// Stand-in for the platform's configuration service, which also publishes the host lists. Reads and waiting watches follow the interface in
// docs/design.md; control paths for experiments start with "/_lab/":
//   PUT /_lab/values/<key>  publishes a value; its version is the next one of the key
//   POST /_lab/freeze       goes on answering with the values of this moment; later publications stay hidden
//   POST /_lab/thaw         shows the hidden publications
//   POST /_lab/stop, start  answers 503 to every read, or reads again
//   GET /_lab/stats         reads, watches now waiting
class StandinPlatform
{
public:
    StandinPlatform(asio::io_context &context, std::uint16_t port);

    void start();

private:
    struct Value
    {
        std::uint64_t version = 0;
        std::string text;
    };

    asio::awaitable<HttpResponse> handle(HttpRequest request, RequestContext connection);
    asio::awaitable<HttpResponse> read(const HttpRequest &request, std::string target);
    HttpResponse control(const HttpRequest &request);
    void publish(const std::string &key, std::string text);
    const std::map<std::string, Value> &visibleValues() const;

    asio::io_context &m_context;
    HttpServer m_server;
    std::map<std::string, Value> m_values;
    std::map<std::string, Value> m_frozenValues;
    std::uint64_t m_reads = 0;
    std::uint64_t m_waiting = 0;
    bool m_frozen = false;
    bool m_stopped = false;
};

} // namespace wisteriafork::lab
