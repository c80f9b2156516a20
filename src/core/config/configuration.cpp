#include "core/config/configuration.h"

namespace wisteriafork {

std::chrono::milliseconds retentionTime(const OperationConfiguration &operation, const EnvironmentBounds &bounds)
{
    return operation.resendTime + operation.callerWait + bounds.pauseBound;
}

} // namespace wisteriafork
