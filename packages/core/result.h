#pragma once

#include "core/error.h"

#include <variant>

namespace ebonyway {

/** Either a value or the error that prevented it. */
template <typename T>
using result = std::variant<T, error>;

/** Outcome of an operation that returns nothing on success. */
using status = result<std::monostate>;

/** Returns whether the operation succeeded. */
template <typename T>
bool isOk(const result<T> &outcome)
{
    return outcome.index() == 0;
}

/** Returns the value. Throws std::bad_variant_access if the operation failed. */
template <typename T>
T &valueOf(result<T> &outcome)
{
    return std::get<0>(outcome);
}

/** Returns the value. Throws std::bad_variant_access if the operation failed. */
template <typename T>
const T &valueOf(const result<T> &outcome)
{
    return std::get<0>(outcome);
}

/** Returns the error. Throws std::bad_variant_access if the operation succeeded. */
template <typename T>
const error &errorOf(const result<T> &outcome)
{
    return std::get<1>(outcome);
}

} // namespace ebonyway
