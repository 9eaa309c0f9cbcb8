#pragma once

#include "forwarding/version/state_check.h"

#include <string>
#include <vector>

namespace ebonyway::platform {

/** A desired state read from the document that is sent to the store. */
struct state_document
{
    state_draft draft; ///< Without the routes and services that could not be decoded.
    std::vector<state_finding> findings; ///< What could not be decoded, or not be kept as written.
};

/**
 * Reads a document. Unlike the decoder of the store's answers it does not stop at the first fault
 * and refuses duplicate keys and numbers that the decoder would cut.
 */
state_document readStateDocument(const std::string &text);

/** Returns the name of a field in the document. */
std::string stateFieldName(state_field field);

} // namespace ebonyway::platform
