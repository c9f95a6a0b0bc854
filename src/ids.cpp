#include "plantainpoint/ids.hpp"

#include <charconv>

namespace plantainpoint {

namespace {

constexpr char separator = '/';

// splits off the last number of a label; empty when there is none
template<class Number>
std::optional<std::pair<std::string_view, Number>> splitNumber(std::string_view text)
{
    const auto at = text.rfind(separator);
    if (at == std::string_view::npos || at == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(at + 1);
    Number number{};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return std::pair{text.substr(0, at), number};
}

constexpr std::uint64_t prime = 1099511628211ULL;

std::uint64_t start(std::uint64_t seed)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    return offsetBasis ^ (seed * prime);
}

std::uint64_t extend(std::uint64_t hash, std::string_view text)
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= prime;
    }
    return hash;
}

std::uint64_t finish(std::uint64_t hash)
{
    // FNV leaves the last bytes poorly mixed; rendezvous hashing compares high bits
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
    const auto components = splitNumber<std::uint64_t>(text);
    if (!components || components->first.find(separator) != std::string_view::npos) {
        return std::nullopt;
    }
    return incarnation_id{vm_name{std::string{components->first}}, components->second};
}

std::optional<request_label> parseRequestLabel(std::string_view text)
{
    const auto components = splitNumber<std::uint64_t>(text);
    if (!components) {
        return std::nullopt;
    }
    const auto origin = parseIncarnation(components->first);
    if (!origin) {
        return std::nullopt;
    }
    return request_label{*origin, components->second};
}

std::optional<attempt_label> parseAttemptLabel(std::string_view text)
{
    const auto components = splitNumber<std::uint32_t>(text);
    if (!components) {
        return std::nullopt;
    }
    const auto request = parseRequestLabel(components->first);
    if (!request) {
        return std::nullopt;
    }
    return attempt_label{*request, components->second};
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
    return finish(extend(start(seed), text));
}

std::vector<std::uint64_t> stablePrefixHashes(std::string_view text, std::size_t step)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(text.size() / step);
    auto hash = start(0);
    for (std::size_t at = 0; at + step <= text.size(); at += step) {
        hash = extend(hash, text.substr(at, step));
        hashes.push_back(finish(hash));
    }
    return hashes;
}

} // namespace plantainpoint
