#include "version/number_text.h"

#include <array>
#include <cstdio>

namespace ebonyway {

namespace {

/** Holds any double with a few decimals. */
using number_buffer = std::array<char, 400>;

} // namespace

std::string decimalText(double value, int decimals)
{
    number_buffer text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

std::string percentText(double share)
{
    number_buffer text{};
    std::snprintf(text.data(), text.size(), "%g%%", share * 100.0);
    return text.data();
}

} // namespace ebonyway
