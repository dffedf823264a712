#include "mustardplank/base/findings.hpp"

#include <utility>

namespace mustardplank {

void
Findings::add(std::string aPlace, std::string aMessage)
{
  mItems.push_back({ std::move(aPlace), std::move(aMessage) });
}

std::string
Findings::text() const
{
  std::string text;
  for (const auto& it : mItems) {
    text += it.place + ": " + it.message + "\n";
  }
  return text;
}

}
