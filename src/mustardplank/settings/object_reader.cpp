#include "object_reader.hpp"

#include "mustardplank/settings/nearest_name.hpp"
#include "mustardplank/settings/parse.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mustardplank::settings {

namespace {

std::string_view
typeName(JsonNode::Type aType)
{
  switch (aType) {
    case JsonNode::Type::Null:
      return "null";
    case JsonNode::Type::Boolean:
      return "true or false";
    case JsonNode::Type::Integer:
      return "a whole number";
    case JsonNode::Type::Float:
      return "a number with a fraction or exponent";
    case JsonNode::Type::String:
      return "a string";
    case JsonNode::Type::Array:
      return "an array";
    case JsonNode::Type::Object:
      return "an object";
  }
  return "?";
}

std::string
quoted(std::string_view aText)
{
  return "\"" + std::string(aText) + "\"";
}

}

ObjectReader::ObjectReader(const JsonNode& aNode,
                           std::string_view aFileName,
                           std::string aPath,
                           Findings& aFindings)
  : mNode(aNode)
  , mFileName(aFileName)
  , mPath(std::move(aPath))
  , mFindings(aFindings)
{
  reportDuplicates();
}

void
ObjectReader::string(std::string_view aKey, std::string& aValue, Presence aPresence)
{
  if (const auto* node = find(aKey, JsonNode::Type::String, "a string", aPresence)) {
    aValue = node->text;
  }
}

void
ObjectReader::name(std::string_view aKey, std::string& aValue)
{
  const auto* node = find(aKey, JsonNode::Type::String, "a string", Presence::Required);
  if (node == nullptr) {
    return;
  }
  const auto isPrintable = [](unsigned char aChar) { return aChar > ' ' && aChar != 0x7f; };
  if (node->text.empty() || !std::all_of(node->text.begin(), node->text.end(), isPrintable)) {
    report(aKey, "is empty or has spaces or control characters; give a name without them");
    return;
  }
  aValue = node->text;
}

void
ObjectReader::boolean(std::string_view aKey, bool& aValue)
{
  if (const auto* node = find(aKey, JsonNode::Type::Boolean, "true or false", Presence::Optional)) {
    aValue = node->boolean;
  }
}

void
ObjectReader::number(std::string_view aKey,
                     std::int64_t& aValue,
                     std::int64_t aMin,
                     std::int64_t aMax)
{
  const auto* node = find(aKey, JsonNode::Type::Integer, "a whole number", Presence::Optional);
  if (node == nullptr) {
    return;
  }
  if (node->integer < aMin || node->integer > aMax) {
    report(aKey,
           std::to_string(node->integer) + " is out of range; give a number from " +
             std::to_string(aMin) + " to " + std::to_string(aMax));
    return;
  }
  aValue = node->integer;
}

void
ObjectReader::millis(std::string_view aKey, Duration& aValue, Millis aMin, Millis aMax)
{
  std::int64_t value = duration_cast<Millis>(aValue).count();
  number(aKey, value, aMin.count(), aMax.count());
  aValue = Millis(value);
}

void
ObjectReader::real(std::string_view aKey, double& aValue, double aMin, double aMax)
{
  const auto hasKey = [&](const auto& aMember) { return aMember.key == aKey; };
  const auto it = std::find_if(mNode.members.begin(), mNode.members.end(), hasKey);
  const bool whole = it != mNode.members.end() && it->value.type == JsonNode::Type::Integer;
  const auto* node = find(
    aKey, whole ? JsonNode::Type::Integer : JsonNode::Type::Float, "a number", Presence::Optional);
  if (node == nullptr) {
    return;
  }
  const double value = whole ? static_cast<double>(node->integer) : node->real;
  if (!(value >= aMin && value <= aMax)) {
    report(aKey,
           "is out of range; give a number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
    return;
  }
  aValue = value;
}

void
ObjectReader::seconds(std::string_view aKey, Duration& aValue, double aMin, double aMax)
{
  double value = toMillis(aValue) / 1000.0;
  real(aKey, value, aMin, aMax);
  aValue = Duration(static_cast<std::int64_t>(value * 1e6));
}

void
ObjectReader::optionalAddress(std::string_view aKey, std::optional<Address>& aValue)
{
  const auto* node =
    find(aKey, JsonNode::Type::String, "an \"ip:port\" string", Presence::Optional);
  if (node != nullptr) {
    readAddress(aKey, *node, aValue.emplace());
  }
}

void
ObjectReader::address(std::string_view aKey, Address& aValue)
{
  const auto* node =
    find(aKey, JsonNode::Type::String, "an \"ip:port\" string", Presence::Required);
  if (node != nullptr) {
    readAddress(aKey, *node, aValue);
  }
}

void
ObjectReader::readAddress(std::string_view aKey, const JsonNode& aNode, Address& aValue)
{
  if (const auto address = parseAddress(aNode.text)) {
    aValue = *address;
    return;
  }
  report(aKey,
         quoted(aNode.text) + " is no address; give an IPv4 number and a port from 1 to 65535, for "
                              "example \"127.0.0.1:8080\" (names are not resolved)");
}

std::string
ObjectReader::oneOf(std::string_view aKey, const std::vector<std::string_view>& aNames)
{
  const auto* node = find(aKey, JsonNode::Type::String, "a string", Presence::Optional);
  if (node == nullptr) {
    return {};
  }
  if (std::find(aNames.begin(), aNames.end(), node->text) != aNames.end()) {
    return node->text;
  }
  std::string list;
  for (const auto name : aNames) {
    list += (list.empty() ? "" : ", ") + quoted(name);
  }
  report(aKey, quoted(node->text) + " is unknown; give one of " + list);
  return {};
}

const JsonNode*
ObjectReader::object(std::string_view aKey, Presence aPresence)
{
  return find(aKey, JsonNode::Type::Object, "an object", aPresence);
}

const JsonNode*
ObjectReader::array(std::string_view aKey, Presence aPresence)
{
  return find(aKey, JsonNode::Type::Array, "an array", aPresence);
}

void
ObjectReader::report(std::string_view aKey, std::string aMessage)
{
  const auto hasKey = [&](const auto& aMember) { return aMember.key == aKey; };
  const auto it = std::find_if(mNode.members.begin(), mNode.members.end(), hasKey);
  const auto line = it == mNode.members.end() ? mNode.line : it->value.line;
  mFindings.add(place(line, aKey), std::move(aMessage));
}

void
ObjectReader::finish()
{
  for (const auto& it : mNode.members) {
    if (std::find(mKnown.begin(), mKnown.end(), it.key) != mKnown.end()) {
      continue;
    }
    const auto nearest = nearestName(it.key, mKnown);
    mFindings.add(place(it.line, it.key),
                  nearest.empty() ? "unknown key; remove it"
                                  : "unknown key; did you mean " + quoted(nearest) + "?");
  }
}

const JsonNode*
ObjectReader::find(std::string_view aKey,
                   JsonNode::Type aType,
                   std::string_view aExpected,
                   Presence aPresence)
{
  mKnown.push_back(aKey);
  const auto hasKey = [&](const auto& aMember) { return aMember.key == aKey; };
  const auto it = std::find_if(mNode.members.begin(), mNode.members.end(), hasKey);
  if (it == mNode.members.end()) {
    if (aPresence == Presence::Required) {
      mFindings.add(place(mNode.line, aKey),
                    "missing; add " + quoted(aKey) + " with " + std::string(aExpected));
    }
    return nullptr;
  }
  if (it->value.type == JsonNode::Type::Null && aPresence == Presence::Optional) {
    return nullptr;
  }
  if (it->value.type != aType) {
    report(aKey,
           "is " + std::string(typeName(it->value.type)) + "; give " + std::string(aExpected));
    return nullptr;
  }
  return &it->value;
}

std::string
ObjectReader::place(std::size_t aLine, std::string_view aKey) const
{
  std::string text = std::string(mFileName) + ":" + std::to_string(aLine) + " " + mPath;
  if (!mPath.empty() && !aKey.empty()) {
    text += ".";
  }
  return text + std::string(aKey);
}

void
ObjectReader::reportDuplicates()
{
  std::set<std::string_view> seen;
  for (const auto& it : mNode.members) {
    if (!seen.insert(it.key).second) {
      mFindings.add(place(it.line, it.key), "given twice; remove one of them");
    }
  }
}

}
