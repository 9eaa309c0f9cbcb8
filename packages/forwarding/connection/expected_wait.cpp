#include "forwarding/connection/expected_wait.h"

namespace ebonyway {

duration expectedWait(const server_queue &, const usual_queue &)
{
    return {};
}

} // namespace ebonyway
