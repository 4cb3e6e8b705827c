// Embeds the decision core without GLib: compiles a route table and looks a request up.
#include "Gooseberrymill.h"

#include <fmt/format.h>

using namespace Gooseberrymill;

int main()
{
    auto document = std::make_shared<Configuration>();
    Service& service = document->services.emplace_back();
    service.name = "katalog";
    Route& route = service.routes.emplace_back();
    route.name = "browse";
    route.path = "/katalog/*";
    route.repeatable = true;

    RouteTable table({ document });
    auto match = table.match("GET", "/katalog/peacock?size=2");
    if (!match)
        return 1;
    fmt::print("service {} route {}\n", match->service->name, match->route->name);
    return 0;
}
