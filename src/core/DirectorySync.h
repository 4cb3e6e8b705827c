// Anti-entropy protocol that makes the directories of two nodes equal. No I/O.
//
// A notice carries a digest of the sender's directory and the records that changed recently. The two nodes compare
// their directories only when the digests differ: the reply lists a fingerprint of each record, and each side then
// sends the records that the other one lacks. A change therefore costs its own size at each node, and a comparison
// eight bytes per record instead of the whole directory.
#pragma once

#include "NodeDirectory.h"
#include "RelayMessages.h"

namespace Gooseberrymill {

// Sent by a node to another one as a heartbeat, to pass on changed records or to start a comparison.
struct DirectoryNotice {
    std::string sender;
    bool isWatching = false; // whether the sender has a working watch on the store
    bool isForRegion = false; // whether every node of the sender's region gets the same records
    bool requestsComparison = false; // whether the receiver must list its fingerprints when the digests differ
    uint64_t digest = 0; // of the sender's directory
    uint64_t configurationDigest = 0; // of the sender's configuration
    std::vector<NodeRecord> records; // changed records, or those that the receiver lacks
    std::vector<uint64_t> knownFingerprints; // of the sender's records; only sent after the receiver listed its own
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sender, isWatching, isForRegion, requestsComparison, digest, configurationDigest, records,
            knownFingerprints);
    }

    // Since version 7.
    FreshnessProof proof {}; // of the sender
    bool isWatcher = false; // the sender has the role of a watcher, whether or not the store answers it
    uint64_t echo = 0; // the `question` of the last reply that the sender got from the receiver
    template <class Archive, class Self> static void serializeExtension(Archive& archive, Self& self)
    {
        archive(self.proof, self.isWatcher, self.echo);
    }
};

// Response to a notice.
struct DirectoryReply {
    uint64_t digest = 0; // of the directory after the records of the notice were merged
    uint64_t configurationDigest = 0; // of the replying node's configuration
    std::vector<NodeRecord> records; // records that the sender of the notice lacks
    std::vector<uint64_t> knownFingerprints; // of the replying node's records, when a comparison is needed
    template <class Archive> void serialize(Archive& archive)
    {
        archive(digest, configurationDigest, records, knownFingerprints);
    }

    // Since version 7.
    FreshnessProof proof {}; // of the replying node
    uint64_t question = 0; // returned in the next notice, which then shows that it was sent after this reply
    template <class Archive, class Self> static void serializeExtension(Archive& archive, Self& self)
    {
        archive(self.proof, self.question);
    }
};

// Creates a notice with `sender`, `digest` and `records` set.
DirectoryNotice makeNotice(const NodeDirectory&, std::vector<NodeRecord> records);

// Merges the records of a notice and creates the reply. The caller sets the reply's configurationDigest.
struct NoticeResult {
    DirectoryReply reply;
    bool isChanged = false; // whether the directory changed
};
NoticeResult handleNotice(NodeDirectory&, const DirectoryNotice&, Instant now);

// Merges the records of a reply. `next`, if set, must be sent to the node that replied, to complete the comparison.
struct ReplyResult {
    std::optional<DirectoryNotice> next;
    bool isChanged = false; // whether the directory changed
};
ReplyResult handleReply(NodeDirectory&, const DirectoryReply&, Instant now);

} // namespace Gooseberrymill
