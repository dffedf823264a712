#pragma once

#include "duties.hpp"
#include "log_follower.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/operator/events.hpp"
#include "mustardplank/peer/membership.hpp"
#include "mustardplank/settings/settings.hpp"
#include "pool_directory.hpp"

namespace mustardplank::daemon {

struct StatusSources
{
  const settings::Settings& settings;
  const config::Store& store;
  const LogFollower& follower;
  const peer::Membership& membership;
  const PoolDirectory& pools;
  const Duties& duties;
};

/// What this instance knows of itself, its pools and its peers.
operators::StatusReport
makeStatus(const StatusSources& aSources, TimePoint aNow);

}
