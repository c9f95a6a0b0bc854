// the JSON that operators see
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "core_components.hpp"
#include "dispatcher.hpp"

namespace plantainpoint {

nlohmann::json statusOf(const core_components &components, const dispatcher &systems);
nlohmann::json auditOf(const log_state &log);

} // namespace plantainpoint
