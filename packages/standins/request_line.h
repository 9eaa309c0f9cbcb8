#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace ebonyway::standins {

/** Kinds of requests that callers send as one line of text. */
enum class request_verb : std::uint8_t {
    Get, ///< `GET <what> id=<id>`: idempotent, occupies a slot for the service time.
    Hold, ///< `HOLD <id>`: not idempotent, occupies a slot; its runs are counted.
    Put, ///< `PUT <bytes> id=<id>`: followed by that many bytes, then occupies a slot.
    Ping, ///< `PING <number> id=<id>`: answered at once without a slot.
};

/** A request line. Any line may end with ` deadline_ms=<n>`. */
struct request_line
{
    request_verb verb = request_verb::Get;
    std::string argument; ///< Text after the verb; for Hold the request id.
    std::string id;
    std::optional<std::chrono::milliseconds> deadline; ///< Counted from the arrival.
};

/** Parses a line without its line end; nothing if it is not a request. */
std::optional<request_line> parseRequestLine(const std::string &line);

/** Writes the line without a line end. */
std::string formatRequestLine(const request_line &request);

/** Bytes that follow the line of a Put request; 0 for other requests. */
std::uint64_t bodyLength(const request_line &request);

/** What a backend server says about a request. */
enum class answer_verdict : std::uint8_t {
    Done,
    NotRun, ///< Refused before any part of the request was run.
    Failed, ///< Started but not completed.
};

/** An answer line: `<verdict> <service> <server> <id> <detail> end`. */
struct answer_line
{
    answer_verdict verdict = answer_verdict::Done;
    std::string service;
    std::string server;
    std::string id;
    std::string detail; ///< May contain spaces.
};

/** Parses a line without its line end; nothing if it is not a whole answer. */
std::optional<answer_line> parseAnswerLine(const std::string &line);

/** Writes the line without a line end. */
std::string formatAnswerLine(const answer_line &answer);

} // namespace ebonyway::standins
