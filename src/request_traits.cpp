#include "request_traits.hpp"

#include <algorithm>
#include <string_view>

#include "plantainpoint/config.hpp"

namespace plantainpoint {

namespace {

// Prefixes keep callers from naming a part like the content of somebody else's request.
constexpr std::string_view partPrefix = "part:";
constexpr std::string_view contentPrefix = "content:";

} // namespace

std::string contentDigest(const relay_payload &payload, const account_name &account)
{
    constexpr std::size_t digestSize = 24; // Hexadecimal digits. Another account cannot find a content with the same digest.
    std::string text = account.value;
    for (const auto *field : {&payload.method, &payload.host, &payload.target, &payload.body}) {
        text += '\0';
        text += *field;
    }
    return toHex(digestOf(text)).substr(0, digestSize);
}

request_trait traitOf(const prompt_part &part)
{
    return {std::string(partPrefix) + part.value};
}

request_trait contentTrait(const std::string &digest)
{
    return {std::string(contentPrefix) + digest};
}

bool isContent(const request_trait &trait)
{
    return trait.value.starts_with(contentPrefix);
}

request_traits sortedTraits(request_traits traits)
{
    std::sort(traits.begin(), traits.end());
    traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
    return traits;
}

bool containsAll(const request_traits &traits, const request_traits &wanted)
{
    return std::includes(traits.begin(), traits.end(), wanted.begin(), wanted.end());
}

std::string traitsText(const request_traits &traits)
{
    std::string text;
    for (const auto &trait : traits) {
        text += (text.empty() ? "" : ",") + trait.value;
    }
    return text.empty() ? "-" : text;
}

} // namespace plantainpoint
