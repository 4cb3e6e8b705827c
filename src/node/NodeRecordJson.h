// A node as the status page shows it.
#pragma once

#include "core/Membership.h"

#include <nlohmann/json.hpp>

namespace Gooseberrymill {

nlohmann::ordered_json toStatusJson(const NodeRecord&);

} // namespace Gooseberrymill
