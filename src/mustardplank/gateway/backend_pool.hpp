#pragma once

#include "backend_link.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardplank::gateway {

/// Connections to backend servers by address. The one used last is used next, so that the others
/// can end.
class BackendPool
{
public:
  using Link = std::shared_ptr<BackendLink>;
  /// Gets no link when none could be set up.
  using Acquired = std::function<void(Link)>;

  explicit BackendPool(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
  }
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// An idle link, if there is one that the server still keeps open.
  Link takeIdle(const std::string& aAddress);
  /// Begins a new connection. The link can be closed before aAcquired is called.
  Link connect(const std::string& aAddress, Acquired aAcquired);
  /// Closes idle links to an address whose server has gone.
  void forget(const std::string& aAddress);
  std::size_t connections() const { return mConnections; }

private:
  void released(const Link& aLink, bool aIdle);

  boost::asio::io_context& mIo;
  std::unordered_map<std::string, std::vector<Link>> mIdle;
  std::size_t mConnections = 0;
  std::shared_ptr<BackendPool*> mSelf = std::make_shared<BackendPool*>(this);
};

}
