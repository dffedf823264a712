#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace mustardplank {

/// Maps the values of an enum class to names and back.
///
///     enum class Colour { Red, Green };
///     constexpr NameTable<Colour, 2> kColourNames{ { { { Colour::Red, "red" }, { Colour::Green,
///     "green" } } } }; kColourNames.name(Colour::Red);    // "red" kColourNames.value("green"); //
///     Colour::Green
template<typename Enum, std::size_t N>
struct NameTable
{
  std::array<std::pair<Enum, std::string_view>, N> entries;

  constexpr std::string_view name(Enum aValue) const
  {
    for (const auto& it : entries) {
      if (it.first == aValue) {
        return it.second;
      }
    }
    return "?";
  }

  constexpr std::optional<Enum> value(std::string_view aName) const
  {
    for (const auto& it : entries) {
      if (it.second == aName) {
        return it.first;
      }
    }
    return std::nullopt;
  }
};

}
