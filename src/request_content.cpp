#include "request_content.hpp"

#include "plantainpoint/config.hpp"

namespace plantainpoint {

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

} // namespace plantainpoint
