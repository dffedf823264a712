#include "mustardplank/agent/stream_exchange.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace mustardplank::agent {

using dispatch::StreamKey;
using dispatch::StreamOrigin;

std::vector<std::string>
noteRecipients(const Directory& aDirectory,
               const InstanceId& aInstance,
               const FailureDomainId& aDomain)
{
  std::vector<std::string> recipients;
  const auto add = [&](const AgentList& aAgents) {
    for (const auto& it : aAgents) {
      if (it.instance != aInstance) {
        recipients.push_back(it.address);
      }
    }
  };
  const auto& domains = aDirectory.domains;
  if (const auto own = domains.find(aDomain); own != domains.end()) {
    add(own->second);
  }
  auto next = domains.upper_bound(aDomain);
  std::size_t remote = 0;
  for (std::size_t i = 0; i < domains.size() && remote < kRemoteNoteDomains; ++i) {
    if (next == domains.end()) {
      next = domains.begin();
    }
    if (next->first != aDomain && !next->second.empty()) {
      add(next->second);
      ++remote;
    }
    ++next;
  }
  return recipients;
}

std::vector<Datagram>
makeStreamNotes(const std::vector<std::pair<StreamKey, StreamOrigin>>& aStreams,
                const std::vector<std::string>& aRecipients)
{
  std::vector<Datagram> out;
  for (auto it = aStreams.begin(); it != aStreams.end();) {
    const auto n = std::min<std::ptrdiff_t>(kMaxNotesPerDatagram, aStreams.end() - it);
    const auto bytes = encodeStreamMessage(StreamNotes{ { it, it + n } });
    for (const auto& address : aRecipients) {
      out.push_back({ address, bytes });
    }
    it += n;
  }
  return out;
}

void
StreamExchange::ask(std::optional<StreamKey> aStream,
                    const route::ServiceId& aService,
                    const std::vector<std::string>& aAgents,
                    TimePoint aNow,
                    Done aDone)
{
  if (aAgents.empty() || mQueries.size() >= kMaxQueries) {
    aDone({});
    return;
  }
  const auto number = ++mLastNumber;
  const auto bytes = encodeStreamMessage(StreamQuery{ number, aStream, aService });
  if (mUnsent.empty()) {
    mUnsentSince = aNow;
  }
  for (const auto& it : aAgents) {
    mUnsent.push_back({ it, bytes });
  }
  mQueries[number] = {
    { aAgents.begin(), aAgents.end() }, {}, aNow + kQueryTime, std::move(aDone)
  };
}

void
StreamExchange::receive(const StreamReply& aReply, const std::string& aSender)
{
  const auto it = mQueries.find(aReply.number);
  if (it == mQueries.end() || it->second.awaited.erase(aSender) == 0) {
    return;
  }
  it->second.replies.push_back(aReply.reply);
  if (it->second.awaited.empty() || aReply.reply.origin) {
    end(aReply.number);
  }
}

void
StreamExchange::end(std::uint64_t aNumber)
{
  auto query = std::move(mQueries.extract(aNumber).mapped());
  query.done(std::move(query.replies));
}

std::vector<Datagram>
StreamExchange::takeDue(TimePoint aNow)
{
  auto out = std::exchange(mUnsent, {});
  std::vector<std::uint64_t> over;
  for (const auto& [number, query] : mQueries) {
    if (aNow >= query.until) {
      over.push_back(number);
    }
  }
  for (const auto number : over) {
    end(number);
  }
  return out;
}

std::optional<TimePoint>
StreamExchange::nextAt() const
{
  std::optional<TimePoint> next;
  const auto add = [&](TimePoint aAt) { next = std::min(next.value_or(aAt), aAt); };
  if (!mUnsent.empty()) {
    add(mUnsentSince);
  }
  for (const auto& [number, query] : mQueries) {
    add(query.until);
  }
  return next;
}

}
