#pragma once

#include "core/result.h"
#include "version/intent.h"

#include <string>

namespace ebonyway {

/** An encoded intent with its slot tables. The same note gives the same bytes on each instance. */
struct intent_snapshot
{
    note_number number;
    note_digest digest{};
    std::string bytes;
};

/** Gives and checks snapshots; implemented by the owner of the route plan. */
class intent_snapshots
{
public:
    virtual ~intent_snapshots() = default;

    /** Returns the snapshot of the intent in force. Fails with NotFound if there is none. */
    virtual result<intent_snapshot> current() const = 0;

    /** Checks that the bytes decode to an intent with the number, and returns its digest. */
    virtual result<intent_snapshot> check(note_number number, std::string bytes) const = 0;
};

} // namespace ebonyway
