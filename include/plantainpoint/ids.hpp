// Names of entities, and identifiers of requests, attempts and log records.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpoint {

// The linter mistakes the 0 in the rewritten form of a defaulted comparison for a null pointer, hence the NOLINT comments below.

// Name of one kind of entity. Names of different kinds do not convert into each other.
template<class Tag>
struct entity_name {
    std::string value;

    auto operator<=>(const entity_name &) const = default; // NOLINT(modernize-use-nullptr)
    bool empty() const { return value.empty(); }
};

using vm_name = entity_name<struct vm_tag>;
using data_centre_name = entity_name<struct data_centre_tag>;
using region_name = entity_name<struct region_tag>;
using account_name = entity_name<struct account_tag>;
using service_name = entity_name<struct service_tag>;
using endpoint_name = entity_name<struct endpoint_tag>;
using software_version = entity_name<struct software_version_tag>; // Version of an endpoint's software, not of the weights that it serves.
using model_name = entity_name<struct model_tag>;
using prompt_part = entity_name<struct prompt_part_tag>; // Part of a prompt, named by a hash of its content.
// What requests may have in common that makes endpoints crash: a part of their prompts, or their whole content.
using request_trait = entity_name<struct request_trait_tag>;

// One run of the entry program on a VM. A larger number is a later run.
struct incarnation_id {
    vm_name vm;
    std::uint64_t number = 0;

    auto operator<=>(const incarnation_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies a request in the whole fleet. The text form is VM/INCARNATION/SEQUENCE.
struct request_label {
    incarnation_id origin;
    std::uint64_t sequence = 0;

    auto operator<=>(const request_label &) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies one dispatch of a request to an endpoint. The text form is VM/INCARNATION/SEQUENCE/ATTEMPT.
struct attempt_label {
    request_label request;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_label &) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies the pool of a model in a region, which is the unit of placement.
struct pool_id {
    model_name model;
    region_name region;

    auto operator<=>(const pool_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies a log record in the whole fleet. The text form is VM/INCARNATION/SEQUENCE.
struct record_id {
    incarnation_id writer;
    std::uint64_t sequence = 0;

    auto operator<=>(const record_id &) const = default; // NOLINT(modernize-use-nullptr)
};

// Position of an entry in the log. The first entry has offset 0.
using log_offset = std::uint64_t;

// Identifies a caller's request on this VM. The shell assigns it.
using caller_id = std::uint64_t;

std::string toString(const incarnation_id &id);
std::string toString(const request_label &label);
std::string toString(const attempt_label &label);
std::string toString(const record_id &id);

// These functions return std::nullopt if the text does not have the form that toString() writes.
std::optional<incarnation_id> parseIncarnation(std::string_view text);
std::optional<request_label> parseRequestLabel(std::string_view text);
std::optional<attempt_label> parseAttemptLabel(std::string_view text);
std::optional<record_id> parseRecordId(std::string_view text);

// Computes a hash based on 64-bit FNV-1a. It is the same in all processes and builds, so that all VMs make the same choices.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Returns stableHash() of the first step, 2 * step, ... bytes, computed in one pass. A remainder shorter than step is ignored.
std::vector<std::uint64_t> stablePrefixHashes(std::string_view text, std::size_t step);

} // namespace plantainpoint

template<class Tag>
struct std::hash<plantainpoint::entity_name<Tag>> {
    std::size_t operator()(const plantainpoint::entity_name<Tag> &name) const noexcept { return std::hash<std::string>{}(name.value); }
};

template<>
struct std::hash<plantainpoint::incarnation_id> {
    std::size_t operator()(const plantainpoint::incarnation_id &id) const noexcept { return std::hash<plantainpoint::vm_name>{}(id.vm) * 31 + id.number; }
};

template<>
struct std::hash<plantainpoint::request_label> {
    std::size_t operator()(const plantainpoint::request_label &label) const noexcept
    {
        return std::hash<plantainpoint::incarnation_id>{}(label.origin) * 31 + label.sequence;
    }
};

template<>
struct std::hash<plantainpoint::attempt_label> {
    std::size_t operator()(const plantainpoint::attempt_label &label) const noexcept
    {
        return std::hash<plantainpoint::request_label>{}(label.request) * 31 + label.attempt;
    }
};

template<>
struct std::hash<plantainpoint::record_id> {
    std::size_t operator()(const plantainpoint::record_id &id) const noexcept
    {
        return std::hash<plantainpoint::incarnation_id>{}(id.writer) * 31 + id.sequence;
    }
};
