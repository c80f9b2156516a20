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

// Encodes and decodes messages with MessagePack. A message is an aggregate with `fields()`, which returns `std::tie` of its members in wire
// order; it is encoded as an array. A variant is encoded as [index, value]. Times are encoded in their own unit.
template <typename T>
std::string encodeMessage(const T &message);

// Reads a message from arbitrary bytes; empty if they are no such message. Additional fields at the end of an aggregate are refused, as are
// bytes after the message.
template <typename T>
std::optional<T> decodeMessage(std::string_view bytes);

namespace codec {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
concept Aggregate = requires(const T &value)
{
    value.fields();
};

// Maps a type to its encoding. Specialised below for each type that may be a member of a message.
template <typename T>
struct Format;

template <typename T>
void put(Packer &packer, const T &value)
{
    Format<T>::put(packer, value);
}

template <typename T>
bool get(MsgpackReader &reader, T &value)
{
    return Format<T>::get(reader, value);
}

template <>
struct Format<bool>
{
    static void put(Packer &packer, bool value)
    {
        packer.pack(value);
    }

    static bool get(MsgpackReader &reader, bool &value)
    {
        const std::optional<bool> read = reader.readBool();
        value = read.value_or(false);
        return read.has_value();
    }
};

template <std::unsigned_integral T>
struct Format<T>
{
    static void put(Packer &packer, T value)
    {
        packer.pack_uint64(value);
    }

    static bool get(MsgpackReader &reader, T &value)
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
    static void put(Packer &packer, T value)
    {
        packer.pack_int64(value);
    }

    static bool get(MsgpackReader &reader, T &value)
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

    static void put(Packer &packer, T value)
    {
        Format<Underlying>::put(packer, static_cast<Underlying>(value));
    }

    // An enumerator that this version does not know keeps its number; the receiver's rules decide.
    static bool get(MsgpackReader &reader, T &value)
    {
        Underlying number{};
        if (!Format<Underlying>::get(reader, number)) {
            return false;
        }
        value = static_cast<T>(number);
        return true;
    }
};

template <>
struct Format<std::string>
{
    static void put(Packer &packer, const std::string &value)
    {
        packer.pack(value);
    }

    static bool get(MsgpackReader &reader, std::string &value)
    {
        const std::optional<std::string_view> read = reader.readString();
        value = read.value_or(std::string_view());
        return read.has_value();
    }
};

template <typename Tag>
struct Format<StrongString<Tag>>
{
    static void put(Packer &packer, const StrongString<Tag> &value)
    {
        packer.pack(value.value());
    }

    static bool get(MsgpackReader &reader, StrongString<Tag> &value)
    {
        const std::optional<std::string_view> read = reader.readString();
        value = StrongString<Tag>(std::string(read.value_or(std::string_view())));
        return read.has_value();
    }
};

// 16 bytes, big endian, as a string: 17 bytes instead of up to 19 as two numbers. Control messages consist mostly of keys.
template <>
struct Format<RequestKey>
{
    static constexpr std::size_t Size = 16;

    static void put(Packer &packer, const RequestKey &value)
    {
        std::array<char, Size> bytes{};
        for (std::size_t index = 0; index < Size; ++index) {
            const std::uint64_t half = index < Size / 2 ? value.high : value.low;
            bytes.at(index) = static_cast<char>(half >> (56 - 8 * (index % 8)));
        }
        packer.pack_str(Size);
        packer.pack_str_body(bytes.data(), Size);
    }

    static bool get(MsgpackReader &reader, RequestKey &value)
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

    static void put(Packer &packer, const Value &value)
    {
        packer.pack_int64(value.count());
    }

    static bool get(MsgpackReader &reader, Value &value)
    {
        Rep count{};
        if (!Format<Rep>::get(reader, count)) {
            return false;
        }
        value = Value(count);
        return true;
    }
};

template <>
struct Format<std::monostate>
{
    static void put(Packer &packer, std::monostate)
    {
        packer.pack_nil();
    }

    static bool get(MsgpackReader &reader, std::monostate &)
    {
        return reader.skipNil();
    }
};

template <typename T>
struct Format<std::optional<T>>
{
    static void put(Packer &packer, const std::optional<T> &value)
    {
        packer.pack_array(value ? 1 : 0);
        if (value) {
            codec::put(packer, *value);
        }
    }

    static bool get(MsgpackReader &reader, std::optional<T> &value)
    {
        const std::optional<std::size_t> size = reader.readArraySize();
        if (!size || *size > 1) {
            return false;
        }
        value.reset();
        return *size == 0 || codec::get(reader, value.emplace());
    }
};

template <typename T>
struct Format<std::vector<T>>
{
    static void put(Packer &packer, const std::vector<T> &values)
    {
        packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const T &value : values) {
            codec::put(packer, value);
        }
    }

    static bool get(MsgpackReader &reader, std::vector<T> &values)
    {
        const std::optional<std::size_t> size = reader.readArraySize();
        if (!size) {
            return false;
        }
        values.clear();
        for (std::size_t i = 0; i < *size; ++i) {
            if (!codec::get(reader, values.emplace_back())) {
                return false;
            }
        }
        return true;
    }
};

template <Aggregate T>
struct Format<T>
{
    static void put(Packer &packer, const T &value)
    {
        std::apply(
            [&packer](const auto &...members) {
                packer.pack_array(sizeof...(members));
                (codec::put(packer, members), ...);
            },
            value.fields());
    }

    static bool get(MsgpackReader &reader, T &value)
    {
        return std::apply(
            [&reader](auto &...members) { return reader.readArraySize() == sizeof...(members) && (codec::get(reader, members) && ...); },
            value.fields());
    }
};

template <typename... Alternatives>
struct Format<std::variant<Alternatives...>>
{
    using Value = std::variant<Alternatives...>;

    static void put(Packer &packer, const Value &value)
    {
        packer.pack_array(2);
        packer.pack_uint64(value.index());
        std::visit([&packer](const auto &alternative) { codec::put(packer, alternative); }, value);
    }

    static bool get(MsgpackReader &reader, Value &value)
    {
        std::uint64_t index = 0;
        if (reader.readArraySize() != 2U || !codec::get(reader, index)) {
            return false;
        }
        return getAlternative(reader, value, index, std::index_sequence_for<Alternatives...>());
    }

private:
    template <std::size_t... Indices>
    static bool getAlternative(MsgpackReader &reader, Value &value, std::uint64_t index, std::index_sequence<Indices...>)
    {
        bool good = false;
        ((index == Indices && (good = codec::get(reader, value.template emplace<Indices>()), true)) || ...);
        return good;
    }
};

} // namespace codec

template <typename T>
std::string encodeMessage(const T &message)
{
    msgpack::sbuffer buffer;
    codec::Packer packer(buffer);
    codec::put(packer, message);
    return {buffer.data(), buffer.size()};
}

template <typename T>
std::optional<T> decodeMessage(std::string_view bytes)
{
    MsgpackReader reader(bytes);
    std::optional<T> message(std::in_place);
    if (!codec::get(reader, *message) || !reader.atEnd()) {
        return std::nullopt;
    }
    return message;
}

} // namespace wisteriafork
