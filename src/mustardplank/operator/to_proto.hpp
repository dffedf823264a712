#pragma once

#include "mustardplank/config/model.hpp"
#include "mustardplank/operator/events.hpp"

#include <mustardplank.pb.h>

namespace mustardplank::operators {

void
toProto(const config::Organisation& aObject, v1::Organisation& aMessage);

void
toProto(const config::CallerKey& aObject, v1::CallerKey& aMessage);

void
toProto(const config::RequestClass& aObject, v1::RequestClass& aMessage);

void
toProto(const config::FailureDomain& aObject, v1::FailureDomain& aMessage);

void
toProto(const config::Pool& aObject, v1::Pool& aMessage);

void
toProto(const config::BackendServer& aObject, v1::BackendServer& aMessage);

void
toProto(const Problem& aProblem, v1::Problem& aMessage);

void
toProto(const StatusReport& aReport, v1::StatusReport& aMessage);

}
