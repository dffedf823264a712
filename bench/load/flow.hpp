#pragma once

#include <cstdint>
#include <string>

namespace mustardplank::load {

/// Requests of one organisation in one class.
struct Flow
{
  std::string organisation = "none";
  std::string requestClass;
  std::string key;
  /// Open loop: arrivals a second, independent of answers.
  double rate = 0;
  /// Closed loop: each stream sends its next request when the last is answered.
  unsigned streams = 0;
  /// Arrivals are this much more frequent between the two times.
  double burstFactor = 1;
  double burstFromSeconds = 0;
  double burstToSeconds = 0;
  unsigned tokens = 32;
  unsigned promptBytes = 400;
  double targetMillis = 790;

  std::string name() const { return organisation + "." + requestClass; }
};

/// Reads "org=authority,class=urgent,key=k,rate=20,tokens=64"; throws std::invalid_argument.
Flow
parseFlow(const std::string& aText);

}
