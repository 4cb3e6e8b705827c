// JSON form of a service's roster, as stored in the object `roster/<service>`.
#pragma once

#include "core/Ejection.h"

namespace Gooseberrymill {

std::string rosterToJson(const ServiceRoster&);

// The version is the store's and not part of the text. Malformed when the text is not a roster.
Result<ServiceRoster> rosterFromJson(std::string_view text, uint64_t version);

} // namespace Gooseberrymill
