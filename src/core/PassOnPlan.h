// Decides what an entry does with a request that finds all slots of an upstream taken: go on to another upstream, or
// queue. No I/O. One object a request.
//
// The load it answers: many entries, each of which hears of an upstream only every few seconds, choose almost at
// random, so some upstreams have queues while others have free slots. The executor beside an upstream knows at once.
#pragma once

#include "Basics.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Gooseberrymill {

// Where a request goes next.
enum class PassOnStep : uint8_t {
    Region, // to an upstream of the own region that is not known to be full
    OtherRegion, // to an upstream of another region that is not known to be full
    Queue, // to the upstream with the shortest wait, to wait there
};

class PassOnPlan {
public:
    // The longest wait for a slot that the request takes at the next upstream. It is what going on would cost. Zero:
    // the request waits in any case.
    Duration acceptableWait(PassOnStep step, Duration timeLeft) const
    {
        if (step == PassOnStep::Queue || timeLeft < minTimeLeft)
            return Duration::zero();
        return step == PassOnStep::Region ? regionHop : otherRegionHop;
    }

    // An upstream has refused the request, which would have waited for `wait` there.
    void refused(const std::string& upstream, Duration wait, PassOnStep step)
    {
        step == PassOnStep::OtherRegion ? ++m_otherRegionTries : ++m_regionTries;
        m_asked.push_back({ upstream, wait });
    }

    // The request is sent to an upstream that was asked, to wait there. If that one fails it, the next one is left.
    void queued(const std::string& upstream)
    {
        std::erase_if(m_asked, [&](const Asked& asked) { return asked.upstream == upstream; });
    }

    void regionExhausted() { m_regionTries = maxRegionTries; } // every upstream of the own region is known to be full

    // Another region costs the caller a long round trip and the operator bytes on a narrow link, so it must save more.
    PassOnStep next(Duration timeLeft) const
    {
        if (timeLeft < minTimeLeft)
            return PassOnStep::Queue;
        if (m_regionTries < maxRegionTries && !m_otherRegionTries)
            return PassOnStep::Region;
        auto it = shortestAsked();
        bool saves = it != m_asked.end() && it->wait > otherRegionHop;
        return saves && m_otherRegionTries < maxOtherRegionTries ? PassOnStep::OtherRegion : PassOnStep::Queue;
    }

    bool hasAsked() const { return m_regionTries + m_otherRegionTries > 0; }
    // The upstream with the shortest wait of those asked where the request has not queued yet; or "".
    std::string shortest() const
    {
        auto it = shortestAsked();
        return it == m_asked.end() ? std::string() : it->upstream;
    }

private:
    struct Asked {
        std::string upstream;
        Duration wait {};
    };

    std::vector<Asked>::const_iterator shortestAsked() const
    {
        return std::ranges::min_element(m_asked, {}, &Asked::wait);
    }

    static constexpr Duration regionHop = 15ms; // a refusal and another request head inside a region, at busy nodes
    static constexpr Duration otherRegionHop = 150ms; // the same to another region, and the way of the response back
    static constexpr Duration minTimeLeft = 300ms; // for a caller that has less left, each hop is a risk
    static constexpr uint32_t maxRegionTries = 4;
    static constexpr uint32_t maxOtherRegionTries = 1;

    uint32_t m_regionTries = 0; // upstreams of the own region that refused the request
    uint32_t m_otherRegionTries = 0;
    std::vector<Asked> m_asked; // upstreams that refused the request and where it has not queued yet
};

} // namespace Gooseberrymill
