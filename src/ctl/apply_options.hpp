#pragma once

#include "command_line.hpp"

#include "mustardplank/base/findings.hpp"

#include <mustardplank.pb.h>

namespace mustardplank::ctl {

// Each changes in the object what the options give, and leaves the rest as it is.

void
applyOptions(const CommandLine& aLine, v1::Organisation& aObject, Findings& aFindings);

void
applyOptions(const CommandLine& aLine, v1::RequestClass& aObject, Findings& aFindings);

void
applyOptions(const CommandLine& aLine, v1::FailureDomain& aObject, Findings& aFindings);

void
applyOptions(const CommandLine& aLine, v1::Pool& aObject, Findings& aFindings);

void
applyOptions(const CommandLine& aLine, v1::BackendServer& aObject, Findings& aFindings);

}
