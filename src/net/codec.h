#pragma once

#include "core/base/requestkey.h"
#include "core/base/strongstring.h"
#include "net/msgpackreader.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace wisteriafork {

// Encodes a message with MessagePack. A message is an aggregate with a function `fields()` that returns `std::tie` of its members in wire
// order; it is encoded as an array. A variant is encoded as [index, value], a duration as its integral count in the unit of its type.
template <typename T>
std::string encodeMessage(const T &message);

// Decodes a message from untrusted bytes; empty if they are not a valid encoding of `T`. Additional fields at the end of an aggregate and
// bytes after the message make the encoding invalid.
template <typename T>
std::optional<T> decodeMessage(std::string_view bytes);

namespace codec {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
concept Aggregate = requires(const T &value)
{
    value.fields();
};

// Encoding of one type, specialised below for each type that may be a member of a message. `encode` appends the value to the packer;
// `decode` reads it and returns false if the next bytes are not a valid value of the type.
template <typename T>
struct Format;

template <typename T>
void encode(Packer &packer, const T &value)
{
    Format<T>::encode(packer, value);
}

template <typename T>
bool decode(MsgpackReader &reader, T &value)
{
    return Format<T>::decode(reader, value);
}

template <>
struct Format<bool>
{
    static void encode(Packer &packer, bool value)
    {
        packer.pack(value);
    }

    static bool decode(MsgpackReader &reader, bool &value)
    {
        const std::optional<bool> read = reader.readBool();
        value = read.value_or(false);
        return read.has_value();
    }
};

template <std::unsigned_integral T>
struct Format<T>
{
    static void encode(Packer &packer, T value)
    {
        packer.pack_uint64(value);
    }

    static bool decode(MsgpackReader &reader, T &value)
    {
        const std::optional<std::uint64_t> read = reader.readUnsigned();
        if (!read || *read > std::numeric_limits<T>::max()) {
            return false;
        }
        value = static_cast<T>(*read);
        return true;
    }
};

template <std::signed_integral T>
struct Format<T>
{
    static void encode(Packer &packer, T value)
    {
        packer.pack_int64(value);
    }

    static bool decode(MsgpackReader &reader, T &value)
    {
        const std::optional<std::int64_t> read = reader.readSigned();
        if (!read || *read > std::numeric_limits<T>::max() || *read < std::numeric_limits<T>::min()) {
            return false;
        }
        value = static_cast<T>(*read);
        return true;
    }
};

template <typename T>
requires std::is_enum_v<T>
struct Format<T>
{
    using Underlying = std::underlying_type_t<T>;

    static void encode(Packer &packer, T value)
    {
        Format<Underlying>::encode(packer, static_cast<Underlying>(value));
    }

    // The number of an enumerator that this version does not know is kept, so the receiver has to handle unknown enumerators.
    static bool decode(MsgpackReader &reader, T &value)
    {
        Underlying number{};
        if (!Format<Underlying>::decode(reader, number)) {
            return false;
        }
        value = static_cast<T>(number);
        return true;
    }
};

template <>
struct Format<std::string>
{
    static void encode(Packer &packer, const std::string &value)
    {
        packer.pack(value);
    }

    static bool decode(MsgpackReader &reader, std::string &value)
    {
        const std::optional<std::string_view> read = reader.readString();
        value = read.value_or(std::string_view());
        return read.has_value();
    }
};

template <typename Tag>
struct Format<StrongString<Tag>>
{
    static void encode(Packer &packer, const StrongString<Tag> &value)
    {
        packer.pack(value.value());
    }

    static bool decode(MsgpackReader &reader, StrongString<Tag> &value)
    {
        const std::optional<std::string_view> read = reader.readString();
        value = StrongString<Tag>(std::string(read.value_or(std::string_view())));
        return read.has_value();
    }
};

// A key is encoded as a string of 16 bytes in big-endian order. This takes 17 bytes instead of up to 19 for two numbers, which matters
// because control messages consist mostly of keys.
template <>
struct Format<RequestKey>
{
    static constexpr std::size_t Size = 16;

    static void encode(Packer &packer, const RequestKey &value)
    {
        std::array<char, Size> bytes{};
        for (std::size_t index = 0; index < Size; ++index) {
            const std::uint64_t half = index < Size / 2 ? value.high : value.low;
            bytes.at(index) = static_cast<char>(half >> (56 - 8 * (index % 8)));
        }
        packer.pack_str(Size);
        packer.pack_str_body(bytes.data(), Size);
    }

    static bool decode(MsgpackReader &reader, RequestKey &value)
    {
        const std::optional<std::string_view> bytes = reader.readString();
        if (!bytes || bytes->size() != Size) {
            return false;
        }
        value = {};
        for (std::size_t index = 0; index < Size; ++index) {
            std::uint64_t &half = index < Size / 2 ? value.high : value.low;
            half = (half << 8U) | static_cast<unsigned char>((*bytes)[index]);
        }
        return true;
    }
};

template <typename Rep, typename Period>
struct Format<std::chrono::duration<Rep, Period>>
{
    using Value = std::chrono::duration<Rep, Period>;

    static void encode(Packer &packer, const Value &value)
    {
        packer.pack_int64(value.count());
    }

    static bool decode(MsgpackReader &reader, Value &value)
    {
        Rep count{};
        if (!Format<Rep>::decode(reader, count)) {
            return false;
        }
        value = Value(count);
        return true;
    }
};

template <>
struct Format<std::monostate>
{
    static void encode(Packer &packer, std::monostate)
    {
        packer.pack_nil();
    }

    static bool decode(MsgpackReader &reader, std::monostate &)
    {
        return reader.skipNil();
    }
};

template <typename T>
struct Format<std::optional<T>>
{
    static void encode(Packer &packer, const std::optional<T> &value)
    {
        packer.pack_array(value ? 1 : 0);
        if (value) {
            codec::encode(packer, *value);
        }
    }

    static bool decode(MsgpackReader &reader, std::optional<T> &value)
    {
        const std::optional<std::size_t> size = reader.readArraySize();
        if (!size || *size > 1) {
            return false;
        }
        value.reset();
        return *size == 0 || codec::decode(reader, value.emplace());
    }
};

template <typename T>
struct Format<std::vector<T>>
{
    static void encode(Packer &packer, const std::vector<T> &values)
    {
        packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const T &value : values) {
            codec::encode(packer, value);
        }
    }

    static bool decode(MsgpackReader &reader, std::vector<T> &values)
    {
        const std::optional<std::size_t> size = reader.readArraySize();
        if (!size) {
            return false;
        }
        values.clear();
        for (std::size_t i = 0; i < *size; ++i) {
            if (!codec::decode(reader, values.emplace_back())) {
                return false;
            }
        }
        return true;
    }
};

template <Aggregate T>
struct Format<T>
{
    static void encode(Packer &packer, const T &value)
    {
        std::apply(
            [&packer](const auto &...members) {
                packer.pack_array(sizeof...(members));
                (codec::encode(packer, members), ...);
            },
            value.fields());
    }

    static bool decode(MsgpackReader &reader, T &value)
    {
        return std::apply(
            [&reader](auto &...members) { return reader.readArraySize() == sizeof...(members) && (codec::decode(reader, members) && ...); },
            value.fields());
    }
};

template <typename... Alternatives>
struct Format<std::variant<Alternatives...>>
{
    using Value = std::variant<Alternatives...>;

    static void encode(Packer &packer, const Value &value)
    {
        packer.pack_array(2);
        packer.pack_uint64(value.index());
        std::visit([&packer](const auto &alternative) { codec::encode(packer, alternative); }, value);
    }

    static bool decode(MsgpackReader &reader, Value &value)
    {
        std::uint64_t index = 0;
        if (reader.readArraySize() != 2U || !codec::decode(reader, index)) {
            return false;
        }
        return decodeAlternative(reader, value, index, std::index_sequence_for<Alternatives...>());
    }

private:
    template <std::size_t... Indices>
    static bool decodeAlternative(MsgpackReader &reader, Value &value, std::uint64_t index, std::index_sequence<Indices...>)
    {
        bool decoded = false;
        ((index == Indices && (decoded = codec::decode(reader, value.template emplace<Indices>()), true)) || ...);
        return decoded;
    }
};

} // namespace codec

template <typename T>
std::string encodeMessage(const T &message)
{
    msgpack::sbuffer buffer;
    codec::Packer packer(buffer);
    codec::encode(packer, message);
    return {buffer.data(), buffer.size()};
}

template <typename T>
std::optional<T> decodeMessage(std::string_view bytes)
{
    MsgpackReader reader(bytes);
    std::optional<T> message(std::in_place);
    if (!codec::decode(reader, *message) || !reader.isAtEnd()) {
        return std::nullopt;
    }
    return message;
}

} // namespace wisteriafork
