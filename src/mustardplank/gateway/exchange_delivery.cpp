#include "exchange.hpp"

#include "caller_connection.hpp"

namespace mustardplank::gateway {

namespace {

/// A request whose receipt is not confirmed for longer is logged.
constexpr Duration kSlowDelivery = Millis(400);

}

void
Exchange::checkDelivery(TimePoint aNow)
{
  if (mPhase != Phase::AwaitingResponse || mDeliveryChecked || aNow - mSentAt < kSlowDelivery) {
    return;
  }
  mDeliveryChecked = true;
  const auto bytes = mConnection->unacknowledgedBytes();
  if (bytes == 0) {
    return;
  }
  // What else waits tells a full link of this instance from a path to one server.
  std::size_t toServers = 0;
  for (const auto& [id, it] : mContext.exchanges) {
    // An exchange with two attempts has two entries.
    toServers += it->mJob.id == id ? it->unacknowledgedBytes() : 0;
  }
  std::size_t toCallers = 0;
  for (const auto& [id, it] : mContext.callerConnections) {
    toCallers += it->unacknowledgedBytes();
  }
  log(makeLogEvent(LogLevel::Warning, "request.not_received")
        .field("server", std::string_view(mGrant->server.str()))
        .field("sent_ms", toMillis(aNow - mSentAt))
        .field("bytes", bytes)
        .field("bytes_to_servers", toServers)
        .field("bytes_to_callers", toCallers),
      false);
}

std::size_t
Exchange::unacknowledgedBytes() const
{
  return mConnection && mPhase == Phase::AwaitingResponse ? mConnection->unacknowledgedBytes() : 0;
}

}
