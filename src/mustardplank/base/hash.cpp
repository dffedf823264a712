#include "mustardplank/base/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace mustardplank {

namespace {

std::string
toHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4];
    text += kDigits[aBytes[i] & 0x0f];
  }
  return text;
}

}

std::string
sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  EVP_Digest(aText.data(), aText.size(), digest.data(), &n, EVP_sha256(), nullptr);
  return toHex(digest.data(), n);
}

std::string
hmacSha256Hex(std::string_view aSecret, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  const auto* text = reinterpret_cast<const unsigned char*>(aText.data());
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       text,
       aText.size(),
       digest.data(),
       &n);
  return toHex(digest.data(), n);
}

bool
equalConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
stableHash(std::string_view aText)
{
  StableHasher hasher;
  hasher.add(aText);
  return hasher.value();
}

void
StableHasher::add(std::string_view aText)
{
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const unsigned char c : aText) {
    mHash = (mHash ^ c) * kPrime;
  }
}

std::uint64_t
StableHasher::value() const
{
  auto hash = mHash;
  // FNV-1a alone mixes the last bytes weakly; names that differ only at the end would hash close
  // together.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

std::string
randomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the operating system's random source failed");
  }
  return toHex(bytes.data(), bytes.size());
}

}
