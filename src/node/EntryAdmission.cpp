// The part of EntryExchange that decides whether an organisation's request is accepted: its key, then its quota.
#include "EntryExchange.h"

namespace Gooseberrymill {

namespace {

constexpr std::string_view bearerScheme = "Bearer ";

// The key in the Authorization header; empty: none.
std::string_view keyOf(const std::vector<Header>& headers)
{
    const Header* header = findHeader(headers, HeaderName::authorization);
    if (!header || header->value.size() <= bearerScheme.size())
        return {};
    std::string_view value = header->value;
    bool isBearer = equalsIgnoringCase(value.substr(0, bearerScheme.size()), bearerScheme);
    return isBearer ? value.substr(bearerScheme.size()) : std::string_view();
}

} // namespace

// A configuration without organisations asks for no keys, and passes on whatever the caller sends.
bool EntryExchange::authorize()
{
    const OrganisationTable& organisations = m_routes->organisations();
    if (organisations.isEmpty())
        return true;
    m_wasAskedForKey = true;
    std::string key(keyOf(m_head.headers));
    removeHeaders(m_head.headers, HeaderName::authorization);
    removeHeaders(m_head.headers, m_worker.m_hooks.headers.organisation);
    if (m_match.route->isPublic)
        return true;
    const auto& freshness = m_worker.m_hooks.freshness;
    if (freshness && !freshness->mayAcceptKeys(currentInstant())) {
        refuseLocally(RefusalReason::KeyUnverified, "entry.key", {}, 1s);
        return false;
    }
    const Organisation* organisation = organisations.find(key);
    if (!organisation) {
        // The key may stand in a configuration that this node has only heard of.
        bool isBehind = freshness && freshness->isBehind();
        refuseLocally(isBehind ? RefusalReason::KeyUnverified : RefusalReason::KeyUnknown, "entry.key", {}, 1s);
        return false;
    }
    m_head.organisation = organisation->name;
    m_head.key = digestOfKey(key);
    m_head.headers.push_back({ m_worker.m_hooks.headers.organisation, organisation->name });
    return true;
}

// A key may have been taken away or moved to another organisation, and a request without one may have got another
// route.
bool EntryExchange::checkAuthorization()
{
    const OrganisationTable& organisations = m_worker.m_routes->organisations();
    const Organisation* holder = organisations.holder(m_head.key);
    bool isHeld = holder && holder->name == m_head.organisation;
    bool needsNoKey = organisations.isEmpty() || (m_wasAskedForKey && m_match.route->isPublic);
    if (m_head.key ? isHeld : needsNoKey)
        return true;
    bool isGone = m_head.key && !holder;
    refuseLocally(isGone ? RefusalReason::KeyUnknown : RefusalReason::KeyUnverified, "entry.key", {}, 1s);
    return false;
}

void EntryExchange::receiveProof(const FreshnessProof& proof)
{
    if (const auto& freshness = m_worker.m_hooks.freshness)
        freshness->received(proof, m_sentAt);
}

void EntryExchange::requestQuota()
{
    const Organisation* organisation = m_routes->organisations().named(m_head.organisation);
    if (!organisation || !m_worker.m_quota)
        return startRequest();
    m_worker.m_quota->acquire(*organisation, m_routes, [weak = weak_from_this()](const QuotaDecision& decision) {
        auto self = weak.lock();
        if (!self || self->m_finished || self->m_respondedLocally)
            return false; // the caller is gone, or was answered
        self->m_holdsQuota = decision.isGranted;
        if (decision.isGranted)
            self->startRequest();
        else
            self->refuseLocally(RefusalReason::QuotaExceeded, "entry.quota", {}, decision.retryAfter);
        return true;
    });
}

void EntryExchange::returnUnusedQuota()
{
    bool mayBeSent = m_call && m_call->isHeadWritten() && mayHaveBeenDispatched();
    if (!m_dispatched && !m_responseHeadReceived && !mayBeSent)
        returnQuota();
}

void EntryExchange::returnQuota()
{
    if (std::exchange(m_holdsQuota, false))
        m_worker.m_quota->giveBack(m_head.organisation);
}

} // namespace Gooseberrymill
