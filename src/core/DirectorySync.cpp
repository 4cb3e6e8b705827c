#include "DirectorySync.h"

namespace Gooseberrymill {

DirectoryNotice makeNotice(const NodeDirectory& directory, std::vector<NodeRecord> records)
{
    DirectoryNotice notice;
    notice.sender = directory.self().name;
    notice.digest = directory.digest();
    notice.records = std::move(records);
    return notice;
}

NoticeResult handleNotice(NodeDirectory& directory, const DirectoryNotice& notice, Instant now)
{
    const NodeRecord* sender = directory.find(notice.sender);
    bool isOwnRegion = sender && sender->location.region == directory.self().location.region;
    PropagationScope scope = notice.isForRegion && isOwnRegion ? PropagationScope::Region : PropagationScope::Node;
    NoticeResult result;
    result.isChanged = directory.mergeAll(notice.records, now, scope);
    result.reply.digest = directory.digest();
    if (!notice.knownFingerprints.empty())
        result.reply.records = directory.recordsNotIn(notice.knownFingerprints);
    else if (notice.requestsComparison && notice.digest != result.reply.digest)
        result.reply.knownFingerprints = directory.fingerprints();
    return result;
}

ReplyResult handleReply(NodeDirectory& directory, const DirectoryReply& reply, Instant now)
{
    ReplyResult result;
    result.isChanged = directory.mergeAll(reply.records, now, PropagationScope::Node);
    if (reply.knownFingerprints.empty() || reply.digest == directory.digest())
        return result;
    result.next = makeNotice(directory, directory.recordsNotIn(reply.knownFingerprints));
    result.next->knownFingerprints = directory.fingerprints();
    return result;
}

} // namespace Gooseberrymill
