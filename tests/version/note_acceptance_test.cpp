#include "version/fake_platform_store.h"
#include "version/note_acceptance.h"
#include "version/note_samples.h"

#include <doctest/doctest.h>

#include <optional>

namespace ebonyway {

namespace {

struct note_acceptance_fixture
{
    fake_platform_store store;
    std::vector<std::chrono::milliseconds> waits;

    note_acceptance operatorWith(std::uint64_t seed)
    {
        return {store,
                {},
                [this](std::chrono::milliseconds length) { waits.push_back(length); },
                seed};
    }

    result<accepted_note> accept(const std::string &text, std::uint64_t seed = 1)
    {
        return operatorWith(seed).accept(text);
    }

    void start() { REQUIRE(isOk(accept(firstNote()))); }

    /** Operators who accept different notes 2; each one starts between two calls of another. */
    struct race
    {
        std::vector<std::string> texts;
        std::vector<std::optional<result<accepted_note>>> outcomes;
        std::size_t started = 0;
    };

    void startNextOperator(race &running, std::uint64_t seed)
    {
        const std::size_t index = running.started++;
        running.outcomes[index] = accept(running.texts[index], seed * 10 + index);
    }

    race runRace(std::size_t operators, std::uint64_t seed)
    {
        race running;
        for (std::size_t i = 0; i < operators; ++i) {
            running.texts.push_back(
                    drainNote(2, "vitrine-0" + std::to_string(i + 1), true, "author"));
        }
        running.outcomes.resize(operators);
        seeded_random random(seed);
        store.beforeCall = [this, &running, &random, operators, seed]() {
            if (running.started < operators && random.below(3) == 0) {
                startNextOperator(running, seed);
            }
        };
        while (running.started < operators) {
            startNextOperator(running, seed);
        }
        store.beforeCall = nullptr;
        return running;
    }

    void checkRace(const race &finished)
    {
        store.settle();
        const std::string winner = store.valueAt(noteKey({2}));
        std::size_t accepted = 0;
        for (std::size_t i = 0; i < finished.texts.size(); ++i) {
            const result<accepted_note> &outcome = *finished.outcomes[i];
            const bool inForce = finished.texts[i] == winner;
            if (isOk(outcome)) {
                ++accepted;
                REQUIRE(inForce);
            } else if (errorOf(outcome).kind != error_kind::OutcomeUnknown) {
                // A refusal that says "not accepted" must be true.
                CAPTURE(errorOf(outcome).message);
                REQUIRE_FALSE(inForce);
            }
        }
        REQUIRE(accepted <= 1);
    }
};

} // namespace

TEST_CASE_FIXTURE(note_acceptance_fixture, "acceptance, next note, is stored and told")
{
    start();
    const result<accepted_note> outcome = accept(drainNote(2, "vitrine-03"));
    REQUIRE(isOk(outcome));
    CHECK(valueOf(outcome).checked.effect.size() == 1);
    CHECK(store.valueAt("notes/0000000002") == drainNote(2, "vitrine-03"));
    CHECK(waits.empty());
}

TEST_CASE_FIXTURE(note_acceptance_fixture, "acceptance, same command again, does not accept twice")
{
    start();
    REQUIRE(isOk(accept(drainNote(2, "vitrine-03"))));
    const result<accepted_note> again = accept(drainNote(2, "vitrine-03"));
    REQUIRE(isOk(again));
    CHECK(valueOf(again).acceptedEarlier);
}

TEST_CASE_FIXTURE(note_acceptance_fixture,
                  "acceptance, overtaken, tells the winner and how to go on")
{
    start();
    bool overtook = false;
    store.beforeCall = [this, &overtook]() {
        if (!overtook && store.callCount > 4) {
            overtook = true;
            REQUIRE(isOk(accept(drainNote(2, "vitrine-05", true, "karim"), 7)));
        }
    };
    const result<accepted_note> outcome = accept(drainNote(2, "vitrine-03"));
    REQUIRE_FALSE(isOk(outcome));
    CHECK(errorOf(outcome).kind == error_kind::Conflict);
    CHECK(describe(errorOf(outcome))
          == "this release note was not accepted, because note 2 is \"Change 2\" by karim. Set "
             "\"note\" to 3, run `ebonyway check` to see the effect on what is in force now, then "
             "accept it.");
}

TEST_CASE_FIXTURE(note_acceptance_fixture, "acceptance, platform outage, retries within its budget")
{
    start();
    store.faults.outage = 100;
    const std::uint64_t before = store.callCount;
    const result<accepted_note> outcome = accept(drainNote(2, "vitrine-03"));
    REQUIRE_FALSE(isOk(outcome));
    CHECK(errorOf(outcome).kind == error_kind::Unavailable);
    CHECK(store.callCount - before == retry_limits{}.retries + 1);
    CHECK(waits.size() == retry_limits{}.retries);
    for (const auto wait : waits) {
        CHECK(wait <= retry_limits{}.longestWait);
    }
}

TEST_CASE_FIXTURE(note_acceptance_fixture, "acceptance, every answer lost, is confirmed by reading")
{
    start();
    store.faults.lostAnswer = 100;
    const result<accepted_note> outcome = accept(drainNote(2, "vitrine-03"));
    REQUIRE(isOk(outcome));
    CHECK_FALSE(valueOf(outcome).acceptedEarlier);
}

TEST_CASE_FIXTURE(note_acceptance_fixture, "acceptance, writes never confirmed, says so")
{
    start();
    store.faults.lateWrite = 100;
    store.faults.lateWriteLands = 0;
    const result<accepted_note> outcome = accept(drainNote(2, "vitrine-03"));
    REQUIRE_FALSE(isOk(outcome));
    CHECK(errorOf(outcome).kind == error_kind::OutcomeUnknown);
    store.settle();
    CHECK(store.valueAt(noteKey({2})) == drainNote(2, "vitrine-03"));
}

TEST_CASE_FIXTURE(note_acceptance_fixture,
                  "acceptance, stale read of what is in force, reads again")
{
    // Guards against a correct note that is refused because the platform's answer lagged.
    start();
    store.faults.staleRead = 100;
    CHECK(isOk(accept(drainNote(2, "vitrine-03"))));
}

TEST_CASE("acceptance, operators race on a faulty platform, at most one note per number")
{
    const std::vector<platform_faults> kinds{
            {}, {0, 40, 0, 0}, {30, 0, 0, 0}, {0, 0, 0, 50}, {0, 0, 40, 0}, {20, 25, 25, 40}};
    for (const platform_faults &faults : kinds) {
        for (std::size_t operators = 2; operators <= 3; ++operators) {
            for (std::uint64_t seed = 1; seed <= 300; ++seed) {
                CAPTURE(seed);
                note_acceptance_fixture session;
                session.store = fake_platform_store(seed);
                session.start();
                session.store.faults = faults;
                session.checkRace(session.runRace(operators, seed));
            }
        }
    }
}

} // namespace ebonyway
