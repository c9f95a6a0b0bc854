// Digest by which a request is recognised when it comes again.
#pragma once

#include <string>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// Returns a digest of the client account, method, host, target and body. Ids, deadlines and other headers differ between repeats. The account is empty on
// open routes.
std::string contentDigest(const relay_payload &payload, const account_name &account);

} // namespace plantainpoint
