#include "NodeRecordJson.h"

namespace Gooseberrymill {

nlohmann::ordered_json toStatusJson(const NodeRecord& record)
{
    auto upstreams = nlohmann::ordered_json::array();
    for (const UpstreamRecord& it : record.upstreams) {
        upstreams.push_back({ { "name", it.name }, { "service", it.service }, { "slots", it.slots },
            { "state", toString(it.state) }, { "severity", it.severity }, { "share", it.share } });
    }
    return { { "name", record.name }, { "incarnation", toString(record.incarnation) },
        { "status", toString(record.status) }, { "region", record.location.region },
        { "dataCentre", record.location.dataCentre }, { "relay", record.relayAddress }, { "upstreams", upstreams } };
}

} // namespace Gooseberrymill
