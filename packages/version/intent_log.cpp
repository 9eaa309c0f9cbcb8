#include "version/intent_log.h"

#include "version/note_fold.h"
#include "version/release_note.h"
#include "version/route_plan.h"
#include "version/snapshot.h"

namespace ebonyway {

namespace {

/** About six days of notes at the large size, in 160 KB. */
constexpr std::size_t KeptDigests = 4096;

/** Peers that lag by more than this fetch a snapshot. */
constexpr std::size_t KeptTextBytes = 1'000'000;

std::string numberText(note_number number)
{
    return std::to_string(number.value);
}

adoption_refusal refuse(refusal_cause cause, error_kind kind, const std::string &message,
                        const std::string &remedy)
{
    return {cause, {kind, message, remedy}};
}

adoption_refusal stale(note_number given, note_number inForce)
{
    return refuse(refusal_cause::Stale, error_kind::Conflict,
                  "note " + numberText(given) + " is not newer than note " + numberText(inForce)
                          + ", which is in force",
                  "Ignore it; the instance is up to date.");
}

adoption_refusal fork(note_number number)
{
    return refuse(refusal_cause::Fork, error_kind::Conflict,
                  "note " + numberText(number) + " contradicts the digest chain in force",
                  "Find out whether the platform's store was restored or another deployment's "
                  "note was read; this instance keeps its intent.");
}

} // namespace

intent_log::intent_log()
    : m_plan(std::make_shared<const route_plan>())
{
    m_digests[{0}] = {};
}

note_number intent_log::number() const
{
    return m_plan->currentIntent().number;
}

const note_digest &intent_log::digest() const
{
    return m_plan->currentIntent().digest;
}

adoption intent_log::adoptNote(note_number number, const std::string &text,
                               const std::optional<note_digest> &expected)
{
    const note_number inForce = this->number();
    if (number <= inForce) {
        return judgeOldNote(number, text);
    }
    if (number.value != inForce.value + 1) {
        return refuse(refusal_cause::Gap, error_kind::InvalidInput,
                      "note " + numberText(number) + " does not follow note " + numberText(inForce),
                      "Fetch the notes in between, or a snapshot.");
    }
    if (expected && *expected != digestNote(digest(), text)) {
        return fork(number);
    }
    result<intent> next = foldReleaseNote(m_plan->currentIntent(), text);
    if (!isOk(next)) {
        return adoption_refusal{refusal_cause::Invalid, errorOf(next)};
    }
    if (valueOf(next).number != number) {
        return refuse(refusal_cause::Invalid, error_kind::InvalidInput,
                      "the text under the number " + numberText(number) + " is another note",
                      "Read the note again from another source.");
    }
    keepText(number, text);
    return adoptPlan(route_plan(*m_plan, std::move(valueOf(next))));
}

adoption intent_log::adoptSnapshot(const std::string &bytes,
                                   const std::optional<note_digest> &expected)
{
    result<route_plan> decoded = decodeSnapshot(bytes);
    if (!isOk(decoded)) {
        return adoption_refusal{refusal_cause::Invalid, errorOf(decoded)};
    }
    const intent &given = valueOf(decoded).currentIntent();
    if ((expected && *expected != given.digest)
        || compare(given.number, given.digest) == chain_relation::Fork) {
        return fork(given.number);
    }
    if (given.number <= number()) {
        return stale(given.number, number());
    }
    return adoptPlan(std::move(valueOf(decoded)));
}

chain_relation intent_log::compare(note_number number, const note_digest &digest) const
{
    if (number > this->number()) {
        return chain_relation::PeerAhead;
    }
    const auto known = m_digests.find(number);
    if (known != m_digests.end() && known->second != digest) {
        return chain_relation::Fork;
    }
    return number == this->number() ? chain_relation::Same : chain_relation::PeerBehind;
}

const std::string *intent_log::noteText(note_number number) const
{
    for (const kept_note &note : m_texts) {
        if (note.number == number) {
            return &note.text;
        }
    }
    return nullptr;
}

adoption intent_log::adoptPlan(route_plan plan)
{
    m_plan = std::make_shared<const route_plan>(std::move(plan));
    m_digests[number()] = digest();
    while (m_digests.size() > KeptDigests) {
        m_digests.erase(m_digests.begin());
    }
    return number();
}

adoption intent_log::judgeOldNote(note_number number, const std::string &text) const
{
    const auto known = m_digests.find(number);
    const auto before = number.value == 0 ? m_digests.end() : m_digests.find({number.value - 1});
    if (known != m_digests.end() && before != m_digests.end()
        && digestNote(before->second, text) != known->second) {
        return fork(number);
    }
    return stale(number, this->number());
}

void intent_log::keepText(note_number number, const std::string &text)
{
    m_texts.push_back({number, text});
    m_textBytes += text.size();
    while (m_textBytes > KeptTextBytes && m_texts.size() > 1) {
        m_textBytes -= m_texts.front().text.size();
        m_texts.pop_front();
    }
}

} // namespace ebonyway
