#pragma once

#include "process/intent_snapshots.h"
#include "version/intent_log.h"

namespace ebonyway {

/** Gives and checks snapshots of the intent log's plan for the control core. */
class plan_snapshots : public intent_snapshots
{
public:
    /** The log must outlive this object. */
    explicit plan_snapshots(const intent_log &log);

    result<intent_snapshot> current() const override;
    result<intent_snapshot> check(note_number number, std::string bytes) const override;

private:
    const intent_log &m_log;
};

} // namespace ebonyway
