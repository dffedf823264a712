#pragma once

#include "mustardplank/config/builder.hpp"
#include "mustardplank/config/change.hpp"
#include "mustardplank/config/snapshot.hpp"

namespace mustardplank::config {

/// Makes the change if it is valid and the object's revision is the expected one. aRevision becomes
/// the object's revision. Repeats are not recognised here.
OperationResult
applyChange(const ChangeRecord& aRecord,
            Revision aRevision,
            bool aCheckExpected,
            Builder& aBuilder);

/// Puts a withdrawal in force on the objects it names; does nothing if there are none. Revisions
/// stay.
void
overlayWithdrawal(const Change& aChange, Objects& aObjects);

/// Whether the withdrawal would change anything.
bool
changesAnything(const Change& aWithdrawal, const Objects& aObjects);

}
