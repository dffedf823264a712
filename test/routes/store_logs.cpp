#include "store_logs.hpp"

#include <openssl/evp.h>

#include <utility>

namespace mustardplank::routes {

using nlohmann::json;

namespace {

bool
isKeyed(const std::string& aTopic)
{
  return aTopic.starts_with("keyed.");
}

std::string
bigEndian(std::uint64_t aValue, int aBytes)
{
  std::string out;
  for (int i = aBytes - 1; i >= 0; --i) {
    out += static_cast<char>(aValue >> (8 * i) & 0xff);
  }
  return out;
}

std::string
toBase64(const std::string& aText)
{
  std::string out(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(aText.data()),
                                static_cast<int>(aText.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

/// Escapes what has to be escaped in a JSON string, and leaves bytes that are not ASCII.
std::string
escapeAscii(const std::string& aText)
{
  std::string out;
  for (const char c : aText) {
    const bool isAscii = static_cast<unsigned char>(c) < 0x80;
    const auto quoted = isAscii ? json(std::string(1, c)).dump() : std::string();
    out += isAscii ? quoted.substr(1, quoted.size() - 2) : std::string(1, c);
  }
  return out;
}

}

std::string
rawPage(json aPage)
{
  const auto entries = aPage["entries"];
  aPage.erase("entries");
  std::string rows;
  for (auto row : entries) {
    const auto key = row["key"].get<std::string>();
    row.erase("key");
    rows += rows.empty() ? "" : ",";
    rows += "{\"key\":\"" + escapeAscii(key) + "\"," + row.dump().substr(1);
  }
  return "{\"entries\":[" + rows + "]," + aPage.dump().substr(1);
}

std::uint64_t
StoreLogs::startOf(const std::string& aTopic) const
{
  const auto it = mLogs.find(aTopic);
  return it == mLogs.end() ? 0 : it->second.start;
}

std::uint64_t
StoreLogs::endOf(const std::string& aTopic) const
{
  const auto it = mLogs.find(aTopic);
  return it == mLogs.end() ? 0 : it->second.end();
}

bool
StoreLogs::holds(const std::string& aTopic, std::uint64_t aFrom) const
{
  return aFrom >= startOf(aTopic) && aFrom <= endOf(aTopic);
}

std::string
StoreLogs::chunk(const std::string& aTopic, std::uint64_t aFrom) const
{
  std::string out = bigEndian(endOf(aTopic), 8) + bigEndian(startOf(aTopic), 8);
  for (auto offset = aFrom; offset < endOf(aTopic); ++offset) {
    const auto& log = mLogs.at(aTopic);
    const auto& record = log.records[offset - log.start];
    std::string content;
    if (isKeyed(aTopic)) {
      content += static_cast<char>(record.key.size());
      content += record.key;
    }
    content += record.value.value_or(std::string());
    out += bigEndian(content.size(), 4) + content;
  }
  return out;
}

std::vector<std::pair<std::string, std::string>>
StoreLogs::records(const std::string& aTopic) const
{
  std::vector<std::pair<std::string, std::string>> records;
  if (const auto it = mLogs.find(aTopic); it != mLogs.end()) {
    for (const auto& record : it->second.records) {
      records.emplace_back(record.key, record.value.value_or(std::string()));
    }
  }
  return records;
}

json
StoreLogs::newestPage(const std::string& aTopic,
                      const std::string& aAfter,
                      std::size_t aMaxRows) const
{
  json page{ { "hasMore", false }, { "endOffset", endOf(aTopic) } };
  page["entries"] = json::array();
  const auto it = mLogs.find(aTopic);
  if (it != mLogs.end()) {
    for (const auto& [key, entry] : it->second.newest) {
      if (!aAfter.empty() && key <= aAfter) {
        continue;
      }
      if (page["entries"].size() == aMaxRows) {
        page["hasMore"] = true;
        break;
      }
      json row{ { "key", key }, { "offset", entry.first } };
      row["value"] = toBase64(entry.second);
      page["entries"].push_back(std::move(row));
    }
  }
  return page;
}

void
StoreLogs::append(const std::string& aTopic, const std::string& aContent)
{
  auto& log = mLogs[aTopic];
  Record record;
  if (!isKeyed(aTopic)) {
    record.value = aContent;
  } else {
    const auto keySize = static_cast<unsigned char>(aContent.at(0));
    record.key = aContent.substr(1, keySize);
    if (aContent.size() > 1U + keySize) {
      record.value = aContent.substr(1U + keySize);
    }
    if (record.value) {
      log.newest[record.key] = { log.end(), *record.value };
    } else {
      log.newest.erase(record.key);
    }
  }
  log.records.push_back(std::move(record));
}

void
StoreLogs::put(const std::string& aTopic,
               const std::string& aKey,
               const std::optional<std::string>& aValue)
{
  std::string content(1, static_cast<char>(aKey.size()));
  content += aKey + aValue.value_or(std::string());
  append(aTopic, content);
  Write write{ aTopic, aKey, std::move(content) };
  eraseKey(mMissing, write);
  eraseKey(mSinceCopy, write);
  mSinceCopy.push_back(std::move(write));
}

void
StoreLogs::compact(const std::string& aTopic)
{
  auto& log = mLogs[aTopic];
  log.start = log.end();
  log.records.clear();
}

void
StoreLogs::snapshot()
{
  mCopy = mLogs;
  mSinceCopy = mMissing;
}

void
StoreLogs::restore()
{
  mLogs = mCopy;
  mMissing = mSinceCopy;
  ++mEra;
}

void
StoreLogs::rewriteOperators()
{
  for (const auto& it : std::exchange(mMissing, {})) {
    append(it.topic, it.content);
  }
}

void
StoreLogs::eraseKey(std::vector<Write>& aWrites, const Write& aWrite)
{
  std::erase_if(aWrites, [&](const Write& aOther) {
    return aOther.topic == aWrite.topic && aOther.key == aWrite.key;
  });
}

}
