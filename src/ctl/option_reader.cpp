#include "option_reader.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace mustardplank::ctl {

namespace {

template<typename T>
std::optional<T>
parse(const std::string& aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto [parsed, ec] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || ec != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return value;
}

}

OptionReader::OptionReader(const CommandLine& aLine, Findings& aFindings)
  : mLine(aLine)
  , mFindings(aFindings)
{
}

void
OptionReader::text(std::string_view aName, const std::function<void(const std::string&)>& aSet)
{
  if (mLine.has(aName)) {
    aSet(mLine.value(aName));
  }
}

void
OptionReader::number(std::string_view aName, const std::function<void(double)>& aSet)
{
  text(aName, [&](const std::string& aText) {
    if (const auto value = parse<double>(aText)) {
      aSet(*value);
    } else {
      report(aName, "\"" + aText + "\" is no number, for example 1.5");
    }
  });
}

void
OptionReader::integer(std::string_view aName, const std::function<void(std::uint32_t)>& aSet)
{
  text(aName, [&](const std::string& aText) {
    if (const auto value = parse<std::uint32_t>(aText)) {
      aSet(*value);
    } else {
      report(aName, "\"" + aText + "\" is no whole number from 0 to 4294967295");
    }
  });
}

void
OptionReader::revision(std::string_view aName, const std::function<void(std::uint64_t)>& aSet)
{
  text(aName, [&](const std::string& aText) {
    if (const auto value = parse<std::uint64_t>(aText)) {
      aSet(*value);
    } else {
      report(aName, "\"" + aText + "\" is no revision; the list commands show revisions");
    }
  });
}

void
OptionReader::yesNo(std::string_view aName, const std::function<void(bool)>& aSet)
{
  choice(aName, { "no", "yes" }, [&](std::size_t aIndex) { aSet(aIndex == 1); });
}

void
OptionReader::choice(std::string_view aName,
                     const std::vector<std::string_view>& aNames,
                     const std::function<void(std::size_t)>& aSet)
{
  text(aName, [&](const std::string& aText) {
    const auto it = std::find(aNames.begin(), aNames.end(), aText);
    if (it != aNames.end()) {
      aSet(static_cast<std::size_t>(it - aNames.begin()));
      return;
    }
    std::string names;
    for (const auto name : aNames) {
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    report(aName, "\"" + aText + "\" is none of " + names);
  });
}

void
OptionReader::single(std::string_view aName, const std::function<void(const std::string&)>& aSet)
{
  list(aName, [&](const std::vector<std::string>& aValues) {
    if (aValues.size() == 1) {
      aSet(aValues.front());
    } else {
      report(aName, "give exactly one value here");
    }
  });
}

void
OptionReader::list(std::string_view aName,
                   const std::function<void(const std::vector<std::string>&)>& aSet)
{
  const auto it = mLine.options.find(aName);
  if (it == mLine.options.end()) {
    return;
  }
  const bool isEmptyList = it->second.size() == 1 && it->second.front().empty();
  aSet(isEmptyList ? std::vector<std::string>() : it->second);
}

void
OptionReader::report(std::string_view aName, const std::string& aMessage)
{
  mFindings.add("--" + std::string(aName), aMessage);
}

}
