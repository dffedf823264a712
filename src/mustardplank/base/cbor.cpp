#include "mustardplank/base/cbor.hpp"

#include <array>
#include <cstdint>
#include <exception>
#include <optional>

namespace mustardplank {

using nlohmann::json;

namespace {

enum class MajorType
{
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
};

/// The start of an item (RFC 8949, section 3).
struct Head
{
  MajorType type = MajorType::Unsigned;
  /// The value, size in bytes, or number of elements.
  std::uint64_t argument = 0;
};

/// Removes and returns a head; nothing if it is truncated or has no argument (indefinite length).
std::optional<Head>
takeHead(std::string_view& aBytes)
{
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kInfoMask = 0x1f;
  constexpr unsigned kOneByteArgument = 24;
  constexpr unsigned kEightByteArgument = 27;
  if (aBytes.empty()) {
    return std::nullopt;
  }
  const auto initial = static_cast<unsigned char>(aBytes.front());
  aBytes.remove_prefix(1);
  Head head{ static_cast<MajorType>(initial >> kTypeShift), initial & kInfoMask };
  if (head.argument < kOneByteArgument) {
    return head;
  }
  if (head.argument > kEightByteArgument) {
    return std::nullopt;
  }
  const std::size_t size = std::size_t(1) << (head.argument - kOneByteArgument);
  if (aBytes.size() < size) {
    return std::nullopt;
  }
  head.argument = 0;
  for (const unsigned char c : aBytes.substr(0, size)) {
    head.argument = head.argument << 8 | c;
  }
  aBytes.remove_prefix(size);
  return head;
}

/// Whether the bytes start with a complete item that decodeCbor() accepts. The library reads
/// arrays, maps and strings of indefinite length by recursion, so that it must not see deep ones,
/// and takes memory for each item.
bool
startsWithAcceptableItem(std::string_view aBytes)
{
  std::size_t items = 0;
  /// Items still to come on each level.
  std::array<std::uint64_t, kMaxCborDepth> pending{};
  std::size_t depth = 0;
  for (;;) {
    const auto head = takeHead(aBytes);
    if (!head || head->type == MajorType::Tag || ++items > kMaxCborItems) {
      return false;
    }
    const bool isString = head->type == MajorType::Bytes || head->type == MajorType::Text;
    const bool isContainer = head->type == MajorType::Array || head->type == MajorType::Map;
    // Each element takes at least one byte.
    if ((isString || isContainer) && head->argument > aBytes.size()) {
      return false;
    }
    if (isString) {
      aBytes.remove_prefix(head->argument);
    } else if (isContainer && head->argument > 0) {
      if (depth == pending.size()) {
        return false;
      }
      pending[depth++] = head->type == MajorType::Map ? 2 * head->argument : head->argument;
      continue;
    }
    while (depth > 0 && --pending[depth - 1] == 0) {
      --depth;
    }
    if (depth == 0) {
      return true;
    }
  }
}

}

json
decodeCbor(std::string_view aBytes)
{
  constexpr bool kWholeInput = true;
  constexpr bool kThrow = false;
  if (!startsWithAcceptableItem(aBytes)) {
    return json(json::value_t::discarded);
  }
  try {
    return json::from_cbor(aBytes, kWholeInput, kThrow);
  } catch (const std::exception&) {
    // The library throws for some errors even when it is asked not to.
    return json(json::value_t::discarded);
  }
}

}
