#pragma once

#include <cstdint>
#include <vector>

namespace mustardplank::support {

/// TCP ports outside the range that the system hands out by itself, in blocks that one owner on the
/// machine holds at a time. A block stays reserved while its owner exists, so the ports of a test
/// stay its own while their process is killed and started again.
class PortReservation
{
public:
  PortReservation();
  ~PortReservation();
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  /// A port on which nothing listens. With all blocks of the owner used, its earlier ports come
  /// again. Throws std::runtime_error when no block is left on the machine.
  std::uint16_t next();

private:
  /// Reserves one more block; whether there was one.
  bool addBlock();

  struct Block
  {
    unsigned index = 0;
    int file = -1;
  };
  std::vector<Block> mBlocks;
  /// Number of ports taken from mBlocks, also those that were in use.
  unsigned mTaken = 0;
};

/// The next port of this process's reservation. Thread-safe.
std::uint16_t
freePort();

}
