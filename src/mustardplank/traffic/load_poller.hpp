#pragma once

#include "asio_types.hpp"

#include "mustardplank/config/model.hpp"
#include "mustardplank/traffic/events.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::traffic {

/// Asks backend servers for their load and cache events ten times a second.
class LoadPoller
{
public:
  /// aOffer takes an event and returns whether there was room for it.
  LoadPoller(boost::asio::io_context& aIo, std::function<bool(Event)> aOffer);

  struct Watched
  {
    config::BackendServer server;
    /// Plain services have no GET /load; only whether they take connections is looked at.
    bool isPlainService = false;
  };
  /// Replaces the earlier list; servers in both go on as they were.
  void watch(const std::vector<Watched>& aServers);
  void stop();

private:
  struct Target;
  using TargetPtr = std::shared_ptr<Target>;

  Task<void> poll(TargetPtr aTarget);
  Task<void> pollEngine(TargetPtr aTarget);
  Task<void> pollCache(TargetPtr aTarget);
  Task<void> pollPlainService(TargetPtr aTarget);
  Task<bool> connect(TargetPtr aTarget);
  /// The body of the answer; nothing when none came in time or it was no 200.
  Task<std::optional<std::string>> get(TargetPtr aTarget, const std::string& aPath);

  boost::asio::io_context& mIo;
  std::function<bool(Event)> mOffer;
  std::map<BackendServerId, TargetPtr> mTargets;
};

}
