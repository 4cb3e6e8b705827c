// Outcome that a refusal states about the request or the operation that it names. No I/O.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct RefusalContext {
    RefusalReason reason = RefusalReason::None;
    bool dispatched = false; // the refused request may have reached an upstream
    bool namesOperation = false; // by a key or a token
    bool operationKnown = false; // the refusing executor holds the claim or issued the token
};

// The request itself is at fault, so no executor runs it and no earlier request with this content can have run.
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

// An earlier request of the same operation may have run at another executor, so only an executor that knows the
// operation can say that it was not run.
inline Outcome outcomeOf(const RefusalContext& context)
{
    if (context.dispatched)
        return Outcome::Unknown;
    bool isCertain = !context.namesOperation || context.operationKnown || isRequestFault(context.reason);
    return isCertain ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace Gooseberrymill
