#pragma once

#include "core/ip_address.h"

#include <ace/INET_Addr.h>

namespace ebonyway {

/** Converts an endpoint to ACE's address type. */
ACE_INET_Addr toAceAddress(const endpoint &from);

/** Converts ACE's address type to an endpoint. */
endpoint fromAceAddress(const ACE_INET_Addr &from);

} // namespace ebonyway
