#include "ConfigurationFreshness.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

// Share of the bound in which keys are accepted. The rest covers watches of the store that miss changes for a moment
// and clocks that run at different speed.
constexpr double acceptedShare = 0.8;
constexpr double askingShare = 0.6; // age at which a node asks the store itself, as a share of the bound

Duration scaled(Duration bound, double share)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(bound.count()) * share));
}

} // namespace

void ConfigurationFreshness::setOwnStamp(uint64_t stamp, Instant)
{
    m_ownStamp = std::max(m_ownStamp, stamp);
    if (m_latest && m_latest->stamp <= m_ownStamp)
        m_covered = m_latest;
}

// The store may have come back from an older copy. Then the newest configuration is one that this node has heard of.
void ConfigurationFreshness::confirmedByStore(uint64_t stamp, Instant askedAt)
{
    learn({ std::max({ stamp, m_ownStamp, m_highestStamp }), askedAt });
}

void ConfigurationFreshness::received(const FreshnessProof& proof, Instant askedAt)
{
    if (proof.configuration)
        learn({ proof.configuration, askedAt - std::chrono::milliseconds(proof.ageMs) });
}

void ConfigurationFreshness::learn(const Fact& fact)
{
    m_highestStamp = std::max(m_highestStamp, fact.stamp);
    if (!m_latest || fact.at > m_latest->at)
        m_latest = fact;
    bool isCovered = fact.stamp <= m_ownStamp;
    if (isCovered && (!m_covered || fact.at > m_covered->at))
        m_covered = fact;
}

bool ConfigurationFreshness::mayAcceptKeys(Instant now) const
{
    if (!isEnabled())
        return true;
    auto covered = age(now);
    return covered && *covered <= scaled(m_bound, acceptedShare);
}

bool ConfigurationFreshness::shouldAskStore(Instant now) const
{
    if (!isEnabled())
        return false;
    auto covered = age(now);
    return !covered || *covered > scaled(m_bound, askingShare);
}

FreshnessProof ConfigurationFreshness::proof(Instant now) const
{
    if (!isEnabled() || !m_latest)
        return {};
    auto age = std::chrono::ceil<std::chrono::milliseconds>(now - m_latest->at).count();
    if (age < 0 || age > UINT32_MAX)
        return {};
    return { m_latest->stamp, static_cast<uint32_t>(age) };
}

std::optional<Duration> ConfigurationFreshness::age(Instant now) const
{
    return m_covered ? std::optional<Duration>(now - m_covered->at) : std::nullopt;
}

} // namespace Gooseberrymill
