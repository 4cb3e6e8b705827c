// Tells whether the configuration of a node is certainly so new that keys in it may be accepted. No I/O, no clock.
//
// A node holds facts of one form: a configuration with the stamp S contains every change that the store had
// acknowledged before the moment T of this node's clock. The node accepts keys while its own configuration has at least
// that stamp and T is recent. The store is the only source of facts; nodes pass them on with their age, which counts
// from the moment at which the receiver asked. So a fact only gets older, however often it is passed on. See
// docs/design/key-revocation.md.
#pragma once

#include "RelayMessages.h"

namespace Gooseberrymill {

class ConfigurationFreshness {
public:
    // `revocationBound`: time after the acknowledgement of a change from which no key that it took away is accepted; 0:
    // keys are always accepted.
    explicit ConfigurationFreshness(Duration revocationBound)
        : m_bound(revocationBound)
    {
    }

    bool isEnabled() const { return m_bound > Duration::zero(); }

    // [SECTION] Input
    void setOwnStamp(uint64_t stamp, Instant now); // of the configuration that is now in force at this node; 0: none
    // The store has answered that its newest configuration has this stamp, to a question sent at `askedAt`.
    void confirmedByStore(uint64_t stamp, Instant askedAt);
    // Another node has passed on what it knows, after it received something that this node sent at `askedAt`.
    void received(const FreshnessProof&, Instant askedAt);

    // [SECTION] Output
    bool mayAcceptKeys(Instant now) const;
    bool shouldAskStore(Instant now) const; // the fact grows old, and no message of another node has renewed it
    bool isBehind() const { return m_highestStamp > m_ownStamp; } // other nodes or the store know a newer configuration
    FreshnessProof proof(Instant now) const; // to be passed on
    std::optional<Duration> age(
        Instant now) const; // of the fact that covers the own configuration; empty: there is none

private:
    struct Fact {
        uint64_t stamp = 0;
        Instant at {};
    };

    void learn(const Fact&);

    Duration m_bound;
    uint64_t m_ownStamp = 0;
    uint64_t m_highestStamp = 0; // ever heard of
    std::optional<Fact> m_latest; // may be about a configuration that this node does not have yet
    std::optional<Fact> m_covered; // the latest one whose stamp the own configuration reaches
};

} // namespace Gooseberrymill
