#include "version/platform_notes.h"

#include "version/snapshot.h"

#include <algorithm>
#include <charconv>

namespace ebonyway {

namespace {

constexpr std::size_t KeyDigits = 10;

std::string numberedKey(const std::string &prefix, note_number number)
{
    const std::string digits = std::to_string(number.value);
    return prefix + std::string(KeyDigits - std::min(KeyDigits, digits.size()), '0') + digits;
}

/** Repeats a call while it is unavailable and the budget lasts. */
template <typename Call>
auto callWithRetries(retry_budget &budget, const wait_function &wait, Call call) -> decltype(call())
{
    while (true) {
        auto outcome = call();
        if (isOk(outcome) || errorOf(outcome).kind != error_kind::Unavailable
            || !budget.waitForRetry(wait)) {
            return outcome;
        }
    }
}

} // namespace

std::string noteKey(note_number number)
{
    return numberedKey(NoteKeyPrefix, number);
}

std::string snapshotKey(note_number number)
{
    return numberedKey(SnapshotKeyPrefix, number);
}

std::optional<note_number> numberInKey(const std::string &key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string::npos || key.size() != slash + 1 + KeyDigits) {
        return std::nullopt;
    }
    note_number number;
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + slash + 1, end, number.value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

platform_notes::platform_notes(platform_store &store, const retry_limits &limits,
                               wait_function wait, std::uint64_t seed)
    : m_store(store)
    , m_wait(std::move(wait))
    , m_budget(limits, seed)
{ }

result<std::string> platform_notes::readNote(note_number number)
{
    return readValue(noteKey(number));
}

result<route_plan> platform_notes::readNewestPlan()
{
    result<route_plan> start = readNewestSnapshot();
    if (!isOk(start)) {
        return start;
    }
    route_plan plan = std::move(valueOf(start));
    while (true) {
        const note_number next{plan.currentIntent().number.value + 1};
        const result<std::string> text = readNote(next);
        if (!isOk(text)) {
            if (errorOf(text).kind == error_kind::NotFound) {
                return plan;
            }
            return errorOf(text);
        }
        result<route_plan> folded = foldNotes(std::move(plan), {valueOf(text)});
        if (!isOk(folded)) {
            return folded;
        }
        plan = std::move(valueOf(folded));
    }
}

result<std::vector<note_number>> platform_notes::listNotes()
{
    return listNumbers(NoteKeyPrefix);
}

result<std::string> platform_notes::readValue(const std::string &key)
{
    const auto object = callWithRetries(
            m_budget, m_wait, [this, &key]() { return m_store.get(key, m_budget.callTimeout()); });
    if (!isOk(object)) {
        return errorOf(object);
    }
    return valueOf(object).value;
}

result<std::vector<note_number>> platform_notes::listNumbers(const std::string &prefix)
{
    std::vector<note_number> numbers;
    std::string after;
    while (true) {
        const auto page = callWithRetries(m_budget, m_wait, [this, &prefix, &after]() {
            return m_store.list(prefix, after, m_budget.callTimeout());
        });
        if (!isOk(page)) {
            return errorOf(page);
        }
        if (valueOf(page).objects.empty()) {
            return numbers;
        }
        for (const listed_object &object : valueOf(page).objects) {
            if (const auto number = numberInKey(object.key)) {
                numbers.push_back(*number);
            }
        }
        // A list that does not advance would loop for ever.
        if (valueOf(page).objects.back().key <= after) {
            return numbers;
        }
        after = valueOf(page).objects.back().key;
    }
}

result<route_plan> platform_notes::readNewestSnapshot()
{
    const result<std::vector<note_number>> numbers = listNumbers(SnapshotKeyPrefix);
    if (!isOk(numbers)) {
        return errorOf(numbers);
    }
    for (auto number = valueOf(numbers).rbegin(); number != valueOf(numbers).rend(); ++number) {
        const result<std::string> bytes = readValue(snapshotKey(*number));
        if (!isOk(bytes) && errorOf(bytes).kind != error_kind::NotFound) {
            return errorOf(bytes);
        }
        if (!isOk(bytes)) {
            continue;
        }
        result<route_plan> plan = decodeSnapshot(valueOf(bytes));
        if (isOk(plan) && valueOf(plan).currentIntent().number == *number) {
            return plan;
        }
    }
    return route_plan{};
}

} // namespace ebonyway
