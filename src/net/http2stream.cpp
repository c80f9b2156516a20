#include "net/http2stream.h"

namespace wisteriafork {

nghttp2_nv http2Field(std::string_view name, std::string_view value)
{
    // nghttp2 takes non-const pointers, but does not modify the bytes.
    return {.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            .value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            .namelen = name.size(),
            .valuelen = value.size(),
            .flags = NGHTTP2_NV_FLAG_NONE};
}

std::string_view http2Text(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

bool parseHttp2Number(std::string_view text, std::uint64_t &number)
{
    number = 0;
    for (const char c : text) {
        if (c < '0' || c > '9') {
            return false;
        }
        number = number * 10 + static_cast<unsigned>(c - '0');
    }
    return !text.empty() && text.size() < 19;
}

} // namespace wisteriafork
