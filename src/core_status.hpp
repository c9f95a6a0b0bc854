// JSON status and audit trail for operators.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "core_components.hpp"
#include "dispatcher.hpp"

namespace plantainpoint {

nlohmann::json statusOf(const core_components &components, const dispatcher &inputDispatcher);
nlohmann::json auditOf(const log_state &log);

} // namespace plantainpoint
