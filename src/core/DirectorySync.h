// How two nodes bring their directories together, without I/O.
//
// A notice carries a digest and the records that changed lately. Only when the digests differ do the two sides compare:
// the reply lists a fingerprint of each record, and the records that the other side lacks follow, in both directions.
// So a change costs its own size at each node, and a comparison eight bytes a record, not the whole directory.
#pragma once

#include "NodeDirectory.h"

namespace Gooseberrymill {

// What a node tells another one: that it lives, what it knows, and what changed.
struct DirectoryNotice {
    std::string sender;
    bool isWatching = false; // the sender holds a watch of the store that works
    bool isForRegion = false; // every node of the sender's region gets the same records
    bool requestsComparison = false; // the receiver lists its fingerprints when the digests differ
    uint64_t digest = 0; // of the sender's directory
    uint64_t configurationDigest = 0;
    std::vector<NodeRecord> records; // changed ones, or those that the receiver lacks
    std::vector<uint64_t> knownFingerprints; // fingerprints of the sender's records, in answer to those of the receiver
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sender, isWatching, isForRegion, requestsComparison, digest, configurationDigest, records,
            knownFingerprints);
    }
};

struct DirectoryReply {
    uint64_t digest = 0; // after the records of the notice were taken over
    uint64_t configurationDigest = 0;
    std::vector<NodeRecord> records; // those that the sender of the notice lacks
    std::vector<uint64_t> knownFingerprints; // fingerprints of the own records, when the notice compares
    template <class Archive> void serialize(Archive& archive)
    {
        archive(digest, configurationDigest, records, knownFingerprints);
    }
};

// A notice with the sender, the digest and the records set.
DirectoryNotice makeNotice(const NodeDirectory&, std::vector<NodeRecord> records);

// Takes over the records of a notice. The reply has everything but the digest of the configuration.
struct NoticeResult {
    DirectoryReply reply;
    bool isChanged = false; // the directory changed
};
NoticeResult handleNotice(NodeDirectory&, const DirectoryNotice&, Instant now);

// Takes over the records of a reply. `next` goes to the sender of the reply, when it lacks records or lists others.
struct ReplyResult {
    std::optional<DirectoryNotice> next;
    bool isChanged = false;
};
ReplyResult handleReply(NodeDirectory&, const DirectoryReply&, Instant now);

} // namespace Gooseberrymill
