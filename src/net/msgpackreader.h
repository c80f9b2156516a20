#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriafork {

// Reads MessagePack values one after the other from a byte sequence. Unlike the unpacker of msgpack-cxx it allocates nothing, so a message
// that claims to hold billions of elements costs no memory. Each function returns an empty value if the next value has another type or is
// cut off; the reader must not be used after that.
class MsgpackReader
{
public:
    explicit MsgpackReader(std::string_view bytes) : m_rest(bytes)
    {
    }

    std::optional<std::uint64_t> readUnsigned();
    std::optional<std::int64_t> readSigned();
    std::optional<bool> readBool();
    // Text or binary; a view into the input.
    std::optional<std::string_view> readString();
    // Number of elements that follow. Never more than the bytes that are left.
    std::optional<std::size_t> readArraySize();
    // Consumes a nil if it comes next.
    bool skipNil();

    bool atEnd() const
    {
        return m_rest.empty();
    }

private:
    std::optional<std::uint8_t> takeByte();
    std::optional<std::uint64_t> takeBigEndian(std::size_t bytes);
    std::optional<std::size_t> takeLength(std::uint8_t head);

    std::string_view m_rest;
};

} // namespace wisteriafork
