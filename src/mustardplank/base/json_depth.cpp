#include "mustardplank/base/json_depth.hpp"

#include <cstddef>

namespace mustardplank {

bool
isDeeperThan(std::string_view aJson, int aMaxDepth)
{
  int depth = 0;
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
    if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      if (++depth > aMaxDepth) {
        return true;
      }
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

}
