#include "process/edge/plan_snapshots.h"

#include "version/route_plan.h"
#include "version/snapshot.h"

#include <utility>

namespace ebonyway {

plan_snapshots::plan_snapshots(const intent_log &log)
    : m_log(log)
{ }

result<intent_snapshot> plan_snapshots::current() const
{
    if (m_log.number().value == 0) {
        return error{error_kind::NotFound, "no release note is in force",
                     "Accept a release note first."};
    }
    result<std::string> bytes = encodeSnapshot(*m_log.plan());
    if (!isOk(bytes)) {
        return errorOf(bytes);
    }
    return intent_snapshot{m_log.number(), m_log.digest(), std::move(valueOf(bytes))};
}

result<intent_snapshot> plan_snapshots::check(note_number number, std::string bytes) const
{
    const result<route_plan> plan = decodeSnapshot(bytes);
    if (!isOk(plan)) {
        return errorOf(plan);
    }
    const intent &decoded = valueOf(plan).currentIntent();
    if (decoded.number != number) {
        return error{error_kind::InvalidInput,
                     "snapshot " + std::to_string(number.value) + " contains note "
                             + std::to_string(decoded.number.value),
                     "Fetch the snapshot from another source."};
    }
    return intent_snapshot{number, decoded.digest, std::move(bytes)};
}

} // namespace ebonyway
