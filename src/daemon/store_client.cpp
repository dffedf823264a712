#include "store_client.hpp"

#include <set>

namespace mustardplank::daemon {

namespace asio = boost::asio;
using control::Failure;

namespace {

/// A page has 500 records, or 1 MB of them.
constexpr std::size_t kMaxPages = 512;

std::size_t
heldBytes(const control::Record& aRecord)
{
  return sizeof aRecord + aRecord.key.capacity() + (aRecord.value ? aRecord.value->capacity() : 0);
}

}

asio::awaitable<control::Result<control::RecordBatch>>
StoreClient::read(control::Topic aTopic, control::Offset aFrom, Duration aWait)
{
  auto call = mDialect.makeReadCall(aTopic, aFrom, aWait);
  mMetrics.count(metrics::Event::LogRead);
  const auto answer = co_await mExchange.send(std::move(call));
  if (const auto* failure = std::get_if<Failure>(&answer)) {
    mMetrics.count(metrics::Event::LogReadFailure);
    co_return *failure;
  }
  co_return mDialect.decodeRead(aTopic, aFrom, std::get<control::HttpResponse>(answer));
}

asio::awaitable<control::Result<control::NewestPage>>
StoreClient::newest(control::Topic aTopic)
{
  control::NewestPage all;
  std::string after;
  std::set<std::string> resumed;
  platform::ReadMemory::Holding holding(mMemory, "newest records", {});
  std::size_t bytes = 0;
  bool first = true;
  do {
    auto call = mDialect.makeNewestCall(aTopic, after);
    mMetrics.count(metrics::Event::LogRead);
    const auto answer = co_await mExchange.send(std::move(call));
    if (const auto* failure = std::get_if<Failure>(&answer)) {
      mMetrics.count(metrics::Event::LogReadFailure);
      co_return *failure;
    }
    auto page = mDialect.decodeNewest(std::get<control::HttpResponse>(answer));
    if (const auto* failure = std::get_if<Failure>(&page)) {
      co_return *failure;
    }
    auto& records = std::get<control::NewestPage>(page);
    if (first) {
      // Later pages may hold newer records: reading on from the first page's end repeats them.
      all.logEnd = records.logEnd;
      first = false;
    } else if (control::eraOf(records.logEnd) != control::eraOf(all.logEnd)) {
      co_return Failure{ control::FailureKind::Unknown, "the store was restored" };
    }
    all.more = records.more && !records.records.empty();
    if (all.more && !resumed.insert(records.resumeAfter).second) {
      co_return Failure{ control::FailureKind::Unknown, "a page of the list repeats" };
    }
    after = records.resumeAfter;
    for (auto& it : records.records) {
      bytes += heldBytes(it);
      all.records.push_back(std::move(it));
    }
    if (!holding.set(bytes) || resumed.size() > kMaxPages) {
      mMemory->noteDropped();
      co_return Failure{ control::FailureKind::Unknown, "the list of newest records is too long" };
    }
  } while (all.more);
  co_return all;
}

asio::awaitable<control::Result<control::AppendResult>>
StoreClient::append(control::Topic aTopic,
                    std::vector<control::Record> aRecords,
                    std::optional<control::Offset> aAt)
{
  auto call = mDialect.makeAppendCall(aTopic, aRecords, aAt);
  mMetrics.count(metrics::Event::LogAppend);
  const auto answer = co_await mExchange.send(std::move(call));
  if (const auto* failure = std::get_if<Failure>(&answer)) {
    mMetrics.count(metrics::Event::LogAppendFailure);
    co_return *failure;
  }
  co_return mDialect.decodeAppend(std::get<control::HttpResponse>(answer));
}

}
