#pragma once

#include <string>
#include <vector>

namespace mustardplank::ctl {

/// Text in columns.
///
///     Table table({ "ID", "TIER" });
///     table.add({ "urgent", "0" });
///     table.text(); // "ID      TIER\nurgent  0\n"
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader);

  /// Missing cells at the end are empty. Control characters in a cell are shown as "?", so that a
  /// name cannot move the cursor.
  void add(std::vector<std::string> aCells);
  bool empty() const { return mRows.size() == 1; }
  std::string text() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// aText with control characters replaced by "?".
std::string
printable(std::string aText);

}
