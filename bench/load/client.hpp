#pragma once

#include "flow.hpp"

#include "mustardplank/traffic/asio_types.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mustardplank::load {

using Clock = std::chrono::steady_clock;

/// What became of one request.
struct Record
{
  std::size_t flow = 0;
  double startSeconds = 0;
  /// "ok", "broken", "wrong" or the code of the refusal.
  std::string outcome = "broken";
  std::string runState;
  std::uint32_t tokens = 0;
  double firstTokenMillis = -1;
  double totalMillis = 0;
};

/// A connection of a caller to the target.
class Client
{
public:
  Client(boost::asio::io_context& aIo, traffic::Tcp::endpoint aTarget);

  /// Sends one request and reads its answer. Gaps between tokens in milliseconds are added to
  /// aGaps.
  traffic::Task<Record> ask(const Flow& aFlow, std::uint64_t aNumber, std::vector<float>& aGaps);
  /// Breaks off a request that takes too long.
  void close();

private:
  traffic::Task<bool> send(const std::string& aRequest);

  traffic::Socket mSocket;
  traffic::Tcp::endpoint mTarget;
};

}
