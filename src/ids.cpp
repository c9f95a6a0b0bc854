#include "plantainpoint/ids.hpp"

#include <charconv>

namespace plantainpoint {

namespace {

constexpr char separator = '/';

// Splits the text at its last separator into the prefix and the number behind it. Returns std::nullopt if there is no such number.
template<class Number>
std::optional<std::pair<std::string_view, Number>> splitNumber(std::string_view text)
{
    const auto separatorPosition = text.rfind(separator);
    if (separatorPosition == std::string_view::npos || separatorPosition == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(separatorPosition + 1);
    Number number{};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return std::pair{text.substr(0, separatorPosition), number};
}

constexpr std::uint64_t fnvPrime = 1099511628211ULL;

std::uint64_t initialHash(std::uint64_t seed)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    return offsetBasis ^ (seed * fnvPrime);
}

std::uint64_t extendHash(std::uint64_t hash, std::string_view text)
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnvPrime;
    }
    return hash;
}

std::uint64_t mixHash(std::uint64_t hash)
{
    // FNV mixes the last bytes poorly into the high bits, which rendezvous hashing compares.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace

std::string toString(const incarnation_id &id)
{
    return id.vm.value + separator + std::to_string(id.number);
}

std::string toString(const request_label &label)
{
    return toString(label.origin) + separator + std::to_string(label.sequence);
}

std::string toString(const attempt_label &label)
{
    return toString(label.request) + separator + std::to_string(label.attempt);
}

std::string toString(const record_id &id)
{
    return toString(id.writer) + separator + std::to_string(id.sequence);
}

std::optional<incarnation_id> parseIncarnation(std::string_view text)
{
    const auto split = splitNumber<std::uint64_t>(text);
    if (!split || split->first.find(separator) != std::string_view::npos) {
        return std::nullopt;
    }
    return incarnation_id{vm_name{std::string{split->first}}, split->second};
}

std::optional<request_label> parseRequestLabel(std::string_view text)
{
    const auto split = splitNumber<std::uint64_t>(text);
    if (!split) {
        return std::nullopt;
    }
    const auto origin = parseIncarnation(split->first);
    if (!origin) {
        return std::nullopt;
    }
    return request_label{*origin, split->second};
}

std::optional<attempt_label> parseAttemptLabel(std::string_view text)
{
    const auto split = splitNumber<std::uint32_t>(text);
    if (!split) {
        return std::nullopt;
    }
    const auto request = parseRequestLabel(split->first);
    if (!request) {
        return std::nullopt;
    }
    return attempt_label{*request, split->second};
}

std::optional<record_id> parseRecordId(std::string_view text)
{
    const auto label = parseRequestLabel(text);
    if (!label) {
        return std::nullopt;
    }
    return record_id{label->origin, label->sequence};
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return mixHash(extendHash(initialHash(seed), text));
}

std::vector<std::uint64_t> stablePrefixHashes(std::string_view text, std::size_t step)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(text.size() / step);
    auto hash = initialHash(0);
    for (std::size_t offset = 0; offset + step <= text.size(); offset += step) {
        hash = extendHash(hash, text.substr(offset, step));
        hashes.push_back(mixHash(hash));
    }
    return hashes;
}

} // namespace plantainpoint
