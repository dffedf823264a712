#pragma once

#include "mustardplank/base/name_table.hpp"

namespace mustardplank::gateway {

/// How a response shows where its body ends (RFC 9112, 6.3).
enum class BodyFraming
{
  NoBody,
  Length,
  Chunked,
  /// The body ends with the connection, so that only its content tells whether it is complete.
  ConnectionClose,
};

inline constexpr NameTable<BodyFraming, 4> kBodyFramingNames{ { {
  { BodyFraming::NoBody, "no_body" },
  { BodyFraming::Length, "length" },
  { BodyFraming::Chunked, "chunked" },
  { BodyFraming::ConnectionClose, "connection_close" },
} } };

}
