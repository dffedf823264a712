#include "table.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::ctl {

namespace {

constexpr std::size_t kColumnGap = 2;

/// Number of characters of UTF-8 text.
std::size_t
width(const std::string& aText)
{
  const auto startsCharacter = [](unsigned char aByte) { return (aByte & 0xc0) != 0x80; };
  return static_cast<std::size_t>(std::count_if(aText.begin(), aText.end(), startsCharacter));
}

}

std::string
printable(std::string aText)
{
  for (char& it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    if (byte < ' ' || byte == 0x7f) {
      it = '?';
    }
  }
  return aText;
}

Table::Table(std::vector<std::string> aHeader)
{
  mRows.push_back(std::move(aHeader));
}

void
Table::add(std::vector<std::string> aCells)
{
  aCells.resize(mRows.front().size());
  for (auto& it : aCells) {
    it = printable(std::move(it));
  }
  mRows.push_back(std::move(aCells));
}

std::string
Table::text() const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], width(row[i]));
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + kColumnGap - width(row[i]), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}
