// Lists the fields of the log records for the encoder and the decoder.
#pragma once

#include "field_codec.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint {

template<>
inline constexpr std::size_t enumeratorCount<audit_kind> = 8;

inline constexpr std::size_t maxIdempotencyKeyBytes = 1024;
inline constexpr std::size_t maxOutcomeBodyBytes = 1'000'000;
inline constexpr std::size_t maxChunkBytes = 1'000'000;

template<class Visitor>
void describe(Visitor &visitor, entity<publication> auto &value)
{
    visitor.field("service", value.service);
    visitor.field("base", value.base);
    visitor.field("author", value.author);
    visitor.field("digest", value.digest);
    visitor.field("removes", value.removes);
    visitor.field("published_at", value.publishedAt);
}

template<class Visitor>
void describe(Visitor &visitor, entity<epoch_member> auto &value)
{
    visitor.field("id", value.id);
    visitor.field("data_centre", value.dataCentre);
    visitor.field("region", value.region);
    visitor.field("peer_address", value.peerAddress);
}

template<class Visitor>
void describe(Visitor &visitor, entity<epoch_record> auto &value)
{
    visitor.field("base", value.base);
    visitor.field("members", value.members);
}

template<class Visitor>
void describe(Visitor &visitor, entity<claim_key> auto &value)
{
    visitor.field("account", value.account);
    visitor.field("service", value.service);
    visitor.bytes("key", value.key, maxIdempotencyKeyBytes);
}

template<class Visitor>
void describe(Visitor &visitor, entity<booking_claim> auto &value)
{
    visitor.field("key", value.key);
    visitor.field("claimant", value.claimant);
    visitor.field("request_digest", value.requestDigest);
    visitor.field("claimed_at", value.claimedAt);
}

template<class Visitor>
void describe(Visitor &visitor, entity<booking_outcome> auto &value)
{
    visitor.field("key", value.key);
    visitor.field("result", value.result);
    visitor.range("status", value.status, 0, 999);
    visitor.bytes("content_type", value.contentType, maxTextBytes);
    visitor.bytes("body", value.body, maxOutcomeBodyBytes);
}

template<class Visitor>
void describe(Visitor &visitor, entity<order_record> auto &value)
{
    visitor.field("target", value.target);
    visitor.field("model", value.model);
    visitor.field("adapter", value.adapter);
    visitor.field("version", value.version);
    visitor.field("role", value.role);
}

template<class Visitor>
void describe(Visitor &visitor, entity<audit_event> auto &value)
{
    visitor.field("kind", value.kind);
    visitor.field("actor", value.actor);
    visitor.field("subject", value.subject);
    visitor.field("detail", value.detail);
    visitor.field("at", value.at);
}

template<class Visitor>
void describe(Visitor &visitor, entity<void_record> auto &value)
{
    visitor.field("target", value.target);
}

template<class Visitor>
void describe(Visitor &visitor, entity<snapshot_chunk> auto &value)
{
    visitor.field("covers", value.covers);
    visitor.field("index", value.index);
    visitor.field("count", value.count);
    visitor.field("digest", value.digest);
    visitor.bytes("data", value.data, maxChunkBytes);
    visitor.field("claim_horizon", value.claimHorizon);
}

} // namespace plantainpoint
