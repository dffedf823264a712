#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardplank {

/// SHA-256 in lower-case hexadecimal, for caller keys and body digests.
std::string
sha256Hex(std::string_view aText);

/// HMAC-SHA256 in lower-case hexadecimal.
std::string
hmacSha256Hex(std::string_view aSecret, std::string_view aText);

/// Compares in time that does not depend on where the strings differ.
bool
equalConstantTime(std::string_view aLeft, std::string_view aRight);

/// Fast 64-bit FNV-1a hash, equal on all instances; for rendezvous hashing and prefix hashes, not
/// for secrets.
std::uint64_t
stableHash(std::string_view aText);

/// Spreads the bits of a number, so that numbers that differ little give unrelated results (the
/// finalizer of MurmurHash3); equal on all instances.
constexpr std::uint64_t
mixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ (aValue >> 33);
}

/// stableHash() of a text that comes in parts.
class StableHasher
{
public:
  void add(std::string_view aText);
  std::uint64_t value() const;

private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;

  std::uint64_t mHash = kOffsetBasis;
};

/// aBytes bytes from the operating system's random source, in lower-case hexadecimal.
std::string
randomHex(std::size_t aBytes);

}
