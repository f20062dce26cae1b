#define BOOST_TEST_MODULE RequestCopies

#include "request/requestcopies.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t copyCount = 2;
constexpr std::size_t maxDepth = 6;
constexpr Instant start{100s};

enum class Method {
    Release,
    Deny,
    MayHaveRun,
    Prove,
};

/** A call of a method; the copy means nothing for Method::Prove. */
struct Step
{
    Method method = Method::Prove;
    std::size_t copy = 0;
};

std::vector<Step> allSteps()
{
    std::vector<Step> steps{{Method::Prove, 0}};
    for (std::size_t copy = 0; copy < copyCount; ++copy) {
        for (const Method method : {Method::Release, Method::Deny, Method::MayHaveRun})
            steps.push_back({method, copy});
    }
    return steps;
}

std::string textOf(const std::vector<Step> &steps)
{
    const std::array<std::string, 4> names = {"release", "deny", "may-have-run", "prove"};
    std::string text;
    for (const Step &step : steps) {
        text += (text.empty() ? "" : " ") + names.at(static_cast<std::size_t>(step.method));
        if (step.method != Method::Prove)
            text += std::to_string(step.copy);
    }
    return text;
}

/** What is known of a copy from the steps so far. */
struct ModelCopy
{
    bool isReleased = false;
    bool isDenied = false;
    bool isLost = false;
};

/** What is known of a request: the first word about a released copy counts. */
struct Model
{
    std::array<ModelCopy, copyCount> copies;
    bool isProved = false;

    bool mayRelease(std::size_t number) const
    {
        return !isProved && !copies.at(number).isReleased;
    }

    void hear(std::size_t number, bool isDenial)
    {
        ModelCopy &copy = copies.at(number);
        if (!copy.isReleased || copy.isDenied || copy.isLost)
            return;
        copy.isDenied = isDenial;
        copy.isLost = !isDenial;
    }

    std::optional<NotRunProof::Kind> proof() const
    {
        auto kind = NotRunProof::Kind::NeverSent;
        for (const ModelCopy &copy : copies) {
            if (copy.isReleased && !copy.isDenied)
                return std::nullopt;
            if (copy.isDenied)
                kind = NotRunProof::Kind::Denied;
        }
        return kind;
    }

    bool isAtHolder() const
    {
        for (const ModelCopy &copy : copies) {
            if (copy.isReleased && !copy.isDenied && !copy.isLost)
                return true;
        }
        return false;
    }

    bool mayHaveRun() const
    {
        return copies[0].isLost || copies[1].isLost;
    }
};

/** The account and the model after the same steps. */
class Pair
{
public:
    explicit Pair(std::size_t addedFirst)
    {
        while (m_numbers.size() < addedFirst)
            addCopy();
    }

    /** Does \a step in both. \returns what differs, or "". */
    std::string play(const Step &step)
    {
        while (step.method != Method::Prove && m_numbers.size() <= step.copy)
            addCopy();
        std::string difference = playStep(step);
        if (!difference.empty())
            return difference;
        if (m_account.isAtHolder() != m_model.isAtHolder())
            return "isAtHolder";
        return m_account.mayHaveRun() == m_model.mayHaveRun() ? "" : "mayHaveRun";
    }

private:
    void addCopy()
    {
        m_numbers.push_back(m_account.add("holder-" + std::to_string(m_numbers.size())));
    }

    std::string playStep(const Step &step)
    {
        switch (step.method) {
        case Method::Release:
            return playRelease(step.copy);
        case Method::Deny:
            m_account.recordDenial(m_numbers.at(step.copy));
            m_model.hear(step.copy, true);
            return {};
        case Method::MayHaveRun:
            m_account.recordMayHaveRun(m_numbers.at(step.copy));
            m_model.hear(step.copy, false);
            return {};
        case Method::Prove:
            break;
        }
        return playProof();
    }

    std::string playRelease(std::size_t copy)
    {
        const bool isExpected = m_model.mayRelease(copy);
        m_model.copies.at(copy).isReleased |= isExpected;
        return m_account.release(m_numbers.at(copy), start) == isExpected ? "" : "release";
    }

    std::string playProof()
    {
        const std::optional<NotRunProof::Kind> expected = m_model.proof();
        const std::optional<NotRunProof> proof = m_account.proveNotRun();
        m_model.isProved |= expected.has_value();
        if (proof.has_value() != expected.has_value())
            return "proof";
        return !proof || proof->kind() == *expected ? "" : "kind of proof";
    }

    RequestCopies m_account;
    std::vector<RequestCopies::Number> m_numbers;
    Model m_model;
};

/** Plays all sequences that begin with \a steps. \returns their number. */
int playAll(std::vector<Step> &steps, std::size_t addedFirst)
{
    static const std::vector<Step> choices = allSteps();
    Pair pair{addedFirst};
    std::string difference;
    for (const Step &step : steps)
        difference = difference.empty() ? pair.play(step) : difference;
    BOOST_REQUIRE_MESSAGE(difference.empty(), difference << " after: " << textOf(steps));
    int count = 1;
    if (steps.size() == maxDepth)
        return count;
    for (const Step &step : choices) {
        steps.push_back(step);
        count += playAll(steps, addedFirst);
        steps.pop_back();
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(noSequenceGivesAProofWhileACopyMayRunOrReleasesACopyAfterAProof)
{
    // 7 choices in up to 6 steps.
    constexpr int sequenceCount = 137'257;
    std::vector<Step> steps;
    BOOST_TEST(playAll(steps, copyCount) == sequenceCount);
    BOOST_TEST(playAll(steps, 0) == sequenceCount);
}

BOOST_AUTO_TEST_CASE(copyThatIsAddedAfterAProofIsNeverReleased)
{
    RequestCopies copies;
    BOOST_REQUIRE(copies.proveNotRun().has_value());
    const RequestCopies::Number late = copies.add("i-1");
    BOOST_TEST(!copies.release(late, start));
    BOOST_TEST(!copies.isAtHolder());
    BOOST_REQUIRE(copies.proveNotRun().has_value());
    BOOST_TEST((copies.proveNotRun()->kind() == NotRunProof::Kind::NeverSent));
}

BOOST_AUTO_TEST_CASE(denialOfALostCopyOrOfAnUnsentOneIsNoProof)
{
    RequestCopies copies;
    const RequestCopies::Number first = copies.add("i-1");
    copies.recordDenial(first);
    BOOST_REQUIRE(copies.release(first, start));
    BOOST_TEST(!copies.proveNotRun().has_value());
    copies.recordMayHaveRun(first);
    copies.recordDenial(first);
    BOOST_TEST(!copies.proveNotRun().has_value());
    BOOST_TEST(copies.mayHaveRun());
}

BOOST_AUTO_TEST_CASE(denialOfOneCopyIsNoDenialOfAnother)
{
    RequestCopies copies;
    const RequestCopies::Number first = copies.add("i-1");
    const RequestCopies::Number second = copies.add("i-1");
    BOOST_REQUIRE(copies.release(first, start));
    BOOST_REQUIRE(copies.release(second, start));
    copies.recordDenial(first);
    copies.recordDenial(first);
    BOOST_TEST(!copies.proveNotRun().has_value());
    copies.recordDenial(second);
    BOOST_REQUIRE(copies.proveNotRun().has_value());
    BOOST_TEST((copies.proveNotRun()->kind() == NotRunProof::Kind::Denied));
}

BOOST_AUTO_TEST_CASE(textNamesHoldersTimesAndStates)
{
    RequestCopies copies;
    const RequestCopies::Number first = copies.add("i-1");
    const RequestCopies::Number second = copies.add("front-2");
    copies.add("i-3");
    BOOST_REQUIRE(copies.release(first, start + 5ms));
    copies.recordDenial(first);
    BOOST_REQUIRE(copies.release(second, start + 30ms));
    BOOST_TEST(copies.text(start) == "i-1@5:denied,front-2@30:at-holder,i-3:unsent");
    copies.recordMayHaveRun(second);
    BOOST_TEST(copies.text(start) == "i-1@5:denied,front-2@30:may-have-run,i-3:unsent");
}
