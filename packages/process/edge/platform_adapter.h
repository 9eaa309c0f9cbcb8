#pragma once

#include "core/result.h"
#include "process/platform_request.h"
#include "version/platform_store.h"

namespace ebonyway {

/**
 * Carries out a request of the control core on the platform's object API. Blocks for at most
 * `limit`; a watch waits for its own time-out as well.
 */
result<platform_answer> callPlatform(platform_store &store, const platform_request &request,
                                     platform_store::timeout limit);

} // namespace ebonyway
