#include "Configuration.h"

#include <algorithm>
#include <tuple>

namespace Gooseberrymill {

namespace {

bool allowsMethod(const Route& route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

// Returns the host name in lower case and without its port, since host names are case-insensitive.
std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::ranges::transform(
        name, name.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return name;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace

RouteTable::RouteTable(std::vector<std::shared_ptr<const Configuration>> documents)
    : m_documents(std::move(documents))
{
    for (const auto& document : m_documents) {
        m_organisations.add(document->organisations);
        for (const Service& service : document->services) {
            m_services.push_back(&service);
            for (const Route& route : service.routes) {
                if (route.isSplitTarget)
                    continue;
                bool exact = !route.path.ends_with('*');
                std::string_view prefix(route.path);
                if (!exact)
                    prefix.remove_suffix(1);
                m_entries.push_back({ route.host, prefix, exact, { &service, &route } });
                ++m_routeCount;
            }
        }
    }
    m_entries.shrink_to_fit();
    std::stable_sort(m_entries.begin(), m_entries.end(),
        [](const Entry& a, const Entry& b) { return std::tie(a.host, a.prefix) < std::tie(b.host, b.prefix); });
    std::stable_sort(
        m_services.begin(), m_services.end(), [](const Service* a, const Service* b) { return a->name < b->name; });
}

std::optional<RouteTable::Match> RouteTable::match(
    std::string_view method, std::string_view target, std::string_view host) const
{
    std::string_view path = pathOf(target);
    std::string name = normalizeHost(host);
    if (!name.empty()) {
        if (auto found = matchHost(method, path, name))
            return found;
    }
    return matchHost(method, path, {});
}

std::optional<RouteTable::Match> RouteTable::matchHost(
    std::string_view method, std::string_view path, std::string_view host) const
{
    // Looks up ever shorter prefixes of the path, so that the longest match wins. Only the whole path and the prefixes
    // that end next to a '/' can be the prefix of a route.
    for (size_t length = path.size();;) {
        std::string_view key = path.substr(0, length);
        auto it = std::lower_bound(m_entries.begin(), m_entries.end(), key,
            [&](const Entry& e, std::string_view k) { return std::tie(e.host, e.prefix) < std::tie(host, k); });
        const Entry* prefixMatch = nullptr;
        for (; it != m_entries.end() && it->host == host && it->prefix == key; ++it) {
            if (!allowsMethod(*it->match.route, method))
                continue;
            if (it->exact && length == path.size())
                return it->match;
            if (!it->exact && !prefixMatch)
                prefixMatch = &*it;
        }
        if (prefixMatch)
            return prefixMatch->match;
        if (!length)
            return std::nullopt;
        size_t slash = path.rfind('/', length - 1);
        if (slash == std::string_view::npos)
            return std::nullopt;
        length = slash + 1 == length ? slash : slash + 1;
    }
}

RouteTable::Match RouteTable::drawSplit(const Match& match, uint64_t draw) const
{
    uint64_t total = 0;
    for (const WeightedService& it : match.route->split)
        total += it.weight;
    if (!total)
        return match;
    uint64_t position = draw % total;
    auto target = match.route->split.begin();
    for (; position >= target->weight; ++target)
        position -= target->weight;
    const Service* drawn = service(target->service);
    if (!drawn || drawn == match.service)
        return match;
    auto route = std::ranges::find_if(
        drawn->routes, [&](const Route& it) { return it.isSplitTarget && it.name == match.route->name; });
    return route == drawn->routes.end() ? match : Match { drawn, &*route };
}

void addSplitTargets(Configuration& configuration)
{
    std::vector<std::pair<std::string, Route>> targets;
    for (const Service& service : configuration.services) {
        for (const Route& route : service.routes) {
            for (const WeightedService& it : route.split) {
                if (it.service == service.name)
                    continue;
                Route target = route;
                target.split.clear();
                target.isSplitTarget = true;
                targets.emplace_back(it.service, std::move(target));
            }
        }
    }
    for (auto& [name, target] : targets) {
        auto service = std::ranges::find(configuration.services, name, &Service::name);
        if (service != configuration.services.end())
            service->routes.push_back(std::move(target));
    }
}

const Service* RouteTable::service(std::string_view name) const
{
    auto it = std::lower_bound(
        m_services.begin(), m_services.end(), name, [](const Service* s, std::string_view n) { return s->name < n; });
    return it != m_services.end() && (*it)->name == name ? *it : nullptr;
}

} // namespace Gooseberrymill
