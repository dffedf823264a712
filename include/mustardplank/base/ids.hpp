#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace mustardplank {

/// A string that names one kind of thing, so that a pool's name is not passed where an
/// organisation's is expected.
///
///     OrganisationId organisation{"authority"};
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& str() const { return mValue; }
  bool empty() const { return mValue.empty(); }
  auto operator<=>(const Id&) const = default;

private:
  std::string mValue;
};

/// One running daemon, by the name that the platform gives it.
using InstanceId = Id<struct InstanceTag>;
/// A part of the deployment that fails as one (the usual term is availability zone).
using FailureDomainId = Id<struct FailureDomainTag>;
/// A customer whose callers share keys, limits and bills (the usual term is tenant).
using OrganisationId = Id<struct OrganisationTag>;
/// An engine or plain service that executes requests (the usual term is upstream).
using BackendServerId = Id<struct BackendServerTag>;
using PoolId = Id<struct PoolTag>;
using ClassId = Id<struct ClassTag>;
using ModelId = Id<struct ModelTag>;
using KeyId = Id<struct KeyTag>;
using RequestId = Id<struct RequestTag>;
using OperationId = Id<struct OperationTag>;

}

template<typename Tag>
struct std::hash<mustardplank::Id<Tag>>
{
  std::size_t operator()(const mustardplank::Id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.str());
  }
};
