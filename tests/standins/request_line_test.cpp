#include "core/seeded_random.h"
#include "standins/request_line.h"

#include <doctest/doctest.h>

namespace ebonyway::standins {

namespace {

struct request_line_fixture
{
    seeded_random random{5};

    /** Text that is a mutated request or answer, so that it passes the first checks. */
    std::string mutated(std::string text)
    {
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
            const std::size_t at = random.below(text.size());
            if (random.below(2) == 0) {
                text[at] = static_cast<char>(random.below(256));
            } else {
                text.erase(at, 1 + random.below(3));
            }
        }
        return text;
    }
};

} // namespace

TEST_CASE_FIXTURE(request_line_fixture, "request line, every verb, round trips")
{
    for (const std::string line :
         {"GET price 17 id=c-1", "HOLD c-2", "PUT 5000 id=c-3", "PING 4 id=c-4 deadline_ms=250"}) {
        CAPTURE(line);
        const auto request = parseRequestLine(line);
        REQUIRE(request);
        CHECK(formatRequestLine(*request) == line);
    }
}

TEST_CASE_FIXTURE(request_line_fixture, "request line, faulty text, is refused")
{
    // A request without an id could be answered to the wrong flow without anyone noticing.
    for (const std::string line : {"", "GET price 17", "HOLD", "PUT many id=a", "PUT 5x id=a",
                                   "DROP a id=a", "GET x id=", "GET x id=a deadline_ms=soon"}) {
        CAPTURE(line);
        CHECK_FALSE(parseRequestLine(line));
    }
}

TEST_CASE_FIXTURE(request_line_fixture, "answer line, cut at any place, is refused")
{
    const answer_line answer{answer_verdict::Done, "vitrine", "vitrine-01", "c-1", "got price 17"};
    const std::string line = formatAnswerLine(answer);
    REQUIRE(parseAnswerLine(line));
    CHECK(parseAnswerLine(line)->detail == "got price 17");
    for (std::size_t length = 0; length < line.size(); ++length) {
        CHECK_FALSE(parseAnswerLine(line.substr(0, length)));
    }
}

TEST_CASE_FIXTURE(request_line_fixture, "decoders, mutated lines with a seed, stay well-formed")
{
    for (int i = 0; i < 20000; ++i) {
        const auto request = parseRequestLine(mutated("PUT 5000 id=c-3 deadline_ms=250"));
        if (request) {
            CHECK(parseRequestLine(formatRequestLine(*request)));
        }
        const auto answer = parseAnswerLine(mutated("DONE vitrine vitrine-01 c-1 got 17 end"));
        if (answer) {
            CHECK(parseAnswerLine(formatAnswerLine(*answer)));
        }
    }
}

} // namespace ebonyway::standins
