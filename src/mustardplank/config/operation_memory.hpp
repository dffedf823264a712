#pragma once

#include "mustardplank/config/snapshot.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace mustardplank::config {

/// The latest operations of the log with what they led to. Which ones it holds is a function of the
/// log prefix, as outcomes depend on it.
class OperationMemory
{
public:
  explicit OperationMemory(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  const OperationResult* find(const OperationId& aOperation) const
  {
    const auto it = mByOperation.find(aOperation);
    return it == mByOperation.end() ? nullptr : &it->second;
  }

  void add(const OperationResult& aResult)
  {
    if (!mByOperation.emplace(aResult.operation, aResult).second) {
      return;
    }
    mOrder.push_back(aResult.operation);
    if (mOrder.size() > mLimit) {
      mByOperation.erase(mOrder.front());
      mOrder.pop_front();
    }
  }

  std::vector<OperationResult> list() const
  {
    std::vector<OperationResult> all;
    all.reserve(mOrder.size());
    for (const auto& it : mOrder) {
      all.push_back(mByOperation.at(it));
    }
    return all;
  }

  void clear()
  {
    mOrder.clear();
    mByOperation.clear();
  }

private:
  std::size_t mLimit;
  std::deque<OperationId> mOrder;
  std::unordered_map<OperationId, OperationResult> mByOperation;
};

}
