#include "connection/cluster_view.h"

namespace ebonyway {

const char *memberStateName(member_state state)
{
    switch (state) {
    case member_state::Joining:
        return "joining";
    case member_state::Ready:
        return "ready";
    case member_state::Leaving:
        return "leaving";
    case member_state::Suspect:
        return "suspect";
    case member_state::Dead:
        return "dead";
    }
    return "dead";
}

} // namespace ebonyway
