#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/config/model.hpp"

#include <mustardplank.pb.h>

namespace mustardplank::operators {

// Each checks every field and adds findings with the field's path, for example
// "organisation.weight". The result may be used only if no finding was added. Fields that are
// output only are ignored.

config::Organisation
fromProto(const v1::Organisation& aMessage, Findings& aFindings);

config::RequestClass
fromProto(const v1::RequestClass& aMessage, Findings& aFindings);

config::FailureDomain
fromProto(const v1::FailureDomain& aMessage, Findings& aFindings);

config::Pool
fromProto(const v1::Pool& aMessage, Findings& aFindings);

config::BackendServer
fromProto(const v1::BackendServer& aMessage, Findings& aFindings);

}
