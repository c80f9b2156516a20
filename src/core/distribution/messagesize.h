#pragma once

#include "core/base/strongstring.h"

#include <cstddef>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace wisteriafork {

// Estimates the size of a message in msgpack, for budgets and measurements. Integers count with their encoded length, and strings and
// arrays with their headers.
class MessageSize
{
public:
    template <typename... Ts>
    static std::size_t of(const std::variant<Ts...> &message)
    {
        return 1 + std::visit([](const auto &alternative) { return of(alternative); }, message);
    }
    static std::size_t of(const std::string &text)
    {
        constexpr std::size_t ShortText = 32;
        constexpr std::size_t MediumText = 256;
        return text.size() + (text.size() < ShortText ? 1 : text.size() < MediumText ? 2 : 5);
    }
    template <typename Tag>
    static std::size_t of(const StrongString<Tag> &id)
    {
        return of(id.value());
    }
    template <typename T>
    static std::size_t of(const std::vector<T> &items)
    {
        std::size_t size = 3;
        for (const T &item : items) {
            size += of(item);
        }
        return size;
    }
    template <typename T>
    static std::size_t of(const T &value)
    {
        if constexpr (std::is_enum_v<T> || std::is_same_v<T, bool>) {
            return 1;
        } else if constexpr (std::is_integral_v<T>) {
            return integer(static_cast<unsigned long long>(value));
        } else {
            return 1 + std::apply([](const auto &...members) { return (std::size_t{0} + ... + of(members)); }, value.fields());
        }
    }

private:
    static std::size_t integer(unsigned long long value)
    {
        return value < 0x80 ? 1 : value < 0x100 ? 2 : value < 0x10000 ? 3 : value < 0x100000000ULL ? 5 : 9;
    }
};

} // namespace wisteriafork
