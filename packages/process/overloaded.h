#pragma once

namespace ebonyway {

/** Combines lambdas into one visitor for std::visit. */
template <typename... handlers>
struct overloaded : handlers...
{
    using handlers::operator()...;
};

template <typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

} // namespace ebonyway
