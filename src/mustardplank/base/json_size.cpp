#include "mustardplank/base/json_size.hpp"

namespace mustardplank {

bool
hasMoreValuesThan(std::string_view aJson, std::size_t aMaxValues)
{
  std::size_t n = 1;
  bool inString = false;
  for (std::size_t i = 0; i < aJson.size(); ++i) {
    const char c = aJson[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
      continue;
    }
    inString = c == '"';
    if (c == '{' || c == '[' || c == ',' || c == ':') {
      ++n;
      if (n > aMaxValues) {
        return true;
      }
    }
  }
  return n > aMaxValues;
}

}
