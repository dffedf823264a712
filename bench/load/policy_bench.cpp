#include "benches.hpp"

#include <stdexcept>

namespace mustardplank::load {

void
benchPolicy()
{
  throw std::runtime_error("not written yet");
}

}
