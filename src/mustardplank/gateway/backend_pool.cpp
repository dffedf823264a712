#include "backend_pool.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/settings/parse.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace mustardplank::gateway {

namespace asio = boost::asio;

BackendPool::~BackendPool()
{
  *mSelf = nullptr;
}

BackendPool::Link
BackendPool::takeIdle(const std::string& aAddress)
{
  const auto it = mIdle.find(aAddress);
  if (it == mIdle.end()) {
    return nullptr;
  }
  auto link = std::move(it->second.back());
  it->second.pop_back();
  if (it->second.empty()) {
    mIdle.erase(it);
  }
  if (link->usableUntil() > bootNow()) {
    return link;
  }
  // The others have been idle for longer.
  link->close();
  forget(aAddress);
  return nullptr;
}

BackendPool::Link
BackendPool::connect(const std::string& aAddress, Acquired aAcquired)
{
  const auto parsed = settings::parseAddress(aAddress);
  if (!parsed) {
    asio::post(mIo, [aAcquired = std::move(aAcquired)] { aAcquired(nullptr); });
    return nullptr;
  }
  ++mConnections;
  auto link =
    std::make_shared<BackendLink>(mIo, aAddress, [self = mSelf](const Link& aLink, bool aIdle) {
      if (*self) {
        (*self)->released(aLink, aIdle);
      }
    });
  const Tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
  link->connect(endpoint, [link, aAcquired = std::move(aAcquired)](ErrorCode aError) {
    if (aError) {
      link->close();
    }
    aAcquired(aError ? nullptr : link);
  });
  return link;
}

void
BackendPool::released(const Link& aLink, bool aIdle)
{
  if (aIdle) {
    mIdle[aLink->address()].push_back(aLink);
    return;
  }
  --mConnections;
  const auto it = mIdle.find(aLink->address());
  if (it != mIdle.end()) {
    std::erase(it->second, aLink);
    if (it->second.empty()) {
      mIdle.erase(it);
    }
  }
}

void
BackendPool::forget(const std::string& aAddress)
{
  const auto it = mIdle.find(aAddress);
  if (it == mIdle.end()) {
    return;
  }
  const auto links = std::move(it->second);
  mIdle.erase(it);
  for (const auto& link : links) {
    link->close();
  }
}

}
