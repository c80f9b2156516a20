#include "net/errorresponse.h"

#include <nlohmann/json.hpp>

namespace wisteriafork {

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    HttpResponse response{.status = status};
    response.headers.add("content-type", "application/json");
    response.body = nlohmann::json{{"error", message}}.dump();
    return response;
}

} // namespace wisteriafork
