#pragma once

#include <cstdlib>
#include <fstream>
#include <string>

namespace mustardplank::support {

/// Memory that a process has in use, in MB; 0 if it has ended.
inline double
residentMb(int aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::strtod(line.c_str() + 6, nullptr) * 1024 / 1e6;
    }
  }
  return 0.0;
}

}
