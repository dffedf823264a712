#pragma once

#include "mustardplank/dispatch/stream_origins.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::dispatch {

/// What one instance knows of a stream that a caller takes up.
struct OriginReply
{
  /// Nothing if the instance does not remember the stream.
  std::optional<StreamOrigin> origin;
  /// Whether versions names all that may have begun the stream: those of every server that was
  /// registered before the stream was taken up.
  bool isComplete = false;
  /// Versions of the service that the instance has seen in service.
  std::set<std::string> versions;

  bool operator==(const OriginReply&) const = default;
};

/// All versions that any of the replies names.
std::set<std::string>
versionsOf(const std::vector<OriginReply>& aReplies);

/// The origin of a stream of the service, from what instances know of it: the one that they
/// remember, or the only version that has served. Nothing if they contradict each other, or if more
/// than one version may have begun the stream.
std::optional<StreamOrigin>
decideOrigin(const route::ServiceId& aService, const std::vector<OriginReply>& aReplies);

}
