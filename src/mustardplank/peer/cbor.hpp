#pragma once

#include <nlohmann/json.hpp>

namespace mustardplank::peer {

/// Reads one CBOR value that fills aInput; a discarded value when it does not. The library throws
/// for an excessive length even when it is asked not to.
template<typename Input>
nlohmann::json
parseCbor(const Input& aInput)
{
  constexpr bool kWholeInput = true;
  constexpr bool kThrow = false;
  try {
    return nlohmann::json::from_cbor(aInput, kWholeInput, kThrow);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}
