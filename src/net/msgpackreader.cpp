#include "net/msgpackreader.h"

#include <limits>

namespace wisteriafork {

namespace {

// Type bytes of the MessagePack specification.
constexpr std::uint8_t Nil = 0xc0;
constexpr std::uint8_t False = 0xc2;
constexpr std::uint8_t True = 0xc3;
constexpr std::uint8_t Bin8 = 0xc4;
constexpr std::uint8_t Bin32 = 0xc6;
constexpr std::uint8_t Uint8 = 0xcc;
constexpr std::uint8_t Uint64 = 0xcf;
constexpr std::uint8_t Int8 = 0xd0;
constexpr std::uint8_t Int64 = 0xd3;
constexpr std::uint8_t Str8 = 0xd9;
constexpr std::uint8_t Str32 = 0xdb;
constexpr std::uint8_t Array16 = 0xdc;
constexpr std::uint8_t Array32 = 0xdd;

// Interprets the lowest `bytes` bytes of the value as a signed number in two's complement.
std::int64_t signExtend(std::uint64_t value, std::size_t bytes)
{
    const unsigned shift = 64 - 8 * static_cast<unsigned>(bytes);
    return static_cast<std::int64_t>(value << shift) >> shift;
}

} // namespace

std::optional<std::uint8_t> MsgpackReader::takeByte()
{
    if (m_remaining.empty()) {
        return std::nullopt;
    }
    const auto byte = static_cast<std::uint8_t>(m_remaining.front());
    m_remaining.remove_prefix(1);
    return byte;
}

std::optional<std::uint64_t> MsgpackReader::takeBigEndian(std::size_t bytes)
{
    if (m_remaining.size() < bytes) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = value << 8U | static_cast<std::uint8_t>(m_remaining[i]);
    }
    m_remaining.remove_prefix(bytes);
    return value;
}

std::optional<std::uint64_t> MsgpackReader::readUnsigned()
{
    const std::optional<std::uint8_t> typeByte = takeByte();
    if (!typeByte) {
        return std::nullopt;
    }
    if (*typeByte < 0x80) {
        return *typeByte;
    }
    if (*typeByte >= Uint8 && *typeByte <= Uint64) {
        return takeBigEndian(std::size_t{1} << (*typeByte - Uint8));
    }
    return std::nullopt;
}

std::optional<std::int64_t> MsgpackReader::readSigned()
{
    const std::optional<std::uint8_t> typeByte = takeByte();
    if (!typeByte) {
        return std::nullopt;
    }
    if (*typeByte < 0x80 || *typeByte >= 0xe0) {
        return static_cast<std::int8_t>(*typeByte);
    }
    if (*typeByte >= Uint8 && *typeByte <= Uint64) {
        const std::optional<std::uint64_t> value = takeBigEndian(std::size_t{1} << (*typeByte - Uint8));
        if (!value || *value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return std::nullopt;
        }
        return static_cast<std::int64_t>(*value);
    }
    if (*typeByte >= Int8 && *typeByte <= Int64) {
        const std::size_t bytes = std::size_t{1} << (*typeByte - Int8);
        const std::optional<std::uint64_t> value = takeBigEndian(bytes);
        return value ? std::optional(signExtend(*value, bytes)) : std::nullopt;
    }
    return std::nullopt;
}

std::optional<bool> MsgpackReader::readBool()
{
    const std::optional<std::uint8_t> typeByte = takeByte();
    if (!typeByte || (*typeByte != False && *typeByte != True)) {
        return std::nullopt;
    }
    return *typeByte == True;
}

std::optional<std::size_t> MsgpackReader::takeLength(std::uint8_t typeByte)
{
    if ((typeByte & 0xe0U) == 0xa0U) {
        return typeByte & 0x1fU;
    }
    if (typeByte >= Str8 && typeByte <= Str32) {
        return takeBigEndian(std::size_t{1} << (typeByte - Str8));
    }
    if (typeByte >= Bin8 && typeByte <= Bin32) {
        return takeBigEndian(std::size_t{1} << (typeByte - Bin8));
    }
    return std::nullopt;
}

std::optional<std::string_view> MsgpackReader::readString()
{
    const std::optional<std::uint8_t> typeByte = takeByte();
    const std::optional<std::size_t> length = typeByte ? takeLength(*typeByte) : std::nullopt;
    if (!length || *length > m_remaining.size()) {
        return std::nullopt;
    }
    const std::string_view text = m_remaining.substr(0, *length);
    m_remaining.remove_prefix(*length);
    return text;
}

std::optional<std::size_t> MsgpackReader::readArraySize()
{
    const std::optional<std::uint8_t> typeByte = takeByte();
    std::optional<std::uint64_t> size;
    if (typeByte && (*typeByte & 0xf0U) == 0x90U) {
        size = *typeByte & 0x0fU;
    } else if (typeByte == Array16) {
        size = takeBigEndian(2);
    } else if (typeByte == Array32) {
        size = takeBigEndian(4);
    }
    // Each element takes at least one byte, so a larger size is invalid.
    if (!size || *size > m_remaining.size()) {
        return std::nullopt;
    }
    return size;
}

bool MsgpackReader::skipNil()
{
    return takeByte() == Nil;
}

} // namespace wisteriafork
