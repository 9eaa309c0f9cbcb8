#pragma once

constexpr int ExitOk = 0;
constexpr int ExitInvalidSettings = 2;
constexpr int ExitUnavailable = 4;
