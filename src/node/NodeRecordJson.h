// JSON form of a node record on the status page.
#pragma once

#include "core/Membership.h"

#include <nlohmann/json.hpp>

namespace Gooseberrymill {

nlohmann::ordered_json toStatusJson(const NodeRecord&);

} // namespace Gooseberrymill
