// Version number of the programs.
#pragma once

#include <string_view>

namespace plantainpoint {

std::string_view version();

} // namespace plantainpoint
