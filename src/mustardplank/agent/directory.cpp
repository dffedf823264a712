#include "mustardplank/agent/directory.hpp"

#include "mustardplank/base/cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>

namespace mustardplank::agent {

using nlohmann::json;

bool
Directory::names(const FailureDomainId& aDomain, const std::string& aAddress) const
{
  const auto it = domains.find(aDomain);
  return it != domains.end() &&
         std::any_of(it->second.begin(), it->second.end(), [&](const auto& aAgent) {
           return aAgent.address == aAddress;
         });
}

std::string
encodeAgents(const AgentList& aAgents)
{
  auto list = json::array();
  for (const auto& it : aAgents) {
    list.push_back(json::array({ it.instance.str(), it.address }));
  }
  std::string bytes;
  json::to_cbor(list, bytes);
  return bytes;
}

std::optional<AgentList>
decodeAgents(const std::string& aBytes, Findings& aFindings)
{
  try {
    const auto list = decodeCbor(aBytes);
    if (!list.is_array()) {
      aFindings.add("agents", "is not a CBOR array");
      return std::nullopt;
    }
    AgentList agents;
    for (const auto& it : list) {
      agents.push_back({ InstanceId(it.at(0).get<std::string>()), it.at(1).get<std::string>() });
    }
    return agents;
  } catch (const std::exception& aError) {
    aFindings.add("agents", aError.what());
    return std::nullopt;
  }
}

Directory
makeDirectory(const control::NewestPage& aPage, Findings& aFindings)
{
  Directory directory;
  directory.logEnd = aPage.logEnd;
  for (const auto& it : aPage.records) {
    if (!it.value) {
      continue;
    }
    if (auto agents = decodeAgents(*it.value, aFindings)) {
      directory.domains[FailureDomainId(it.key)] = std::move(*agents);
    }
  }
  return directory;
}

}
