#include "mustardplank/fleet/model_placement.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::fleet;

namespace {

const ModelId kSmall{ "small" };
const ModelId kLarge{ "large" };

struct Fixture
{
  explicit Fixture(ModelPlacementOptions aOptions = {})
    : placement(aOptions)
  {
  }

  void servers(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      list.push_back({ BackendServerId("b" + std::to_string(i)), {}, 1, 0, false });
    }
  }

  /// Decides once a second; orders take effect after one second.
  std::size_t pass(int aSeconds, const std::map<ModelId, double>& aDemand)
  {
    std::size_t loads = 0;
    for (int i = 0; i < aSeconds; ++i) {
      now += Seconds(1);
      for (const auto& it : placement.decide(list, aDemand, now)) {
        apply(it);
        loads += it.action == ModelAction::Load ? 1 : 0;
      }
    }
    return loads;
  }

  void apply(const ModelOrder& aOrder)
  {
    for (auto& it : list) {
      if (it.id != aOrder.server) {
        continue;
      }
      if (aOrder.action == ModelAction::Load) {
        it.loaded.push_back(aOrder.model);
        BOOST_TEST(it.loaded.size() <= it.room);
      } else {
        std::erase(it.loaded, aOrder.model);
      }
    }
  }

  int count(const ModelId& aModel) const
  {
    int n = 0;
    for (const auto& it : list) {
      n += static_cast<int>(std::count(it.loaded.begin(), it.loaded.end(), aModel));
    }
    return n;
  }

  TimePoint now{ Seconds(1000) };
  std::vector<ModelServer> list;
  ModelPlacement placement;
};

}

BOOST_FIXTURE_TEST_SUITE(modelPlacement, Fixture)

// Guards against a model with much work on few servers, and against a model without any.
BOOST_AUTO_TEST_CASE(serversFollowDemand)
{
  servers(8);
  pass(120, { { kSmall, 3.0 }, { kLarge, 1.0 } });
  BOOST_TEST(count(kSmall) == 5);
  BOOST_TEST(count(kLarge) >= 2);
  pass(600, { { kSmall, 0.0 }, { kLarge, 1.0 } });
  BOOST_TEST(count(kSmall) >= 1);
  BOOST_TEST(count(kLarge) >= 6);
}

// Guards against exceeding the weight store's rate.
BOOST_AUTO_TEST_CASE(rateIsKept)
{
  servers(40);
  // At 0.2 loads a second, with one to start with.
  BOOST_TEST(pass(50, { { kSmall, 1.0 } }) <= 11U);
}

// Guards against moving models to and fro for short bursts.
BOOST_AUTO_TEST_CASE(shortBurstMovesNothing)
{
  servers(4);
  pass(120, { { kSmall, 1.0 }, { kLarge, 1.0 } });
  BOOST_TEST(pass(3, { { kSmall, 3.0 }, { kLarge, 1.0 } }) == 0U);
}

// Guards against a model that is unloaded from the last server that holds it.
BOOST_AUTO_TEST_CASE(lastReplicaStays)
{
  servers(2);
  pass(60, { { kSmall, 1.0 }, { kLarge, 1.0 } });
  pass(600, { { kSmall, 0.0 }, { kLarge, 9.0 } });
  BOOST_TEST(count(kSmall) == 1);
  BOOST_TEST(count(kLarge) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
