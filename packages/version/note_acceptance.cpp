#include "version/note_acceptance.h"

#include "version/note_effect.h"
#include "version/note_fold.h"

namespace ebonyway {

namespace {

/** A number that is still ahead after these reads is the operator's mistake. */
constexpr int StaleReadRetries = 2;

/** Seeds of the two budgets must differ, so that their waits do. */
constexpr std::uint64_t WriteSeedSalt = 0x77726974;

std::string numberText(note_number number)
{
    return std::to_string(number.value);
}

/** Tells the loser of a race what overtook it and how to go on. */
error overtaken(note_number number, const std::string &winnerText)
{
    std::string winner = "another release note";
    const result<release_note> parsed = parseReleaseNote(winnerText);
    if (isOk(parsed)) {
        winner = "\"" + valueOf(parsed).title + "\" by " + valueOf(parsed).author;
    }
    return {error_kind::Conflict,
            "this release note was not accepted, because note " + numberText(number) + " is "
                    + winner,
            "Set \"note\" to " + std::to_string(number.value + 1)
                    + ", run `ebonyway check` to see the effect on what is in force now, then "
                      "accept it."};
}

} // namespace

note_acceptance::note_acceptance(platform_store &store, const retry_limits &limits,
                                 wait_function wait, std::uint64_t seed)
    : m_store(store)
    , m_wait(std::move(wait))
    , m_notes(store, limits, m_wait, seed)
    , m_budget(limits, seed ^ WriteSeedSalt)
{ }

result<checked_note> note_acceptance::check(const std::string &text)
{
    result<release_note> note = parseReleaseNote(text);
    if (!isOk(note)) {
        return errorOf(note);
    }
    const result<route_plan> plan = readPlanFor(valueOf(note).number);
    if (!isOk(plan)) {
        return errorOf(plan);
    }
    return checkAgainst(valueOf(plan), std::move(valueOf(note)), text);
}

result<accepted_note> note_acceptance::accept(const std::string &text)
{
    result<release_note> note = parseReleaseNote(text);
    if (!isOk(note)) {
        return errorOf(note);
    }
    const result<route_plan> plan = readPlanFor(valueOf(note).number);
    if (!isOk(plan)) {
        error failure = errorOf(plan);
        failure.message = "this release note was not accepted: " + failure.message;
        return failure;
    }
    const intent &current = valueOf(plan).currentIntent();
    if (valueOf(note).number <= current.number) {
        // The operator may repeat a command whose answer was lost, or has lost a race already.
        attempt repeated{text, {valueOf(note), {}, {}}, {}, false};
        if (auto outcome = compareWithStored(repeated, true)) {
            return *outcome;
        }
    }
    result<checked_note> checked = checkAgainst(valueOf(plan), std::move(valueOf(note)), text);
    if (!isOk(checked)) {
        return errorOf(checked);
    }
    return createNote({text, std::move(valueOf(checked)), current.digest, false});
}

/** A note that seems to skip a number is read against again, because the read may have been stale.
 */
result<route_plan> note_acceptance::readPlanFor(note_number number)
{
    result<route_plan> plan = m_notes.readNewestPlan();
    for (int retry = 0; retry < StaleReadRetries && isOk(plan); ++retry) {
        if (number.value <= valueOf(plan).currentIntent().number.value + 1
            || !m_budget.waitForRetry(m_wait)) {
            break;
        }
        plan = m_notes.readNewestPlan();
    }
    return plan;
}

result<checked_note> note_acceptance::checkAgainst(const route_plan &plan, release_note note,
                                                   const std::string &text)
{
    const note_digest digest = digestNote(plan.currentIntent().digest, text);
    result<intent> next = foldReleaseNote(plan.currentIntent(), note, digest);
    if (!isOk(next)) {
        return errorOf(next);
    }
    const route_plan planned(plan, std::move(valueOf(next)));
    return checked_note{std::move(note), digest, describeEffect(plan, planned)};
}

/** Returns nothing if the stored note cannot be read. */
std::optional<result<accepted_note>> note_acceptance::compareWithStored(attempt &current,
                                                                        bool earlier)
{
    const note_number number = current.checked.note.number;
    const auto stored = m_store.get(noteKey(number), m_budget.callTimeout());
    if (!isOk(stored)) {
        return std::nullopt;
    }
    const std::string &value = valueOf(stored).value;
    const note_digest own = digestNote(current.previousDigest, current.text);
    if (digestNote(current.previousDigest, value) == own) {
        return result<accepted_note>(accepted_note{current.checked, earlier});
    }
    return result<accepted_note>(overtaken(number, value));
}

result<accepted_note> note_acceptance::createNote(attempt current)
{
    const std::string key = noteKey(current.checked.note.number);
    while (true) {
        const auto created = m_store.createIfAbsent(key, current.text, m_budget.callTimeout());
        if (isOk(created)) {
            return accepted_note{std::move(current.checked), false};
        }
        const error &failure = errorOf(created);
        if (failure.kind == error_kind::Conflict) {
            return afterConflict(current);
        }
        if (failure.kind == error_kind::OutcomeUnknown) {
            current.answerLost = true;
        } else if (failure.kind != error_kind::Unavailable) {
            return giveUp(current, failure);
        }
        if (!m_budget.waitForRetry(m_wait)) {
            return giveUp(current, failure);
        }
        if (!current.answerLost) {
            continue;
        }
        // The read may be stale. If it finds nothing, creating again is safe and settles it.
        if (auto outcome = compareWithStored(current, false)) {
            return *outcome;
        }
    }
}

result<accepted_note> note_acceptance::afterConflict(attempt &current)
{
    while (true) {
        if (auto outcome = compareWithStored(current, !current.answerLost)) {
            return *outcome;
        }
        if (!m_budget.waitForRetry(m_wait)) {
            break;
        }
    }
    if (current.answerLost) {
        return giveUp(current, {});
    }
    return overtaken(current.checked.note.number, "");
}

result<accepted_note> note_acceptance::giveUp(const attempt &current, const error &last) const
{
    const std::string number = numberText(current.checked.note.number);
    if (current.answerLost) {
        return error{error_kind::OutcomeUnknown,
                     "note " + number
                             + " may or may not be accepted; the platform did not confirm it",
                     "Run the same command again: it never accepts a release note twice."};
    }
    if (last.kind != error_kind::Unavailable) {
        return last;
    }
    return error{error_kind::Unavailable, "note " + number + " was not accepted: " + last.message,
                 "Run the same command again when the platform answers."};
}

} // namespace ebonyway
