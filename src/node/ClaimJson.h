// JSON form of the store object `claims/<name>`.
#pragma once

#include "core/ClaimLedger.h"

namespace Gooseberrymill {

std::string toJson(const ClaimBucket&);

// `name` and `version` are those of the store object. Fails with Malformed if the text is not a claim bucket.
Result<ClaimBucket> parseClaimBucket(std::string_view name, uint64_t version, std::string_view json);

} // namespace Gooseberrymill
