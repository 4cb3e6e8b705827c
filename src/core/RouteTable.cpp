#include "Configuration.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

bool allowsMethod(const Route& route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace

RouteTable::RouteTable(std::vector<std::shared_ptr<const Configuration>> documents)
    : m_documents(std::move(documents))
{
    for (const auto& document : m_documents) {
        for (const Service& service : document->services) {
            m_services.push_back(&service);
            for (const Route& route : service.routes) {
                bool exact = !route.path.ends_with('*');
                std::string_view prefix(route.path);
                if (!exact)
                    prefix.remove_suffix(1);
                m_entries.push_back({ prefix, exact, { &service, &route } });
                ++m_routeCount;
            }
        }
    }
    m_entries.shrink_to_fit();
    std::stable_sort(
        m_entries.begin(), m_entries.end(), [](const Entry& a, const Entry& b) { return a.prefix < b.prefix; });
    std::stable_sort(
        m_services.begin(), m_services.end(), [](const Service* a, const Service* b) { return a->name < b->name; });
}

std::optional<RouteTable::Match> RouteTable::match(std::string_view method, std::string_view target) const
{
    std::string_view path = pathOf(target);
    // Candidates are the entries whose prefix equals a leading part of the path, longest first. Only
    // the whole path and the parts that end in '/' can be prefixes of a route.
    for (size_t length = path.size();;) {
        std::string_view key = path.substr(0, length);
        auto it = std::lower_bound(
            m_entries.begin(), m_entries.end(), key, [](const Entry& e, std::string_view k) { return e.prefix < k; });
        const Entry* prefixMatch = nullptr;
        for (; it != m_entries.end() && it->prefix == key; ++it) {
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

const Service* RouteTable::service(std::string_view name) const
{
    auto it = std::lower_bound(
        m_services.begin(), m_services.end(), name, [](const Service* s, std::string_view n) { return s->name < n; });
    return it != m_services.end() && (*it)->name == name ? *it : nullptr;
}

} // namespace Gooseberrymill
