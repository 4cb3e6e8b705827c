// Derives the outcome that a refusal reports: whether the refused request, or the operation that it names, was run.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

// What the refusing executor knows about the request.
struct RefusalContext {
    RefusalReason reason = RefusalReason::None;
    bool dispatched = false; // the refused request may have reached an upstream
    bool namesOperation = false; // the request carries an idempotency key or an operation token
    bool operationKnown = false; // the refusing executor holds the claim or issued the token
};

// Returns true if the request itself is invalid: no executor runs it, so no earlier request with the same content can
// have run either.
inline bool isRequestFault(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::NoRoute:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::KeyReused:
        return true;
    default:
        return false;
    }
}

// Outcome to report with a refusal. An earlier request of the same operation may have run at another executor, so only
// an executor that knows the operation can report that it was not run.
inline Outcome outcomeOf(const RefusalContext& context)
{
    if (context.dispatched)
        return Outcome::Unknown;
    bool isCertain = !context.namesOperation || context.operationKnown || isRequestFault(context.reason);
    return isCertain ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace Gooseberrymill
