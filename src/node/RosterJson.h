// JSON form of a service's roster as stored in the object `roster/<service>`.
#pragma once

#include "core/Ejection.h"

namespace Gooseberrymill {

std::string rosterToJson(const ServiceRoster&);

// `version` is the store's version of the object, which the text does not contain. Returns ErrorCode::Malformed when
// the text is not a valid roster.
Result<ServiceRoster> rosterFromJson(std::string_view text, uint64_t version);

} // namespace Gooseberrymill
