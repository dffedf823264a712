#include "flow.hpp"

#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>

namespace mustardplank::load {

Flow
parseFlow(const std::string& aText)
{
  Flow flow;
  const auto count = [](unsigned& aTo) {
    return [&aTo](const std::string& aValue) { aTo = static_cast<unsigned>(std::stoul(aValue)); };
  };
  const auto number = [](double& aTo) {
    return [&aTo](const std::string& aValue) { aTo = std::stod(aValue); };
  };
  const auto text = [](std::string& aTo) {
    return [&aTo](const std::string& aValue) { aTo = aValue; };
  };
  const std::map<std::string, std::function<void(const std::string&)>> fields = {
    { "org", text(flow.organisation) },
    { "class", text(flow.requestClass) },
    { "key", text(flow.key) },
    { "rate", number(flow.rate) },
    { "streams", count(flow.streams) },
    { "burst", number(flow.burstFactor) },
    { "burst_from", number(flow.burstFromSeconds) },
    { "burst_to", number(flow.burstToSeconds) },
    { "tokens", count(flow.tokens) },
    { "prompt", count(flow.promptBytes) },
    { "target_ms", number(flow.targetMillis) },
  };
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, ',');) {
    const auto equals = part.find('=');
    const auto field = fields.find(part.substr(0, equals));
    if (equals == std::string::npos || field == fields.end()) {
      throw std::invalid_argument("unknown part of --flow: " + part);
    }
    field->second(part.substr(equals + 1));
  }
  return flow;
}

}
