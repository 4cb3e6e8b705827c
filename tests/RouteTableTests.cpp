#define BOOST_TEST_MODULE RouteTable
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

Route makeRoute(std::string name, std::string path, std::vector<std::string> methods = {})
{
    Route route;
    route.name = std::move(name);
    route.path = std::move(path);
    route.methods = std::move(methods);
    return route;
}

RouteTable makeTable(std::vector<Route> routes)
{
    auto document = std::make_shared<Configuration>();
    Service& service = document->services.emplace_back();
    service.name = "katalog";
    service.routes = std::move(routes);
    return RouteTable({ document });
}

std::string routeName(const RouteTable& table, std::string_view method, std::string_view target)
{
    auto match = table.match(method, target);
    return match ? match->route->name : "";
}

} // namespace

// Guards against matching a general route when a more specific one exists.
BOOST_AUTO_TEST_CASE(picksMostSpecificRoute)
{
    RouteTable table = makeTable({ makeRoute("all", "/*"), makeRoute("frames", "/frames/*"),
        makeRoute("peacock", "/frames/peacock"), makeRoute("deep", "/frames/birds/*") });
    BOOST_TEST(routeName(table, "GET", "/frames/peacock") == "peacock");
    BOOST_TEST(routeName(table, "GET", "/frames/peacock?x=/frames/birds/") == "peacock");
    BOOST_TEST(routeName(table, "GET", "/frames/peacocks") == "frames");
    BOOST_TEST(routeName(table, "GET", "/frames/birds/owl") == "deep");
    BOOST_TEST(routeName(table, "GET", "/frames") == "all");
    BOOST_TEST(routeName(table, "GET", "/") == "all");
}

// Guards against matching a route that does not allow the method.
BOOST_AUTO_TEST_CASE(fallsBackWhenMethodDiffers)
{
    RouteTable table
        = makeTable({ makeRoute("read", "/orders/*", { "GET" }), makeRoute("write", "/orders/*", { "POST" }) });
    BOOST_TEST(routeName(table, "GET", "/orders/1") == "read");
    BOOST_TEST(routeName(table, "POST", "/orders/1") == "write");
    BOOST_TEST(routeName(table, "PUT", "/orders/1") == "");
}

// Guards against a document that hides the services of another one.
BOOST_AUTO_TEST_CASE(findsServicesOfAllDocuments)
{
    auto first = std::make_shared<Configuration>();
    first->services.emplace_back().name = "sello";
    auto second = std::make_shared<Configuration>();
    second->services.emplace_back().name = "archivo";
    RouteTable table({ first, second });
    BOOST_REQUIRE(table.service("sello"));
    BOOST_REQUIRE(table.service("archivo"));
    BOOST_TEST(!table.service("banco"));
}

// Guards against matching a route of another host, which sends the request to the wrong service.
BOOST_AUTO_TEST_CASE(separatesRoutesByHost)
{
    Route shop = makeRoute("shop", "/a/*");
    shop.host = "shop.example";
    Route deep = makeRoute("deep", "/a/b/*");
    deep.host = "other.example";
    RouteTable table = makeTable({ shop, deep, makeRoute("any", "/*") });
    auto nameOf = [&](std::string_view target, std::string_view host) {
        auto match = table.match("GET", target, host);
        return match ? match->route->name : "";
    };
    BOOST_TEST(nameOf("/a/b/c", "shop.example") == "shop");
    BOOST_TEST(nameOf("/a/b/c", "OTHER.example:8080") == "deep");
    BOOST_TEST(nameOf("/a/b/c", "unknown.example") == "any");
    BOOST_TEST(nameOf("/a/b/c", "") == "any");
}

// Guards against a traffic split that differs from the weights, and against an executor that gets requests of a split
// but has no route for them.
BOOST_AUTO_TEST_CASE(sharesRequestsByWeight)
{
    auto document = std::make_shared<Configuration>();
    for (const char* name : { "first", "second" })
        document->services.emplace_back().name = name;
    Route split = makeRoute("split", "/s/*");
    split.split = { { "first", 90 }, { "second", 10 } };
    document->services[0].routes = { split };
    addSplitTargets(*document);
    RouteTable table({ document });
    auto match = table.match("GET", "/s/1");
    BOOST_REQUIRE(match);
    size_t second = 0;
    for (uint64_t draw = 0; draw < 1000; ++draw) {
        RouteTable::Match drawn = table.drawSplit(*match, draw);
        BOOST_REQUIRE(drawn.route->name == "split");
        second += drawn.service->name == "second";
    }
    BOOST_TEST(second == 100U);
}
