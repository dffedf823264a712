#include "mustardplank/agent/stream_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mustardplank::agent {

using dispatch::StreamKey;
using dispatch::StreamOrigin;

void
StreamExchange::addNote(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow)
{
  if (mNotes.streams.empty()) {
    mNotesDueAt = aNow + kNoteInterval;
  }
  if (mNotes.streams.size() < kMaxNotes) {
    mNotes.streams.emplace_back(aStream, aOrigin);
  }
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
StreamExchange::takeDue(const std::vector<std::string>& aOwnAgents, TimePoint aNow)
{
  auto out = std::exchange(mUnsent, {});
  if (!mNotes.streams.empty() && aNow >= mNotesDueAt) {
    const auto notes = std::exchange(mNotes, {});
    for (auto it = notes.streams.begin(); it != notes.streams.end();) {
      const auto n = std::min<std::ptrdiff_t>(kMaxNotesPerDatagram, notes.streams.end() - it);
      const auto bytes = encodeStreamMessage(StreamNotes{ { it, it + n } });
      for (const auto& address : aOwnAgents) {
        out.push_back({ address, bytes });
      }
      it += n;
    }
  }
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
  if (!mNotes.streams.empty()) {
    add(mNotesDueAt);
  }
  for (const auto& [number, query] : mQueries) {
    add(query.until);
  }
  return next;
}

}
