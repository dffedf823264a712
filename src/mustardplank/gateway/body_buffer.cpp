#include "mustardplank/gateway/body_buffer.hpp"

#include <numeric>

namespace mustardplank::gateway {

namespace {

constexpr std::size_t kBlockBytes = 64UL * 1024;

}

void
BodyBuffer::append(std::string_view aBytes)
{
  mSize += aBytes.size();
  while (!aBytes.empty()) {
    if (mBlocks.empty() || mBlocks.back().size() >= kBlockBytes) {
      mBlocks.emplace_back();
      // Most bodies fit in a small first block.
      if (mBlocks.size() > 1) {
        mBlocks.back().reserve(kBlockBytes);
      }
    }
    auto& block = mBlocks.back();
    const auto part = aBytes.substr(0, kBlockBytes - block.size());
    block.append(part);
    aBytes.remove_prefix(part.size());
  }
}

std::size_t
BodyBuffer::capacity() const
{
  return std::accumulate(
    mBlocks.begin(), mBlocks.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aBlock) {
      return aSum + aBlock.capacity();
    });
}

void
BodyBuffer::clear()
{
  mBlocks.clear();
  mSize = 0;
}

}
