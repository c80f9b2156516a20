#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriafork {

// Reads consecutive MessagePack values from untrusted bytes. Unlike the unpacker of msgpack-cxx it allocates no memory, so a message that
// claims to contain billions of elements is harmless. Each read function returns an empty value if the next value has another type or is
// truncated; the reader must not be used after that.
class MsgpackReader
{
public:
    explicit MsgpackReader(std::string_view bytes) : m_remaining(bytes)
    {
    }

    std::optional<std::uint64_t> readUnsigned();
    std::optional<std::int64_t> readSigned();
    std::optional<bool> readBool();
    // Reads a text or binary value and returns a view into the input.
    std::optional<std::string_view> readString();
    // Reads the header of an array and returns the number of its elements, which is at most the number of remaining bytes.
    std::optional<std::size_t> readArraySize();
    // Reads a nil value; false if the next value is not nil.
    bool skipNil();

    bool isAtEnd() const
    {
        return m_remaining.empty();
    }

private:
    std::optional<std::uint8_t> takeByte();
    // Removes an unsigned number of this size from the input.
    std::optional<std::uint64_t> takeBigEndian(std::size_t bytes);
    // Length in bytes of the text or binary value that starts with this type byte.
    std::optional<std::size_t> takeLength(std::uint8_t typeByte);

    std::string_view m_remaining;
};

} // namespace wisteriafork
