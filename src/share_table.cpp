#include "share_table_impl.hpp"

namespace plantainpoint {

template class basic_share_table<production_share_rules>;

} // namespace plantainpoint
