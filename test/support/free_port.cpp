#include "support/free_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>

namespace mustardplank::support {

namespace {

constexpr unsigned kFirstPort = 10'000;
constexpr unsigned kPortsPerBlock = 100;
constexpr unsigned kBlocks = 220;
/// Blocks of one owner; leaves some to the other test programs of the machine.
constexpr std::size_t kMaxBlocksPerOwner = 10;
constexpr mode_t kLockFileMode = 0666;

/// The file whose lock reserves the block, or -1 if another owner holds it.
int
lockBlock(unsigned aIndex)
{
  const auto folder = std::filesystem::temp_directory_path() / "mustardplank-ports";
  std::filesystem::create_directories(folder);
  const auto path = folder / std::to_string(aIndex);
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode);
  if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return -1;
  }
  return file;
}

bool
isFree(std::uint16_t aPort)
{
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  boost::system::error_code ec;
  tcp::acceptor acceptor(io);
  acceptor.open(tcp::v4(), ec);
  acceptor.bind({ boost::asio::ip::address_v4::loopback(), aPort }, ec);
  return !ec;
}

}

PortReservation::PortReservation() = default;

PortReservation::~PortReservation()
{
  for (const auto& it : mBlocks) {
    ::close(it.file);
  }
}

bool
PortReservation::addBlock()
{
  const auto first = std::random_device{}() % kBlocks;
  for (unsigned i = 0; i < kBlocks; ++i) {
    const auto index = (first + i) % kBlocks;
    const int file = lockBlock(index);
    if (file >= 0) {
      mBlocks.push_back({ index, file });
      return true;
    }
  }
  return false;
}

std::uint16_t
PortReservation::next()
{
  for (unsigned tries = 0; tries < kMaxBlocksPerOwner * kPortsPerBlock; ++tries) {
    if (mTaken >= mBlocks.size() * kPortsPerBlock &&
        (mBlocks.size() >= kMaxBlocksPerOwner || !addBlock())) {
      mTaken = 0;
    }
    if (mBlocks.empty()) {
      break;
    }
    const auto& block = mBlocks[mTaken / kPortsPerBlock];
    const auto port = kFirstPort + block.index * kPortsPerBlock + mTaken % kPortsPerBlock;
    ++mTaken;
    if (isFree(static_cast<std::uint16_t>(port))) {
      return static_cast<std::uint16_t>(port);
    }
  }
  throw std::runtime_error("no free port");
}

std::uint16_t
freePort()
{
  static std::mutex mutex;
  static PortReservation reservation;
  const std::lock_guard lock(mutex);
  return reservation.next();
}

}
