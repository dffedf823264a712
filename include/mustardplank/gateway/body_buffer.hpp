#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::gateway {

/// A body that is not relayed before it is complete. Blocks of a fixed size keep
/// the memory close to the size of the body: a single string needs up to three times as much while
/// it grows.
class BodyBuffer
{
public:
  void append(std::string_view aBytes);
  std::size_t size() const { return mSize; }
  /// What the body holds in memory.
  std::size_t capacity() const;
  void clear();
  const std::vector<std::string>& blocks() const { return mBlocks; }

private:
  std::vector<std::string> mBlocks;
  std::size_t mSize = 0;
};

}
