#include "version.hpp"

namespace plantainpoint {

std::string_view version()
{
    return "0.1.0";
}

} // namespace plantainpoint
