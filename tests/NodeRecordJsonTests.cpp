// Node records as they lie in the object store, beside entries of other kinds and of other writers.
#define BOOST_TEST_MODULE NodeRecordJson
#include "node/DepartureJson.h"
#include "node/NodeRecordJson.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

NodeRecord makeRecord()
{
    NodeRecord record;
    record.name = "sidecar-ipoh-1";
    record.incarnation = { 1, 2 };
    record.startedAt = 1000;
    record.relayAddress = "10.0.0.1:7600";
    record.location = { "semenanjung-utara", "ipoh" };
    return record;
}

StoredObject objectWith(std::string value)
{
    return { "nodes-semenanjung-utara", "sidecar-ipoh-1", 3, std::move(value) };
}

} // namespace

// Guards against a node that others can't reach because a field of its record is lost.
BOOST_AUTO_TEST_CASE(recordIsReadAsItWasWritten)
{
    auto record = parseNodeRecord(objectWith(toJson(makeRecord())));
    BOOST_TEST_REQUIRE(record.has_value());
    BOOST_TEST((*record == makeRecord()));
}

// Guards against a fleet that takes the departures of a node for a node, as those of an earlier release read the list
// too.
BOOST_AUTO_TEST_CASE(departuresAreNoRecord)
{
    BOOST_TEST(!parseNodeRecord(objectWith(toJson(DepartureObject { { { "i-1", 1000 } }, {} }))));
    BOOST_TEST(!parseDepartureObject(toJson(makeRecord())));
}

// Guards against an entry of another writer that ends the process.
RC_BOOST_PROP(damagedRecordsAreReadOrIgnored, (const std::string& junk))
{
    std::string text = toJson(makeRecord());
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), junk);
    auto record = parseNodeRecord(objectWith(text));
    if (record)
        RC_ASSERT(!record->relayAddress.empty());
}
