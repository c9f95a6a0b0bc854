// What requests may have in common that makes endpoints crash.
#pragma once

#include <string>
#include <vector>

#include "plantainpoint/relay.hpp"

namespace plantainpoint {

using request_traits = std::vector<request_trait>;

// Returns a digest of the client account, method, host, target and body. Ids, deadlines and other headers differ between repeats. The account is empty on
// open routes.
std::string contentDigest(const relay_payload &payload, const account_name &account);

request_trait traitOf(const prompt_part &part);
// Returns the trait that only repeats of a request share. The digest is that of its content.
request_trait contentTrait(const std::string &digest);
bool isContent(const request_trait &trait);

// Returns the traits in the order of their names, each once.
request_traits sortedTraits(request_traits traits);
// Returns whether the first list holds all traits of the second one. Both are sorted.
bool containsAll(const request_traits &traits, const request_traits &wanted);
// Returns the names of the traits, separated by commas.
std::string traitsText(const request_traits &traits);

} // namespace plantainpoint
