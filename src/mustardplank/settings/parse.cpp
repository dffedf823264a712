#include "mustardplank/settings/parse.hpp"

#include "json_tree.hpp"
#include "log_levels.hpp"
#include "object_reader.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace mustardplank::settings {

namespace {

/// Timeouts above an hour are taken for a mistake in the unit.
constexpr Millis kMaxTimeout = std::chrono::hours(1);
constexpr Millis kMaxUsageWindow = std::chrono::hours(24);
/// Keeps whoever can reach the peers' address from guessing the secret.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::int64_t kMebibyte = 1024 * 1024;

class Parser
{
public:
  Parser(const JsonNode& aRoot, std::string_view aFileName, Findings& aFindings)
    : mRoot(aRoot)
    , mFileName(aFileName)
    , mFindings(aFindings)
  {
  }

  Settings run()
  {
    ObjectReader reader(mRoot, mFileName, "", mFindings);
    reader.id("instance", mSettings.instance);
    reader.id("failure_domain", mSettings.failureDomain);
    readAddresses(reader);
    readSecret(reader);
    readOperatorTokens(reader);
    readCallerLimits(reader);
    reader.enumeration("log_level", mSettings.logLevel, kLogLevelNames);
    reader.enumeration("policy", mSettings.policy, pool::kSlotPolicyNames);
    reader.millis("drain_timeout_ms", mSettings.drainTimeout, Millis(0), kMaxTimeout);
    reader.millis("usage_window_ms", mSettings.usageWindow, Seconds(1), kMaxUsageWindow);
    reader.boolean("order_servers", mSettings.orderServers);
    readMechanisms(reader);
    reader.finish();
    return mSettings;
  }

private:
  void readAddresses(ObjectReader& aReader)
  {
    aReader.address("callers", mSettings.callers);
    aReader.address("peers", mSettings.peers);
    aReader.address("operators", mSettings.operators);
    aReader.address("admin", mSettings.admin);
    aReader.address("platform", mSettings.platform);
    // Two listeners on one address would fail only when the second one starts.
    std::map<std::string, std::string_view> users;
    const std::pair<std::string_view, const Address&> listeners[] = {
      { "callers", mSettings.callers },
      { "peers", mSettings.peers },
      { "operators", mSettings.operators },
      { "admin", mSettings.admin },
    };
    for (const auto& [key, address] : listeners) {
      if (address.port == 0) {
        continue;
      }
      const auto [it, inserted] = users.emplace(address.text(), key);
      if (!inserted) {
        aReader.report(key,
                       "is the same address as \"" + std::string(it->second) +
                         "\"; give each listener an address of its own");
      }
    }
  }

  void readSecret(ObjectReader& aReader)
  {
    const auto before = mFindings.size();
    aReader.string("peer_secret", mSettings.peerSecret, Presence::Required);
    if (mFindings.size() == before && mSettings.peerSecret.size() < kMinSecretLength) {
      aReader.report("peer_secret",
                     "is shorter than 16 characters; give a longer random text, the same on all "
                     "instances");
    }
  }

  void readOperatorTokens(ObjectReader& aReader)
  {
    const auto* tokens = aReader.array("operator_tokens", Presence::Required);
    if (tokens == nullptr) {
      return;
    }
    if (tokens->elements.empty()) {
      aReader.report("operator_tokens", "is empty, so nobody could operate; add a token");
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < tokens->elements.size(); ++i) {
      const auto& node = tokens->elements[i];
      const std::string path = "operator_tokens[" + std::to_string(i) + "]";
      if (node.type != JsonNode::Type::Object) {
        mFindings.add(std::string(mFileName) + ":" + std::to_string(node.line) + " " + path,
                      "is no object; give {\"name\": ..., \"hash\": ...}");
        continue;
      }
      readOperatorToken(node, path, names);
    }
  }

  void readOperatorToken(const JsonNode& aNode,
                         const std::string& aPath,
                         std::set<std::string>& aNames)
  {
    ObjectReader reader(aNode, mFileName, aPath, mFindings);
    OperatorToken token;
    reader.name("name", token.name);
    if (!token.name.empty() && !aNames.insert(token.name).second) {
      reader.report("name", "is used by another token; give each token a name of its own");
    }
    const auto before = mFindings.size();
    reader.string("hash", token.hash, Presence::Required);
    const bool isHash = token.hash.size() == kSha256HexLength &&
                        token.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (mFindings.size() == before && !isHash) {
      reader.report("hash",
                    "is no SHA-256 in lower-case hexadecimal; give the 64 digits that "
                    "\"printf %s TOKEN | sha256sum\" prints");
    }
    reader.finish();
    mSettings.operatorTokens.push_back(std::move(token));
  }

  void readCallerLimits(ObjectReader& aReader)
  {
    const auto* node = aReader.object("caller_limits", Presence::Optional);
    if (node == nullptr) {
      return;
    }
    auto& limits = mSettings.callerLimits;
    ObjectReader reader(*node, mFileName, "caller_limits", mFindings);
    reader.integer("max_connections", limits.maxConnections, 1, 1'000'000);
    reader.integer("max_header_bytes", limits.maxHeaderBytes, 1024, kMebibyte);
    reader.integer("max_body_bytes", limits.maxBodyBytes, 1024, 64 * kMebibyte);
    reader.millis("header_timeout_ms", limits.headerTimeout, Millis(1), kMaxTimeout);
    reader.millis("body_timeout_ms", limits.bodyTimeout, Millis(1), kMaxTimeout);
    reader.millis("idle_timeout_ms", limits.idleTimeout, Millis(1), kMaxTimeout);
    reader.millis("write_timeout_ms", limits.writeTimeout, Millis(1), kMaxTimeout);
    reader.finish();
  }

  void readMechanisms(ObjectReader& aReader)
  {
    const auto* node = aReader.object("mechanisms", Presence::Optional);
    if (node == nullptr) {
      return;
    }
    auto& mechanisms = mSettings.mechanisms;
    ObjectReader reader(*node, mFileName, "mechanisms", mFindings);
    reader.boolean("leases", mechanisms.leases);
    reader.boolean("epochs", mechanisms.epochs);
    reader.boolean("tombstones", mechanisms.tombstones);
    reader.boolean("intents", mechanisms.intents);
    reader.boolean("cold_limits", mechanisms.coldLimits);
    reader.boolean("crash_isolation", mechanisms.crashIsolation);
    reader.boolean("expected_revisions", mechanisms.expectedRevisions);
    reader.boolean("drain", mechanisms.drain);
    reader.boolean("tiers", mechanisms.tiers);
    reader.boolean("min_share", mechanisms.minShare);
    reader.boolean("resume", mechanisms.resume);
    reader.finish();
  }

  const JsonNode& mRoot;
  std::string_view mFileName;
  Findings& mFindings;
  Settings mSettings;
};

}

Settings
parseSettings(std::string_view aText, std::string_view aFileName, Findings& aFindings)
{
  JsonError error;
  const auto root = parseJsonTree(aText, error);
  const std::string file(aFileName);
  if (!root) {
    aFindings.add(file + ":" + std::to_string(error.line), error.message);
    return {};
  }
  if (root->type != JsonNode::Type::Object) {
    aFindings.add(file + ":" + std::to_string(root->line),
                  "is no object; see docs/settings.example.json");
    return {};
  }
  return Parser(*root, aFileName, aFindings).run();
}

}
