#include "ClaimJson.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

using Json = nlohmann::json;

std::optional<ClaimState> parseState(const std::string& text)
{
    for (ClaimState state : { ClaimState::Claimed, ClaimState::Ran, ClaimState::Unknown }) {
        if (toString(state) == text)
            return state;
    }
    return std::nullopt;
}

// Throws nlohmann::json::exception if a field is missing or has the wrong type. Empty if a value is not valid.
std::optional<Claim> parseClaim(const std::string& operation, const Json& json)
{
    auto id = parseId128(operation);
    auto executor = parseId128(json.at("executor").get<std::string>());
    auto state = parseState(json.at("state").get<std::string>());
    if (!id || !executor || !state)
        return std::nullopt;
    Claim claim;
    claim.operation = *id;
    claim.executor = *executor;
    claim.nonce = json.at("nonce").get<uint64_t>();
    claim.fingerprint = json.at("fingerprint").get<uint64_t>();
    claim.state = *state;
    claim.status = json.value("status", uint16_t { 0 });
    return claim;
}

} // namespace

std::string toJson(const ClaimBucket& bucket)
{
    Json claims = Json::object();
    for (const Claim& claim : bucket.claims) {
        Json& json = claims[toString(claim.operation)];
        json["executor"] = toString(claim.executor);
        json["nonce"] = claim.nonce;
        json["fingerprint"] = claim.fingerprint;
        json["state"] = toString(claim.state);
        if (claim.status)
            json["status"] = claim.status;
    }
    return Json { { "claims", claims } }.dump();
}

Result<ClaimBucket> parseClaimBucket(std::string_view name, uint64_t version, std::string_view json)
{
    auto malformed = [&](std::string detail) {
        return Error { ErrorCode::Malformed, "claims.parse", std::string(name), std::move(detail) };
    };
    ClaimBucket bucket;
    bucket.name = name;
    bucket.version = version;
    try {
        Json parsed = Json::parse(json);
        for (const auto& [operation, value] : parsed.at("claims").items()) {
            auto claim = parseClaim(operation, value);
            if (!claim)
                return malformed(fmt::format("claim {} has an invalid id, executor or state", operation));
            bucket.claims.push_back(*claim);
        }
    } catch (const Json::exception& e) {
        return malformed(e.what());
    }
    std::sort(bucket.claims.begin(), bucket.claims.end(),
        [](const Claim& a, const Claim& b) { return a.operation < b.operation; });
    return bucket;
}

} // namespace Gooseberrymill
