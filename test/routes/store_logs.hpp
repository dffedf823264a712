#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::routes {

/// A page as text, with the bytes of the keys as they are: no valid JSON if one is not UTF-8.
std::string
rawPage(nlohmann::json aPage);

/// The content of the store's topics, which can be put back to an older copy. The operator and the
/// servers write what the copy lacks again: the newest record of each key.
class StoreLogs
{
public:
  /// Rises with each restoration.
  std::uint64_t era() const { return mEra; }
  std::uint64_t startOf(const std::string& aTopic) const;
  std::uint64_t endOf(const std::string& aTopic) const;
  /// Whether a read from aFrom can be answered.
  bool holds(const std::string& aTopic, std::uint64_t aFrom) const;
  /// Records from aFrom on, as a read returns them; holds() must be true.
  std::string chunk(const std::string& aTopic, std::uint64_t aFrom) const;
  /// All records of a topic, as key and value.
  std::vector<std::pair<std::string, std::string>> records(const std::string& aTopic) const;
  /// The newest record of each key after aAfter, up to so many.
  nlohmann::json newestPage(const std::string& aTopic,
                            const std::string& aAfter,
                            std::size_t aMaxRows) const;

  /// A record as it is in the body of an append, without its length.
  void append(const std::string& aTopic, const std::string& aContent);
  /// A keyed record of the operator or of a server.
  void put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);
  /// Forgets all records but the newest of each key.
  void compact(const std::string& aTopic);

  /// Copies the content for restore().
  void snapshot();
  void restore();
  /// Writes again what put() wrote after the copy was made and the last restoration took away.
  void rewriteOperators();

private:
  struct Record
  {
    std::string key;
    std::optional<std::string> value;
  };
  struct Log
  {
    std::uint64_t start = 0;
    std::vector<Record> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t end() const { return start + records.size(); }
  };
  struct Write
  {
    std::string topic;
    std::string key;
    std::string content;
  };

  static void eraseKey(std::vector<Write>& aWrites, const Write& aWrite);

  std::uint64_t mEra = 1;
  std::map<std::string, Log> mLogs;
  std::map<std::string, Log> mCopy;
  /// By put() since the copy was made.
  std::vector<Write> mSinceCopy;
  /// Not written again yet since the last restoration.
  std::vector<Write> mMissing;
};

}
