#pragma once

#include "backend_pool.hpp"

#include "mustardplank/dispatch/caller_retry_detector.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/gateway/types.hpp"

#include <random>
#include <set>
#include <unordered_map>

namespace mustardplank::gateway {

class CallerLink;
class Exchange;

/// What the connections and exchanges of one gateway share.
struct Context
{
  Context(boost::asio::io_context& aIo,
          GatewayOptions aOptions,
          const Dialect& aDialect,
          dispatch::Dispatcher& aDispatcher,
          AlarmQueue& aAlarms,
          metrics::Metrics& aMetrics,
          GatewayOutputs aOutputs)
    : io(aIo)
    , options(std::move(aOptions))
    , dialect(aDialect)
    , dispatcher(aDispatcher)
    , alarms(aAlarms)
    , metrics(aMetrics)
    , outputs(std::move(aOutputs))
    , pool(aIo)
  {
  }

  /// Carries out decisions. Exchanges end and begin meanwhile.
  void run(dispatch::Effects& aEffects);

  boost::asio::io_context& io;
  GatewayOptions options;
  const Dialect& dialect;
  dispatch::Dispatcher& dispatcher;
  AlarmQueue& alarms;
  metrics::Metrics& metrics;
  GatewayOutputs outputs;
  BackendPool pool;
  route::RouteTablePtr table;
  bool draining = false;
  /// Whether further requests are taken.
  bool taking = true;
  std::size_t connections = 0;
  std::set<CallerLink*> callers;
  dispatch::JobId lastJob = 0;
  dispatch::CallerRetryDetector callerRetries;
  std::unordered_map<dispatch::JobId, Exchange*> exchanges;
  std::minstd_rand random{ std::random_device{}() };
};

}
