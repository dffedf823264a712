#include "mustardplank/config/validate.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank::config {

namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kHashLength = 64;
/// Far above the five tiers of the full size; bounds tables indexed by tier.
constexpr std::uint32_t kMaxTier = 31;

bool
isName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         std::all_of(
           aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

bool
isDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool
isHash(const std::string& aText)
{
  return aText.size() == kHashLength && std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return isDigit(aChar) || (aChar >= 'a' && aChar <= 'f');
         });
}

bool
isAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const std::string port = aText.substr(colon + 1);
  return !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), isDigit) &&
         std::stoul(port) >= 1 && std::stoul(port) <= 65535;
}

template<typename Key, typename Map>
std::string
missing(const char* aWhat, const Key& aId, const Map& aMap)
{
  return aMap.contains(aId) ? "" : std::string(aWhat) + " \"" + aId.str() + "\" does not exist";
}

template<typename Key, typename Map>
std::string
anyMissing(const char* aWhat, const std::vector<Key>& aIds, const Map& aMap)
{
  for (const auto& it : aIds) {
    if (auto why = missing(aWhat, it, aMap); !why.empty()) {
      return why;
    }
  }
  return "";
}

/// The first of the texts that is not empty.
std::string
firstOf(std::initializer_list<std::string> aTexts)
{
  for (const auto& it : aTexts) {
    if (!it.empty()) {
      return it;
    }
  }
  return "";
}

std::string
unless(bool aRight, const char* aMessage)
{
  return aRight ? "" : aMessage;
}

std::string
idFault(const auto& aId)
{
  return unless(isName(aId.str()), "id has to be 1 to 128 printable characters without spaces");
}

std::string
defaultClassFault(const Organisation& aOrganisation)
{
  const auto& allowed = aOrganisation.allowedClasses;
  return unless(aOrganisation.defaultClass.empty() ||
                  std::find(allowed.begin(), allowed.end(), aOrganisation.defaultClass) !=
                    allowed.end(),
                "default_class has to be one of allowed_classes");
}

std::string
why(const PutOrganisation& aChange, const Objects& aObjects)
{
  const auto& it = aChange.organisation;
  return firstOf({ idFault(it.id),
                   unless(std::isfinite(it.weight) && it.weight > 0, "weight has to be above 0"),
                   unless(std::isfinite(it.requestRate) && it.requestRate >= 0,
                          "request_rate has to be 0 or more"),
                   defaultClassFault(it),
                   anyMissing("class", it.allowedClasses, aObjects.classes) });
}

std::string
hashFault(const CallerKey& aKey, const Objects& aObjects)
{
  const auto owner = aObjects.keysByHash.find(aKey.hash);
  return unless(owner == aObjects.keysByHash.end() || owner->second == aKey.id,
                "another key has the same hash");
}

std::string
withdrawnFault(const CallerKey& aKey, const Objects& aObjects)
{
  const auto it = aObjects.keys.find(aKey.id);
  return unless(it == aObjects.keys.end() || !it->second.withdrawn,
                "the key is withdrawn, which is final; create another one");
}

std::string
why(const PutKey& aChange, const Objects& aObjects)
{
  const auto& it = aChange.key;
  return firstOf({ idFault(it.id),
                   unless(isHash(it.hash), "hash has to be SHA-256 in lower-case hexadecimal"),
                   missing("organisation", it.organisation, aObjects.organisations),
                   hashFault(it, aObjects),
                   withdrawnFault(it, aObjects) });
}

std::string
why(const PutClass& aChange, const Objects& aObjects)
{
  const auto& it = aChange.requestClass;
  return firstOf(
    { idFault(it.id),
      unless(it.tier <= kMaxTier, "tier has to be 0 to 31"),
      unless(it.firstTokenTarget.count() > 0, "first_token_target_us has to be above 0"),
      unless(it.perTokenTarget.count() > 0, "per_token_target_us has to be above 0"),
      unless(it.minShare >= 0 && it.minShare <= 1, "min_share has to be 0 to 1"),
      anyMissing("pool", it.pools, aObjects.pools),
      anyMissing("failure domain", it.failureDomains, aObjects.failureDomains) });
}

std::string
why(const PutFailureDomain& aChange, const Objects&)
{
  return idFault(aChange.failureDomain.id);
}

bool
isCost(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

std::string
why(const PutPool& aChange, const Objects&)
{
  const auto& it = aChange.pool;
  return firstOf({ idFault(it.id),
                   unless(it.minServers <= it.maxServers, "min_servers is above max_servers"),
                   unless(it.regularFloor <= it.maxServers, "regular_floor is above max_servers"),
                   unless(isCost(it.regularCostPerHour) && isCost(it.cheapCostPerHour),
                          "costs have to be 0 or more"),
                   unless(it.kind != PoolKind::Service || isName(it.service),
                          "service has to be named for a pool of kind service") });
}

std::string
why(const PutServer& aChange, const Objects& aObjects)
{
  const auto& it = aChange.server;
  return firstOf(
    { idFault(it.id),
      unless(isAddress(it.address), "address has to be ip:port"),
      unless(it.slots >= 1, "slots has to be 1 or more"),
      unless(it.coldSlots >= 1 && it.coldSlots <= it.slots, "cold_slots has to be 1 to slots"),
      missing("failure domain", it.failureDomain, aObjects.failureDomains),
      missing("pool", it.pool, aObjects.pools) });
}

std::string
why(const WithdrawKey& aChange, const Objects& aObjects)
{
  return missing("key", aChange.key, aObjects.keys);
}

std::string
why(const WithdrawServer& aChange, const Objects& aObjects)
{
  return missing("backend server", aChange.server, aObjects.servers);
}

std::string
why(const TakeOutFailureDomain& aChange, const Objects& aObjects)
{
  return missing("failure domain", aChange.failureDomain, aObjects.failureDomains);
}

std::string
why(const BringBackFailureDomain& aChange, const Objects& aObjects)
{
  return missing("failure domain", aChange.failureDomain, aObjects.failureDomains);
}

std::string
why(const SetServerDraining& aChange, const Objects& aObjects)
{
  return missing("backend server", aChange.server, aObjects.servers);
}

}

std::string
whyInvalid(const Change& aChange, const Objects& aObjects)
{
  return std::visit([&](const auto& aOne) { return why(aOne, aObjects); }, aChange);
}

}
